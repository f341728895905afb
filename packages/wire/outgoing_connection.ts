import { connect, Socket } from "node:net";
import { type Address, Backoff, type Clock, type Randomness } from "#model";
import { afterPendingInput } from "./after_input.ts";
import type { Link } from "./link.ts";

const RECONNECT_DELAY_MS = 250;
/** The same after connections that the peer has closed instead of saying hello. */
const MAX_RECONNECT_DELAY_MS = 2_000;
const CONNECT_TIMEOUT_MS = 2_000;
/** Time for the hello of a peer on the first connection. */
const HELLO_TIMEOUT_MS = 2_000;
/**
 * Longest time for a hello. A connection that died without a reset is found after
 * it at the latest.
 */
const MAX_HELLO_TIMEOUT_MS = 8_000;
/**
 * Shortest time between two renewals of a link. A peer that is only slow gets no
 * further connection with each request that it has not answered in time.
 */
const RENEWAL_INTERVAL_MS = 3_000;

/** Creates the link of a connection with its number in its channel. */
export type CreateOutgoingLink = (
  socket: Socket,
  options: {
    readonly number: number;
    /** Time for the peer's hello, in milliseconds. */
    readonly helloTimeoutMs: number;
    readonly onOpen: () => void;
  },
) => Link;

/**
 * Keeps one outgoing connection open: connects again whenever it closes. It waits longer
 * for a hello, and for the next connection, after each connection without one. A peer
 * that is overloaded answers late; if all connections to it are given up after the same
 * time, it only ever works on those that are closed already.
 *
 * Load pattern: all hosts start at the same moment on machines that are too small for
 * that, and each opens links to tens of others.
 */
export class OutgoingConnection {
  readonly #address: Address;
  readonly #createLink: CreateOutgoingLink;
  readonly #clock: Clock;
  readonly #helloTimeout: Backoff;
  readonly #reconnectDelay: Backoff;
  #number = 0;
  #link: Link | undefined;
  #socket: Socket | undefined;
  /** A connection that is to replace the present one once it is open. */
  #renewal: Socket | undefined;
  #renewedAt = Number.NEGATIVE_INFINITY;
  #retry: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(
    address: Address,
    options: {
      readonly createLink: CreateOutgoingLink;
      readonly clock: Clock;
      readonly randomness: Randomness;
    },
  ) {
    this.#address = address;
    this.#createLink = options.createLink;
    this.#clock = options.clock;
    const { randomness } = options;
    this.#helloTimeout = new Backoff({
      shortestMs: HELLO_TIMEOUT_MS,
      longestMs: MAX_HELLO_TIMEOUT_MS,
      randomness,
    });
    this.#reconnectDelay = new Backoff({
      shortestMs: RECONNECT_DELAY_MS,
      longestMs: MAX_RECONNECT_DELAY_MS,
      randomness,
    });
    this.#connect();
  }

  get link(): Link | undefined {
    return this.#link;
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#retry);
    this.#renewal?.destroy();
    if (this.#link) this.#link.close({ type: "link_closed" });
    else this.#socket?.destroy();
  }

  /**
   * Opens another connection beside the present one, which may be dead. The
   * present one is used until the other is open, and stays if data arrives on it
   * before the other is connected.
   */
  renew(): void {
    if (this.#stopped || this.#renewal) return;
    const now = this.#clock.now();
    if (now - this.#renewedAt < RENEWAL_INTERVAL_MS) return;
    this.#renewedAt = now;
    const present = this.#link;
    const receivedBytes = present?.receivedBytes;
    const socket = this.#open(() => {
      if (present?.open && present.receivedBytes !== receivedBytes) {
        socket.destroy();
        return;
      }
      const link = this.#create(socket, () => this.#replace(socket, link));
    });
    this.#renewal = socket;
  }

  #replace(socket: Socket, link: Link): void {
    clearTimeout(this.#retry);
    this.#renewal = undefined;
    const formerLink = this.#link;
    const formerSocket = this.#socket;
    this.#socket = socket;
    this.#link = link;
    if (formerLink) formerLink.close({ type: "link_replaced" });
    else formerSocket?.destroy();
  }

  #connect(): void {
    const socket = this.#open(() => {
      this.#link = this.#create(socket, () => undefined);
    });
    this.#socket = socket;
  }

  #create(socket: Socket, onOpen: () => void): Link {
    return this.#createLink(socket, {
      number: ++this.#number,
      helloTimeoutMs: this.#helloTimeout.next(),
      onOpen: () => {
        this.#helloTimeout.reset();
        this.#reconnectDelay.reset();
        onOpen();
      },
    });
  }

  #open(onConnect: () => void): Socket {
    const socket = openSocket(this.#address);
    const giveUp = () => {
      if (socket.connecting) socket.destroy();
    };
    const timeout = setTimeout(
      () => afterPendingInput(giveUp),
      CONNECT_TIMEOUT_MS,
    );
    socket.once("connect", () => {
      clearTimeout(timeout);
      if (!this.#stopped) onConnect();
    });
    socket.on("error", () => undefined);
    socket.once("close", () => {
      clearTimeout(timeout);
      this.#handleClose(socket);
    });
    return socket;
  }

  #handleClose(socket: Socket): void {
    if (this.#renewal === socket) this.#renewal = undefined;
    if (this.#socket !== socket) return;
    const link = this.#link;
    this.#link = undefined;
    if (this.#stopped) return;
    const isTurnedAway = link && !link.peer && link.fault !== "hello_missing";
    const delayMs = isTurnedAway
      ? this.#reconnectDelay.next()
      : RECONNECT_DELAY_MS;
    this.#retry = setTimeout(() => this.#connect(), delayMs);
  }
}

/**
 * Opens a connection. Node throws on an address that it can't connect to; it comes
 * from another process, and the connection fails like any other one.
 */
function openSocket({ host, port }: Address): Socket {
  try {
    return connect({ host, port });
  } catch (cause) {
    return new Socket().destroy(cause as Error);
  }
}
