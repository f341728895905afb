import { createServer, IncomingMessage, type Server } from "node:http";
import { type Socket, Server as TcpServer } from "node:net";
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
import { CallerConnections, CallerResponse } from "./caller_connections.ts";

/** How often Node checks for requests that take too long to arrive. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

export type RequestHandler = (
  request: IncomingMessage,
  response: CallerResponse,
) => void;

/** The HTTP server for callers and backend servers. */
export class CallerServer {
  readonly #server: Server<typeof IncomingMessage, typeof CallerResponse>;
  readonly #connections = new CallerConnections();

  constructor(options: {
    limits: EntryLimits;
    /** Handles `/.mangobank/`; if absent, these paths are calls like others. */
    handleApi: RequestHandler | undefined;
    handleCall: RequestHandler;
  }) {
    const { limits, handleApi, handleCall } = options;
    this.#server = createServer(
      {
        maxHeaderSize: limits.headerMaxBytes,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs,
        keepAliveTimeout: limits.idleConnectionMs,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        noDelay: true,
        IncomingMessage,
        ServerResponse: CallerResponse,
      },
      (request, response) => {
        const { socket } = request;
        if (!this.#connections.add(socket, response)) return;
        if (handleApi && request.url?.startsWith(INTERNAL_PATH_ROOT))
          handleApi(request, response);
        else handleCall(request, response);
      },
    );
    this.#server.on("connection", (socket) => this.#connections.open(socket));
    this.#server.maxConnections = limits.connectionsMax;
    this.#server.on("clientError", (error, stream) => {
      const socket = stream as Socket;
      if (isConnectionError(error)) socket.destroy();
      // An error response would mix with the response in progress.
      else
        this.#connections.endWith(socket, () => rejectMalformed(error, socket));
    });
    // Tunnels and protocol upgrades are not supported in front of a server
    // pool.
    this.#server.on("connect", (_request, socket: Socket) => {
      rejectRequest(socket, "invalid_request", "CONNECT is not supported");
    });
  }

  listen(address: Address): Promise<Result<Address, ListenFault>> {
    return listen(this.#server, address);
  }

  /** Sets the time after which an idle connection is closed. */
  setIdleConnectionMs(ms: number): void {
    this.#server.keepAliveTimeout = ms;
  }

  /** Closes connections after their next responses; callers then reconnect. */
  closeAfterResponses(): void {
    this.#connections.closeAfterResponses();
  }

  /** Stops accepting connections; open ones stay open. */
  stopListening(): void {
    // `http.Server` would also close connections to which the end of an answer
    // is still being written.
    TcpServer.prototype.close.call(this.#server);
  }

  /** Number of requests that have been read and have no whole answer. */
  get pendingRequests(): number {
    return this.#connections.pendingRequests;
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Responds to malformed HTTP with the reason and closes the connection. */
export function rejectMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (isConnectionError(error) || !socket.writable) {
    socket.destroy();
    return;
  }
  rejectRequest(socket, malformedCode(error.code), error.message);
}

/** Whether the connection failed, and not the parser of its requests. */
function isConnectionError({ code = "" }: NodeJS.ErrnoException): boolean {
  return !code.startsWith("HPE_") && !code.startsWith("ERR_HTTP_");
}

function malformedCode(code: string | undefined): CallFaultCode {
  if (code === "HPE_HEADER_OVERFLOW") return "header_too_large";
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return "request_timeout";
  return "invalid_request";
}

function rejectRequest(
  socket: Socket,
  code: CallFaultCode,
  detail: string,
): void {
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
