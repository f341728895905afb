import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Result } from "neverthrow";
import {
  type Address,
  CALL_FAULTS,
  type CallFaultCode,
  HEADERS,
  INTERNAL_PATH_ROOT,
} from "#model";
import type { EntryLimits } from "#settings";
import { type ListenFault, listen } from "#wire";

/** How often Node looks for requests that take too long to arrive. */
const SLOW_CALLER_CHECK_MS = 500;

export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** The HTTP server for callers and backend servers. */
export class CallerServer {
  readonly #server: Server;
  /** Connections with a request whose answer is not out yet. */
  readonly #busy = new WeakSet<Socket>();
  #closing = false;

  constructor(options: {
    limits: EntryLimits;
    /** Paths below `/.mangobank/`; calls like any other if absent. */
    own: RequestHandler | undefined;
    call: RequestHandler;
  }) {
    const { limits, own, call } = options;
    this.#server = createServer(
      {
        maxHeaderSize: limits.headerMaxBytes,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs,
        keepAliveTimeout: limits.idleConnectionMs,
        connectionsCheckingInterval: SLOW_CALLER_CHECK_MS,
        noDelay: true,
      },
      (request, response) => {
        const { socket } = request;
        this.#busy.add(socket);
        response.once("close", () => this.#busy.delete(socket));
        if (this.#closing) response.shouldKeepAlive = false;
        if (own && request.url?.startsWith(INTERNAL_PATH_ROOT))
          own(request, response);
        else call(request, response);
      },
    );
    this.#server.maxConnections = limits.connectionsMax;
    this.#server.on("clientError", (error, socket) => {
      // Bytes written now would mix with the answer under way.
      if (this.#busy.has(socket as Socket)) socket.destroy();
      else refuseMalformed(error, socket as Socket);
    });
    // Tunnels and protocol upgrades have no place in front of a pool of servers.
    this.#server.on("connect", (_request, socket: Socket) => {
      refuse(socket, "invalid_request", "CONNECT is not supported");
    });
  }

  listen(address: Address): Promise<Result<Address, ListenFault>> {
    return listen(this.#server, address);
  }

  /** Takes the time after which an idle connection is closed. */
  setIdleConnectionMs(ms: number): void {
    this.#server.keepAliveTimeout = ms;
  }

  /** Closes each connection with its next answer, so that callers move on. */
  sendAway(): void {
    this.#closing = true;
  }

  /** Stops accepting; resolves when every request has its answer. */
  drain(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeIdleConnections();
    return closed;
  }

  /** Breaks all connections. */
  destroy(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Answers bytes that are no request, with the reason, and closes. */
export function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (error.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  refuse(socket, malformedCode(error.code), error.message);
}

function malformedCode(code: string | undefined): CallFaultCode {
  if (code === "HPE_HEADER_OVERFLOW") return "header_too_large";
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return "request_timeout";
  return "invalid_request";
}

function refuse(socket: Socket, code: CallFaultCode, detail: string): void {
  const { status, outcome } = CALL_FAULTS[code];
  const body = JSON.stringify({ error: code, outcome, detail });
  socket.end(
    `HTTP/1.1 ${status} ${code}\r\n` +
      `content-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `${HEADERS.error}: ${code}\r\n` +
      `${HEADERS.outcome}: ${outcome}\r\n` +
      `connection: close\r\n\r\n${body}`,
  );
}
