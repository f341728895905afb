import { createServer, type Server, type Socket } from "node:net";
import type { Result } from "neverthrow";
import type * as z from "zod";
import {
  type Address,
  type Clock,
  type HostId,
  type MessageDecoders,
  type Randomness,
  SystemRandomness,
} from "#model";
import { afterPendingInput } from "./after_input.ts";
import { encodeMessage } from "./frames.ts";
import {
  Link,
  type LinkFault,
  type LinkOptions,
  type Traffic,
} from "./link.ts";
import { type ListenFault, listen } from "./listen.ts";
import type { Hello, MessageMap } from "./messages.ts";
import { OutgoingConnection } from "./outgoing_connection.ts";
import type { MessageRefusal } from "./refused_messages.ts";

const KEEPALIVE_CHECK_INTERVAL_MS = 250;
/**
 * Time after which an accepted connection without a hello is closed. Its opener
 * may be too busy to send it, and opens another one if it is closed.
 */
const ACCEPTED_HELLO_TIMEOUT_MS = 10_000;
/** Limit on accepted connections, so that strangers cannot exhaust memory. */
const MAX_ACCEPTED_CONNECTIONS = 2_048;

/** Another process to which a connection is kept open. */
export interface Peer {
  /**
   * Absent where only the address is configured; the id is then in its hello.
   */
  readonly id?: HostId;
  readonly address: Address;
}

/** Callbacks for connection events. */
export interface NetworkObserver {
  readonly onConnect?: (peer: Hello) => void;
  /** Called when the last link to a peer was closed, with the fault that closed it. */
  readonly onDisconnect?: (peer: Hello, fault: LinkFault) => void;
  readonly onFault?: (fault: LinkFault, link: Link | undefined) => void;
  /** Called for each message of a peer that was refused. */
  readonly onRefused?: (refusal: MessageRefusal, peer: Hello) => void;
  /** Called for an exception of a task, such as another callback of these. */
  readonly onFailure?: (task: string, error: unknown) => void;
}

type Handler = (payload: unknown, from: Hello) => void;

/** Sends and receives messages; the interface that the roles depend on. */
export interface Network<M extends MessageMap> {
  /** Sends to a connected process; returns false if there is no connection. */
  send<K extends keyof M & string>(to: HostId, kind: K, payload: M[K]): boolean;
  /** Sends a message to several processes, encoded once per key encoding. */
  broadcast<K extends keyof M & string>(
    to: readonly HostId[],
    kind: K,
    payload: M[K],
  ): void;
  /** Sets the handler of a message kind; there is one per kind. */
  handle<K extends keyof M & string>(
    kind: K,
    handler: (payload: M[K], from: Hello) => void,
  ): void;
}

/** TCP connections to other processes of mangobank. */
export class TcpNetwork<M extends MessageMap> implements Network<M> {
  readonly traffic: Traffic = {
    sentBytes: 0,
    receivedBytes: 0,
    sentByKind: new Map(),
    messagesByKind: new Map(),
    refusedByKind: new Map(),
    openedLinks: 0,
    closedByFault: new Map(),
  };
  readonly #self: Hello;
  readonly #clock: Clock;
  readonly #randomness: Randomness;
  readonly #observer: NetworkObserver;
  readonly #decoders: ReadonlyMap<string, z.ZodType>;
  readonly #handlers = new Map<string, Handler>();
  readonly #links = new Map<HostId, Link[]>();
  readonly #accepted = new Set<Link>();
  readonly #outgoing = new Map<string, OutgoingConnection>();
  readonly #timer: NodeJS.Timeout;
  #openedChannels = 0;
  #server: Server | undefined;

  constructor(options: {
    self: Hello;
    clock: Clock;
    randomness?: Randomness;
    observer?: NetworkObserver;
    /** What a kind's payloads are; those of other kinds are handled as they are. */
    decoders?: MessageDecoders<M>;
  }) {
    this.#decoders = new Map(Object.entries(options.decoders ?? {}));
    this.#self = options.self;
    this.#clock = options.clock;
    this.#randomness = options.randomness ?? new SystemRandomness();
    this.#observer = options.observer ?? {};
    this.#timer = setInterval(
      () => afterPendingInput(() => this.#checkLinks()),
      KEEPALIVE_CHECK_INTERVAL_MS,
    );
  }

  /** Starts to accept connections at an address. */
  listen(address: Address): Promise<Result<Address, ListenFault>> {
    this.#server = createServer((socket) => this.#accept(socket));
    return listen(this.#server, address);
  }

  /**
   * Sets the processes to which connections are kept open, and closes the
   * outgoing connections to all others.
   */
  setPeers(peers: readonly Peer[]): void {
    const wanted = new Map(peers.map((peer) => [peerKey(peer), peer]));
    for (const [key, connection] of this.#outgoing) {
      if (wanted.has(key)) continue;
      connection.stop();
      this.#outgoing.delete(key);
    }
    for (const [key, peer] of wanted) {
      if (this.#outgoing.has(key)) continue;
      const channel = ++this.#openedChannels;
      const connection = new OutgoingConnection(peer.address, {
        createLink: (socket, { number, ...rest }) =>
          this.#createLink(socket, {
            connection: { channel, number },
            ...rest,
          }),
        clock: this.#clock,
        randomness: this.#randomness,
      });
      this.#outgoing.set(key, connection);
    }
  }

  send<K extends keyof M & string>(to: HostId, kind: K, payload: M[K]) {
    return this.#linkTo(to)?.send(kind, payload) ?? false;
  }

  broadcast<K extends keyof M & string>(
    to: readonly HostId[],
    kind: K,
    payload: M[K],
  ): void {
    const links = to.flatMap((id) => this.#linkTo(id) ?? []);
    for (const keys of ["short", "full"] as const) {
      const matchingLinks = links.filter((link) => link.keyEncoding === keys);
      if (matchingLinks.length === 0) continue;
      encodeMessage(kind, payload, { keys }).match(
        (message) => {
          for (const link of matchingLinks) link.sendEncoded(kind, message);
        },
        (fault) => this.#observer.onFault?.(fault, undefined),
      );
    }
  }

  handle<K extends keyof M & string>(
    kind: K,
    handler: (payload: M[K], from: Hello) => void,
  ): void {
    this.#handlers.set(kind, handler as Handler);
  }

  /** The hellos of all processes with an open connection. */
  connected(): Hello[] {
    const peers: Hello[] = [];
    for (const links of this.#links.values()) {
      const peer = links[0]?.peer;
      if (peer) peers.push(peer);
    }
    return peers;
  }

  isConnected(id: HostId): boolean {
    return this.#links.has(id);
  }

  /**
   * Opens a new connection to a process beside the present one, which it
   * replaces as soon as it is open. For links that may be dead; does nothing if
   * this process has not opened the link.
   */
  renewLink(id: HostId): void {
    for (const connection of this.#outgoing.values()) {
      if (connection.link?.peer?.id === id) connection.renew();
    }
  }

  /**
   * Milliseconds since anything arrived on the link to a process; undefined
   * without a link.
   */
  silenceMs(id: HostId): number | undefined {
    return this.#linkTo(id)?.silenceMs;
  }

  close(): void {
    clearInterval(this.#timer);
    this.setPeers([]);
    this.#server?.close();
    for (const link of this.#allLinks()) link.close({ type: "link_closed" });
  }

  /** The link on which messages to a process are sent: the newest one. */
  #linkTo(id: HostId): Link | undefined {
    return this.#links.get(id)?.find(({ open }) => open);
  }

  #accept(socket: Socket): void {
    if (this.#accepted.size >= MAX_ACCEPTED_CONNECTIONS) {
      socket.destroy();
      return;
    }
    const link = this.#createLink(socket);
    this.#accepted.add(link);
    socket.once("close", () => this.#accepted.delete(link));
  }

  #createLink(
    socket: Socket,
    outgoing?: Pick<LinkOptions, "connection"> & {
      readonly helloTimeoutMs: number;
      readonly onOpen: () => void;
    },
  ): Link {
    const link = new Link(socket, {
      ...(outgoing?.connection && { connection: outgoing.connection }),
      self: this.#self,
      clock: this.#clock,
      traffic: this.traffic,
      events: {
        onOpen: (opened) => {
          outgoing?.onOpen();
          this.#handleOpen(opened);
        },
        onClose: (closed, fault) => this.#handleClose(closed, fault),
        onMessage: (from, kind, payload) =>
          this.#handleMessage(from, kind, payload),
        onRefused: (from, refusal) => this.#handleRefusal(from, refusal),
      },
    });
    const closeWithoutHello = () => {
      if (link.isGreeting) afterPendingInput(closeWithoutHello);
      else if (!link.peer) link.close({ type: "hello_missing" });
    };
    setTimeout(
      () => afterPendingInput(closeWithoutHello),
      outgoing?.helloTimeoutMs ?? ACCEPTED_HELLO_TIMEOUT_MS,
    ).unref();
    return link;
  }

  #handleOpen(link: Link): void {
    const peer = link.peer;
    if (!peer) return;
    this.traffic.openedLinks += 1;
    // A process opens another connection on a channel only after it has given the
    // former one up, which may never be closed at this end.
    const former = this.#links
      .get(peer.id)
      ?.find((other) => other.peer && isSameChannel(peer, other.peer));
    if (former?.peer && isOpenedBefore(peer, former.peer)) {
      link.close({ type: "link_replaced" });
      return;
    }
    former?.close({ type: "link_replaced" });
    const otherLinks = this.#links.get(peer.id);
    this.#links.set(peer.id, [link, ...(otherLinks ?? [])]);
    if (!otherLinks)
      this.#notify("onConnect", () => this.#observer.onConnect?.(peer));
  }

  #handleClose(link: Link, fault: LinkFault): void {
    this.#observer.onFault?.(fault, link);
    const { closedByFault } = this.traffic;
    closedByFault.set(fault.type, (closedByFault.get(fault.type) ?? 0) + 1);
    const peer = link.peer;
    if (!peer) return;
    const links = this.#links.get(peer.id) ?? [];
    // It was replaced before it was used.
    if (!links.includes(link)) return;
    const remainingLinks = links.filter((l) => l !== link);
    if (remainingLinks.length > 0) {
      this.#links.set(peer.id, remainingLinks);
      return;
    }
    this.#links.delete(peer.id);
    this.#notify("onDisconnect", () =>
      this.#observer.onDisconnect?.(peer, fault),
    );
  }

  /** Calls an observer back, whose exception must not end the process. */
  #notify(event: "onConnect" | "onDisconnect", call: () => void): void {
    try {
      call();
    } catch (error) {
      this.#observer.onFailure?.(event, error);
    }
  }

  #handleMessage(link: Link, kind: string, payload: unknown): void {
    const peer = link.peer;
    const handle = this.#handlers.get(kind);
    if (!peer || !handle) return;
    const decoded = this.#decoders.get(kind)?.safeParse(payload);
    if (decoded?.success === false) {
      const detail = describeProblems(decoded.error);
      this.#handleRefusal(link, { kind, detail });
      return;
    }
    handle(decoded ? decoded.data : payload, peer);
  }

  #handleRefusal({ peer }: Link, refusal: MessageRefusal): void {
    const { refusedByKind } = this.traffic;
    const { kind } = refusal;
    refusedByKind.set(kind, (refusedByKind.get(kind) ?? 0) + 1);
    if (peer) this.#observer.onRefused?.(refusal, peer);
  }

  #checkLinks(): void {
    for (const link of this.#allLinks()) link.checkKeepalive();
  }

  #allLinks(): Set<Link> {
    return new Set([...this.#accepted, ...[...this.#links.values()].flat()]);
  }
}

/** Most problems of one payload that are told. */
const MAX_PROBLEMS = 5;

/** The fields that are wrong, each with the reason. */
function describeProblems({ issues }: z.ZodError): string {
  return issues
    .slice(0, MAX_PROBLEMS)
    .map(({ path, message }) => `${path.join(".") || "payload"}: ${message}`)
    .join("; ");
}

/**
 * Whether a process has opened two connections, by its hellos on both, of which it
 * uses one only: those of a channel, and those before its restart.
 */
function isSameChannel(hello: Hello, other: Hello): boolean {
  if (!hello.connection || !other.connection) return false;
  if (hello.incarnation !== other.incarnation) return true;
  return hello.connection.channel === other.connection.channel;
}

/**
 * Whether a process opened a connection of a channel before another one. A hello
 * that was held up may arrive after that of a later connection.
 */
function isOpenedBefore(hello: Hello, other: Hello): boolean {
  if (hello.incarnation !== other.incarnation) return false;
  return (hello.connection?.number ?? 0) < (other.connection?.number ?? 0);
}

function peerKey(peer: Peer): string {
  return `${peer.id ?? ""}@${peer.address.host}:${peer.address.port}`;
}
