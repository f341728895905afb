import type { Socket } from "node:net";
import {
  ClientAccount,
  type ClientBounds,
  type ClientLimit,
  FIELD_BYTES,
  REQUEST_BYTES,
} from "#client_limits";
import type { Clock } from "#model";
import type { RequestAccount, TrackedRequest } from "./tracked_request.ts";

/** How often the bytes in the buffers of sockets are charged. */
const BUFFER_CHECK_INTERVAL_MS = 200;
/**
 * Bytes charged after which the memory of the process is read again. A crowd can
 * charge tens of megabytes between two checks of the buffers.
 */
const RESIDENT_CHECK_BYTES = 2_000_000;

/** A client's connection that was closed for a limit. */
export interface ClosedClient {
  readonly limit: ClientLimit;
  readonly address: string | undefined;
  /** Bytes that it was charged for. */
  readonly heldBytes: number;
}

/**
 * Reports what clients make the process hold to the account that all its servers
 * share, and closes the connections that the account names.
 */
export class ClientGuard implements RequestAccount {
  readonly #account: ClientAccount<Socket>;
  readonly #clock: Clock;
  readonly #onClosed: (closed: ClosedClient) => void;
  /** Bytes in the buffers of each socket, as they were charged last. */
  readonly #buffered = new Map<Socket, number>();
  /** Bytes that are held of fields whose end has not come. */
  readonly #fields = new Map<Socket, number>();
  readonly #residentBytes: () => number;
  /** Bytes charged since the memory of the process was read. */
  #chargedBytes = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: {
    readonly bounds: ClientBounds;
    readonly clock: Clock;
    readonly onClosed: (closed: ClosedClient) => void;
    /** Memory that the process takes; default: its resident memory. */
    readonly residentBytes?: () => number;
  }) {
    this.#account = new ClientAccount(options.bounds);
    this.#clock = options.clock;
    this.#onClosed = options.onClosed;
    this.#residentBytes = options.residentBytes ?? process.memoryUsage.rss;
  }

  /** Bytes that clients make the process hold. */
  get heldBytes(): number {
    return this.#account.heldBytes;
  }

  /** Follows a connection until it closes; see `ClientAccount.open`. */
  open(socket: Socket, isWaiting?: () => boolean): void {
    this.#account.open(socket, this.#clock.now(), isWaiting);
    this.#buffered.set(socket, 0);
    socket.once("close", () => {
      this.#account.close(socket);
      this.#buffered.delete(socket);
      this.#fields.delete(socket);
      if (this.#buffered.size > 0) return;
      clearInterval(this.#timer);
      this.#timer = undefined;
    });
    this.#timer ??= setInterval(
      () => this.#chargeBuffers(),
      BUFFER_CHECK_INTERVAL_MS,
    ).unref();
    this.#evict();
  }

  /** Charges a connection with fields whose end has not come. */
  holdFields(socket: Socket, bytes: number): void {
    const change = bytes - (this.#fields.get(socket) ?? 0);
    if (change === 0) return;
    this.#fields.set(socket, bytes);
    this.#chargeBytes(socket, change);
  }

  /** Charges a request to its connection. */
  add(request: TrackedRequest): void {
    request.account = this;
    this.#chargeBytes(request.socket, headBytes(request));
  }

  /** Returns what a request was charged, when its answer is closed. */
  remove(
    request: TrackedRequest,
    { isAnswered }: { isAnswered: boolean },
  ): void {
    const { socket } = request;
    request.account = undefined;
    this.#account.charge(socket, -headBytes(request) - request.heldBytes);
    if (isAnswered) this.#account.progress(socket, this.#clock.now());
  }

  charge({ socket }: TrackedRequest, bytes: number): void {
    this.#chargeBytes(socket, bytes);
  }

  #chargeBytes(socket: Socket, bytes: number): void {
    this.#account.charge(socket, bytes);
    this.#chargedBytes += Math.max(0, bytes);
    if (this.#chargedBytes >= RESIDENT_CHECK_BYTES) this.#checkResident();
    this.#evict();
  }

  complete({ socket }: TrackedRequest): void {
    this.#account.progress(socket, this.#clock.now());
  }

  /** Reports a connection that its server closes for a limit of one request. */
  refused(socket: Socket, limit: ClientLimit): void {
    const { remoteAddress: address } = socket;
    this.#onClosed({ limit, address, heldBytes: 0 });
  }

  #chargeBuffers(): void {
    for (const [socket, charged] of this.#buffered) {
      const bytes = socket.readableLength + socket.writableLength;
      if (bytes === charged) continue;
      this.#account.charge(socket, bytes - charged);
      this.#buffered.set(socket, bytes);
    }
    this.#checkResident();
    this.#evict();
  }

  #checkResident(): void {
    this.#chargedBytes = 0;
    this.#account.setResidentBytes(this.#residentBytes());
  }

  #evict(): void {
    if (!this.#account.isExceeded) return;
    for (const { connection, limit, heldBytes } of this.#account.evictions()) {
      const { remoteAddress: address } = connection;
      // It emits `close` later, but must not be named again until then.
      this.#account.close(connection);
      connection.destroy();
      this.#onClosed({ limit, address, heldBytes });
    }
  }
}

function headBytes({ rawHeaders, headTextBytes }: TrackedRequest): number {
  const fields = rawHeaders.length / 2;
  return REQUEST_BYTES + headTextBytes + fields * FIELD_BYTES;
}
