import {
  type IncomingMessage,
  type OutgoingHttpHeader,
  type OutgoingHttpHeaders,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { ClientGuard } from "./client_guard.ts";
import {
  ConnectionFeed,
  type FeedState,
  TurnQueue,
} from "./connection_feed.ts";
import type { FieldBounds, FieldExcess } from "./field_lines.ts";
import type { TrackedRequest } from "./tracked_request.ts";

/**
 * Time for which a connection is still read after the server has ended its
 * side. Closing it with unread bytes would reset it, and the kernel would drop
 * what it has not sent of the last answer.
 */
const LINGER_MS = 1_000;

/** The side that closed a connection before an answer was complete. */
export type ConnectionEnd = "client" | "server";

/** A response whose connection is tracked. */
export class TrackedResponse extends ServerResponse<TrackedRequest> {
  /** Who closed the connection before the answer was written; else undefined. */
  brokenBy: ConnectionEnd | undefined;
  /**
   * Whether the answer is written in parts. Requests that are read meanwhile are
   * answered after it, so it does not close its connection.
   */
  isStreamed = false;
  /** Whether the client waits to be asked for its body, when its turn has come. */
  needsContinue = false;
  /** Called before the head is written, which says whether to keep the connection. */
  onHead: (() => void) | undefined;

  override assignSocket(socket: Socket): void {
    super.assignSocket(socket);
    if (this.needsContinue && !this.headersSent) this.writeContinue();
  }

  override writeHead(
    status: number,
    reason?: string | ResponseHeaders,
    headers?: ResponseHeaders,
  ): this {
    this.onHead?.();
    return super.writeHead(status, reason as string, headers);
  }
}

type ResponseHeaders = OutgoingHttpHeaders | OutgoingHttpHeader[];

/** Requests behind the last answer that are read, so that they are counted. */
const DROPPED_REQUESTS_MAX = 4;

/** One connection of a client, with the requests that have no whole answer. */
class HttpConnection implements FeedState {
  readonly pending = new Set<TrackedResponse>();
  /** The response to the latest request. */
  latest: TrackedResponse | undefined;
  /** Whether an answer has said that the connection ends with it. */
  ending = false;
  requests = 0;
  latestRequest: TrackedRequest | undefined;
  /** Requests that came behind the last answer. */
  dropped = 0;
  feed: ConnectionFeed | undefined;

  get pendingRequests(): number {
    return this.pending.size;
  }

  /** Whether a request has arrived whole and no part of its answer was sent. */
  get isWaiting(): boolean {
    for (const { req, headersSent } of this.pending) {
      if (req.complete && !headersSent) return true;
    }
    return false;
  }

  get isOver(): boolean {
    return this.dropped >= DROPPED_REQUESTS_MAX;
  }

  get incomplete(): TrackedRequest | undefined {
    return this.latestRequest?.complete ? undefined : this.latestRequest;
  }
}

export interface HttpConnectionsOptions {
  /** Bounds what clients make the process hold; default: no bound. */
  readonly guard?: ClientGuard | undefined;
  readonly fieldBounds: () => FieldBounds;
  /** Called when fields of a connection pass a bound before their end. */
  readonly onFieldsExceeded: (socket: Socket, excess: FieldExcess) => void;
}

/** The connections of a server, and what each of them still waits for. */
export class HttpConnections {
  readonly #connections = new Map<Socket, HttpConnection>();
  readonly #turns = new TurnQueue();
  readonly #guard: ClientGuard | undefined;
  readonly #options: HttpConnectionsOptions;
  #closing = false;

  constructor(options: HttpConnectionsOptions) {
    this.#options = options;
    this.#guard = options.guard;
  }

  /** Follows a connection until it is closed. */
  open(socket: Socket, { isClient = true } = {}): void {
    const connection = new HttpConnection();
    this.#connections.set(socket, connection);
    if (isClient) {
      connection.feed = new ConnectionFeed(socket, {
        state: connection,
        turns: this.#turns,
        fields: {
          bounds: this.#options.fieldBounds,
          onHeld: (bytes) => this.#guard?.holdFields(socket, bytes),
          onExceeded: (excess) =>
            this.#options.onFieldsExceeded(socket, excess),
        },
      });
      this.#guard?.open(socket, () => connection.isWaiting);
    }
    // Node calls this after an answer with `Connection: close`.
    socket.destroySoon = () => linger(socket);
    let failed = false;
    socket.once("error", () => {
      failed = true;
    });
    socket.once("close", () => {
      this.#connections.delete(socket);
      const by = failed || socket.readableEnded ? "client" : "server";
      for (const response of connection.pending) breakOff(response, by);
    });
  }

  /**
   * Adds a request that has been read. Returns false if its connection ends
   * with an earlier answer, so that the request can't be answered; its client
   * may repeat it.
   */
  add(request: TrackedRequest, response: TrackedResponse): boolean {
    const connection = this.#connections.get(request.socket);
    if (!connection) return false;
    connection.requests += 1;
    connection.latestRequest = request;
    request.gathersParts = connection.feed !== undefined;
    request.headTextBytes = connection.feed?.headBytes ?? 0;
    if (connection.ending) {
      connection.dropped += 1;
      return false;
    }
    connection.pending.add(response);
    connection.latest = response;
    response.once("close", () => {
      connection.pending.delete(response);
      if (connection.latest === response) connection.latest = undefined;
      if (!connection.feed) return;
      connection.feed.onAnswered();
      const isAnswered = response.writableFinished;
      this.#guard?.remove(request, { isAnswered });
    });
    if (connection.feed) this.#guard?.add(request);
    response.onHead = () => {
      if (connection.latest !== response) return;
      if (this.#closing && !response.isStreamed)
        response.shouldKeepAlive = false;
      connection.ending ||= !response.shouldKeepAlive;
    };
    return true;
  }

  /**
   * Closes each connection after its next answer, unless a later request has
   * been read.
   */
  closeAfterResponses(): void {
    this.#closing = true;
  }

  /** Whether connections close after an answer. */
  get isClosing(): boolean {
    return this.#closing;
  }

  /** Number of requests on all connections that have no whole answer. */
  get pendingRequests(): number {
    let count = 0;
    for (const { pending } of this.#connections.values()) count += pending.size;
    return count;
  }

  /**
   * Takes on no further request of a connection and calls `end` when those
   * that were read have their answers. A request whose body has not been read
   * whole is answered by `end` if nothing was done for it, else its connection
   * ends after the answers before it.
   */
  endWith(
    socket: Socket,
    end: () => void,
    isUnused: (request: IncomingMessage) => boolean = () => false,
  ): void {
    const connection = this.#connections.get(socket);
    if (!connection || connection.ending) return;
    connection.ending = true;
    const pending = [...connection.pending];
    const isCut = pending.at(-1)?.req.complete === false;
    const last = isCut ? pending.at(-2) : pending.at(-1);
    const cut = isCut ? pending.at(-1) : undefined;
    const finish = () => {
      if (!cut) end();
      else if (cut.headersSent || !isUnused(cut.req)) socket.destroy();
      else {
        // Its handler may still answer, which would mix with this answer.
        cut.detachSocket(socket);
        end();
      }
    };
    if (last) last.once("close", finish);
    else finish();
  }

  /** Parses no more of a connection that is a tunnel, or is refused. */
  endParsing(socket: Socket): void {
    this.#connections.get(socket)?.feed?.end();
  }

  /** Ends all connections on which nothing is owed. */
  endIdle(): void {
    for (const [socket, connection] of this.#connections) {
      if (connection.pending.size > 0) continue;
      connection.ending = true;
      linger(socket);
    }
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }
}

/** Ends the server's side of a connection and discards what still arrives. */
function linger(socket: Socket): void {
  if (socket.destroyed) return;
  socket.end();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
}

function breakOff(response: TrackedResponse, by: ConnectionEnd): void {
  response.brokenBy = by;
  // Node emits no event for a response that waits behind another one.
  if (response.socket !== null) return;
  response.destroy();
  response.emit("close");
}
