import { type IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The side that closed a connection before an answer was complete. */
export type ConnectionEnd = "caller" | "entry";

/** The response to a caller's request. */
export class CallerResponse extends ServerResponse<IncomingMessage> {
  /** Who closed the connection before the answer was written; else undefined. */
  brokenBy: ConnectionEnd | undefined;
}

/** One connection of a caller, with the requests that have no whole answer. */
interface CallerConnection {
  readonly socket: Socket;
  readonly pending: Set<CallerResponse>;
}

/** The connections of callers, and what each of them still waits for. */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>();

  /** Follows a connection until it is closed. */
  open(socket: Socket): void {
    const connection = { socket, pending: new Set<CallerResponse>() };
    this.#connections.set(socket, connection);
    let failed = false;
    socket.once("error", () => {
      failed = true;
    });
    socket.once("close", () => {
      this.#connections.delete(socket);
      const endedByCaller = failed || socket.readableEnded;
      for (const response of connection.pending) {
        response.brokenBy = endedByCaller ? "caller" : "entry";
      }
    });
  }

  /** Adds a request that has been read. */
  add(socket: Socket, response: CallerResponse): void {
    const connection = this.#connections.get(socket);
    if (!connection) return;
    connection.pending.add(response);
    response.once("close", () => connection.pending.delete(response));
  }

  /** Whether a connection has requests without a whole answer. */
  isBusy(socket: Socket): boolean {
    return (this.#connections.get(socket)?.pending.size ?? 0) > 0;
  }
}
