import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Result } from "neverthrow";
import {
  type Address,
  CALL_FAULTS,
  type CallFaultCode,
  type Clock,
  HEADERS,
  INTERNAL_PATH_ROOT,
} from "#model";
import type { EntryLimits } from "#settings";
import {
  type ClientGuard,
  type HttpFailure,
  type HttpHandler,
  HttpServer,
  type ListenFault,
} from "#wire";

/** How often Node checks for requests that take too long to arrive. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** The HTTP server for callers and backend servers. */
export class CallerServer {
  readonly #server: HttpServer;

  constructor(options: {
    limits: EntryLimits;
    /** Handles `/.mangobank/`; if absent, these paths are calls like others. */
    handleApi: HttpHandler | undefined;
    handleCall: HttpHandler;
    /** Handles calls that other entries pass on. */
    handleHandedOver?: HttpHandler;
    /** Called for a request that came behind the last answer of a connection. */
    onDropped?: (request: IncomingMessage) => void;
    /** Called for a request whose handling threw or rejected. */
    onFailure?: (failure: HttpFailure) => void;
    /** Bytes of a head that the configuration in force allows. */
    headerBytesMax?: () => number;
    /** Bounds what callers make the process hold; default: no bound. */
    guard?: ClientGuard | undefined;
  }) {
    const { limits, handleApi, handleCall, handleHandedOver } = options;
    const { onDropped, onFailure, headerBytesMax } = options;
    this.#server = new HttpServer(
      {
        maxHeaderSize: limits.headerMaxBytes,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs,
        keepAliveTimeout: limits.idleConnectionMs,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        noDelay: true,
        // A call may be at a server before its body has been read whole.
        isUnusedUntilRead: (request) =>
          handleApi !== undefined && isApiRequest(request),
        connectionsMax: limits.connectionsMax,
        guard: options.guard,
        ...(headerBytesMax && { headerBytesMax }),
        ...(onDropped && { onDropped }),
        ...(onFailure && { onFailure }),
      },
      (request, response) => {
        if (this.#server.isInternal(request.socket))
          return handleHandedOver?.(request, response);
        if (handleApi && isApiRequest(request))
          return handleApi(request, response);
        return handleCall(request, response);
      },
    );
    this.#server.onMalformed(rejectMalformed);
    // Tunnels and protocol upgrades are not supported in front of a server
    // pool.
    this.#server.onConnect((socket) =>
      rejectRequest(socket, "invalid_request", "CONNECT is not supported"),
    );
  }

  listen(address: Address): Promise<Result<Address, ListenFault>> {
    return this.#server.listen(address);
  }

  /** Listens for calls that other entries pass on. */
  listenForHandedOver(address: Address): Promise<Result<Address, ListenFault>> {
    return this.#server.listenInternally(address);
  }

  /** Sets the time after which an idle connection is closed. */
  setIdleConnectionMs(ms: number): void {
    this.#server.setIdleConnectionMs(ms);
  }

  /** Closes connections after their next responses; callers then reconnect. */
  closeAfterResponses(): void {
    this.#server.closeAfterResponses();
  }

  /**
   * Stops accepting connections, after those in the queue or at a time of the clock;
   * open ones stay open.
   */
  stopListening(clock: Clock, until: number): Promise<void> {
    return this.#server.stopListening(clock, until);
  }

  /** Number of requests that have been read and have no whole answer. */
  get pendingRequests(): number {
    return this.#server.pendingRequests;
  }

  /** Resolves when all requests are answered, or at a time of the clock. */
  answered(clock: Clock, until: number): Promise<void> {
    return this.#server.answered(clock, until);
  }

  /** Ends idle connections and lets their callers close them. */
  endIdle(clock: Clock): Promise<void> {
    return this.#server.endIdle(clock);
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.#server.destroy();
  }
}

function isApiRequest({ url }: IncomingMessage): boolean {
  return url?.startsWith(INTERNAL_PATH_ROOT) === true;
}

/** Responds to malformed HTTP with the reason and closes the connection. */
export function rejectMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  rejectRequest(socket, malformedCode(error.code), error.message);
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
