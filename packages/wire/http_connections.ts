import {
  type IncomingMessage,
  type OutgoingHttpHeader,
  type OutgoingHttpHeaders,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";

/** The side that closed a connection before an answer was complete. */
export type ConnectionEnd = "client" | "server";

/** A response whose connection is tracked. */
export class TrackedResponse extends ServerResponse<IncomingMessage> {
  /** Who closed the connection before the answer was written; else undefined. */
  brokenBy: ConnectionEnd | undefined;
  /** Called before the head is written, which says whether to keep the connection. */
  onHead: (() => void) | undefined;

  override writeHead(
    status: number,
    reason?: string | OutgoingHttpHeaders | OutgoingHttpHeader[],
    headers?: OutgoingHttpHeaders | OutgoingHttpHeader[],
  ): this {
    this.onHead?.();
    return super.writeHead(status, reason as string, headers);
  }
}

/** One connection of a client, with the requests that have no whole answer. */
interface HttpConnection {
  readonly pending: Set<TrackedResponse>;
  /** The response to the latest request. */
  latest: TrackedResponse | undefined;
  /** Whether an answer has said that the connection ends with it. */
  ending: boolean;
}

/** The connections of a server, and what each of them still waits for. */
export class HttpConnections {
  readonly #connections = new Map<Socket, HttpConnection>();
  #closing = false;

  /** Follows a connection until it is closed. */
  open(socket: Socket): void {
    const connection: HttpConnection = {
      pending: new Set(),
      latest: undefined,
      ending: false,
    };
    this.#connections.set(socket, connection);
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
   * with an earlier answer, so that the request can't be answered.
   */
  add(socket: Socket, response: TrackedResponse): boolean {
    const connection = this.#connections.get(socket);
    if (!connection || connection.ending) return false;
    connection.pending.add(response);
    connection.latest = response;
    response.once("close", () => {
      connection.pending.delete(response);
      if (connection.latest === response) connection.latest = undefined;
    });
    response.onHead = () => {
      if (connection.latest !== response) return;
      if (this.#closing) response.shouldKeepAlive = false;
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

  /** Number of requests on all connections that have no whole answer. */
  get pendingRequests(): number {
    let count = 0;
    for (const { pending } of this.#connections.values()) count += pending.size;
    return count;
  }

  /**
   * Takes on no further request of a connection and calls `end` when those
   * that were read have their answers. A request whose body has not been read
   * whole can't be answered, so its connection is closed at once.
   */
  endWith(socket: Socket, end: () => void): void {
    const connection = this.#connections.get(socket);
    if (!connection || connection.ending) return;
    connection.ending = true;
    const { latest, pending } = connection;
    if (!latest || pending.size === 0) end();
    else if (latest.req.complete) latest.once("close", end);
    else socket.destroy();
  }
}

function breakOff(response: TrackedResponse, by: ConnectionEnd): void {
  response.brokenBy = by;
  // Node emits no event for a response that waits behind another one.
  if (response.socket !== null) return;
  response.destroy();
  response.emit("close");
}
