import { randomUUID } from "node:crypto";
import {
  createServer,
  maxHeaderSize as defaultMaxHeaderSize,
  type IncomingMessage,
  type Server,
  type ServerOptions,
} from "node:http";
import {
  createServer as createTcpServer,
  type Socket,
  Server as TcpServer,
} from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { Result } from "neverthrow";
import type { Address, Clock } from "#model";
import { arrivedInput } from "./arrived_input.ts";
import type { ClientGuard } from "./client_guard.ts";
import type { FieldExcess } from "./field_lines.ts";
import { HttpConnections, TrackedResponse } from "./http_connections.ts";
import {
  answerFailure,
  type HttpFailure,
  httpFailure,
} from "./http_failure.ts";
import { type ListenFault, listen } from "./listen.ts";
import { TrackedRequest } from "./tracked_request.ts";

/** How often to check whether all requests that were read are answered. */
const DRAIN_CHECK_INTERVAL_MS = 20;
/** Part of a close in which connections are accepted as long as some wait. */
const QUEUE_FRACTION = 0.5;
/** Longest wait for clients to close idle connections at the end of a stop. */
const MAX_CLOSE_MS = 200;
/**
 * Longest idle time of a connection: the longest time of a Node timer, less the
 * second that Node adds. With a longer one Node writes a warning per response.
 */
const MAX_IDLE_CONNECTION_MS = 2 ** 31 - 1 - 1_000;

/**
 * Fields of a head that are read; a request with more gets 431. Node reads as many
 * by default and drops the others without a notice.
 */
const HEADER_FIELDS_MAX = 2_000;
const TOO_MANY_FIELDS = JSON.stringify({
  error: "header_too_large",
  detail: `at most ${HEADER_FIELDS_MAX} header fields are accepted`,
});

/** As Node answers where nothing else is said. */
const HEADER_TOO_LARGE_ANSWER =
  "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n\r\n";

const TOO_MANY_FIELDS_ANSWER =
  "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
  "content-type: application/json\r\n" +
  `content-length: ${Buffer.byteLength(TOO_MANY_FIELDS)}\r\n` +
  `connection: close\r\n\r\n${TOO_MANY_FIELDS}`;

export interface HttpServerOptions extends ServerOptions {
  readonly connectionsMax?: number;
  /**
   * Bytes that the first line of a head, and its fields together, may have at the
   * moment; `maxHeaderSize` at most, which is the default.
   */
  readonly headerBytesMax?: () => number;
  /** Bounds what clients make the process hold; default: no bound. */
  readonly guard?: ClientGuard | undefined;
  /** Called for each connection that is accepted. */
  readonly onConnection?: ((socket: Socket) => void) | undefined;
  /** Called for a request that came behind the last answer of a connection. */
  readonly onDropped?: (request: IncomingMessage) => void;
  /**
   * Called for a request whose handler threw or rejected; it is answered with
   * 500 if no part of its answer was written.
   */
  readonly onFailure?: (failure: HttpFailure) => void;
  /**
   * Whether nothing is done for a request before its body has been read whole, so
   * that it can be refused if its body is malformed; default: no request.
   */
  readonly isUnusedUntilRead?: (request: IncomingMessage) => boolean;
}

export type HttpHandler = (
  request: IncomingMessage,
  response: TrackedResponse,
) => void | Promise<void>;

const CONNECT_REFUSAL = JSON.stringify({ error: "method_not_allowed" });

/** An HTTP server that can stop without breaking off an answer. */
export class HttpServer {
  readonly #server: Server<typeof TrackedRequest, typeof TrackedResponse>;
  readonly #connections: HttpConnections;
  readonly #guard: ClientGuard | undefined;
  /** Listens on the internal address; its connections are served as others. */
  #internalServer: TcpServer | undefined;
  readonly #internalSockets = new WeakSet<Socket>();
  readonly #handle: HttpHandler;
  readonly #isUnusedUntilRead: HttpServerOptions["isUnusedUntilRead"];
  readonly #onFailure: HttpServerOptions["onFailure"];
  /** Tells failures of different servers and processes apart. */
  readonly #failurePrefix = randomUUID().slice(0, 8);
  #failureCount = 0;
  /** Number of connections that were accepted. */
  #connectionCount = 0;
  /** Number of requests that have been read. */
  #requestCount = 0;

  constructor(options: HttpServerOptions, handle: HttpHandler) {
    const { connectionsMax, onDropped, onFailure, ...others } = options;
    const {
      isUnusedUntilRead,
      guard,
      headerBytesMax,
      onConnection,
      ...nodeOptions
    } = others;
    const { maxHeaderSize = defaultMaxHeaderSize } = nodeOptions;
    this.#connections = new HttpConnections({
      guard,
      // Fields are held before they are parsed, so that the parser does not bound them.
      fieldBounds: () => ({
        bytesMax: Math.min(headerBytesMax?.() ?? maxHeaderSize, maxHeaderSize),
        fieldsMax: HEADER_FIELDS_MAX,
      }),
      onFieldsExceeded: (socket, excess) => this.#refuseHead(socket, excess),
    });
    this.#guard = guard;
    this.#isUnusedUntilRead = isUnusedUntilRead;
    this.#handle = handle;
    this.#onFailure = onFailure;
    this.#server = createServer(
      {
        ...nodeOptions,
        IncomingMessage: TrackedRequest,
        ServerResponse: TrackedResponse,
      } as ServerOptions<typeof TrackedRequest, typeof TrackedResponse>,
      (request, response) => {
        this.#requestCount += 1;
        if (!this.#connections.add(request, response)) {
          request.resume();
          onDropped?.(request);
          // Node keeps the request until the connection closes.
          request.rawHeaders = [];
          return;
        }
        // While connections close after an answer, all requests that arrived
        // together are read before the first of them is answered.
        if (this.#connections.isClosing)
          setImmediate(() => {
            if (!response.destroyed) this.#serve(request, response);
          });
        else this.#serve(request, response);
      },
    );
    // Without a listener, Node closes the connection without an answer.
    this.onConnect(refuseConnect);
    this.#server.on("checkContinue", (request, response) => {
      continueInTurn(response);
      this.#server.emit("request", request, response);
    });
    this.#server.maxHeadersCount = HEADER_FIELDS_MAX + 1;
    this.#server.on("connection", (socket) => {
      this.#connectionCount += 1;
      onConnection?.(socket);
      this.#connections.open(socket, { isClient: !this.isInternal(socket) });
    });
    if (connectionsMax !== undefined)
      this.#server.maxConnections = connectionsMax;
  }

  listen(address: Address): Promise<Result<Address, ListenFault>> {
    return listen(this.#server, address);
  }

  /**
   * Also listens on an address that only other processes of mangobank use.
   * Requests of its connections are told apart with `isInternal`.
   */
  listenInternally(address: Address): Promise<Result<Address, ListenFault>> {
    this.#internalServer = createTcpServer({ noDelay: true }, (socket) => {
      this.#internalSockets.add(socket);
      this.#server.emit("connection", socket);
    });
    return listen(this.#internalServer, address);
  }

  /** Whether a connection came in on the internal address. */
  isInternal(socket: Socket): boolean {
    return this.#internalSockets.has(socket);
  }

  /**
   * Sets the time after which an idle connection is closed; 0 sets no bound. A
   * time below 0, which a configuration of an earlier build may hold, is ignored:
   * Node throws on it when a response ends, in a callback of its own.
   */
  setIdleConnectionMs(ms: number): void {
    if (!(ms >= 0)) return;
    this.#server.keepAliveTimeout = Math.min(ms, MAX_IDLE_CONNECTION_MS);
  }

  /**
   * Calls back once for a connection that brings malformed bytes, when the
   * requests before them are answered.
   */
  onMalformed(
    reject: (error: NodeJS.ErrnoException, socket: Socket) => void,
  ): void {
    this.#server.on("clientError", (error, stream) => {
      const socket = stream as Socket;
      if (isConnectionError(error)) socket.destroy();
      // An error response would mix with the response in progress.
      else
        this.#connections.endWith(
          socket,
          () => {
            reject(error, socket);
            socket.destroySoon();
          },
          this.#isUnusedUntilRead,
        );
    });
  }

  /** Calls back for requests to open a tunnel. */
  onConnect(reject: (socket: Socket) => void): void {
    this.#server.removeAllListeners("connect");
    this.#server.on("connect", (_request, socket: Socket) => {
      this.#connections.endParsing(socket);
      reject(socket);
    });
  }

  /** Closes connections after their next responses; clients then reconnect. */
  closeAfterResponses(): void {
    this.#connections.closeAfterResponses();
  }

  /**
   * Stops accepting connections; open ones stay open. Closing a socket that listens
   * resets the connections in its queue, so these are accepted before, up to a time of
   * the clock. Node takes one connection of a queue in each round of the event loop.
   */
  async stopListening(clock: Clock, until: number): Promise<void> {
    await arrivedInput(
      () => this.#connectionCount,
      () => clock.now() < until,
    );
    // `http.Server` would also close connections to which the end of an answer
    // is still being written.
    TcpServer.prototype.close.call(this.#server);
    this.#internalServer?.close();
  }

  /** Number of requests that have been read and have no whole answer. */
  get pendingRequests(): number {
    return this.#connections.pendingRequests;
  }

  /**
   * Resolves when all requests are answered, also those that have arrived and were
   * not read yet, or at a time of the clock.
   */
  async answered(clock: Clock, until: number): Promise<void> {
    const hasTime = () => clock.now() < until;
    do {
      while (this.pendingRequests > 0 && hasTime())
        await delay(DRAIN_CHECK_INTERVAL_MS);
      await arrivedInput(() => this.#requestCount, hasTime);
    } while (this.pendingRequests > 0 && hasTime());
  }

  /** Answers the requests that were read, for some time, and then closes. */
  async close(clock: Clock, drainMs: number): Promise<void> {
    const startedAt = clock.now();
    this.closeAfterResponses();
    await this.stopListening(clock, startedAt + drainMs * QUEUE_FRACTION);
    await this.answered(clock, startedAt + drainMs);
    if (this.pendingRequests === 0) await this.endIdle(clock);
    this.destroy();
  }

  /** Ends idle connections and lets their clients close them. */
  async endIdle(clock: Clock): Promise<void> {
    this.#connections.endIdle();
    const until = clock.now() + MAX_CLOSE_MS;
    while (this.#connections.size > 0 && clock.now() < until)
      await delay(DRAIN_CHECK_INTERVAL_MS);
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.#server.close();
    this.#internalServer?.close();
    this.#server.closeAllConnections();
  }

  /** Refuses a head, or fields behind a body, before their end. */
  #refuseHead(socket: Socket, excess: FieldExcess): void {
    if (excess === "header_fields") {
      this.#guard?.refused(socket, excess);
      this.#refuse(socket, TOO_MANY_FIELDS_ANSWER);
      return;
    }
    const message = "Parse Error: Header overflow";
    const code = "HPE_HEADER_OVERFLOW";
    const error = Object.assign(new Error(message), { code });
    const isHandled = this.#server.emit("clientError", error, socket);
    if (!isHandled) this.#refuse(socket, HEADER_TOO_LARGE_ANSWER);
  }

  /** Ends a connection with an answer, behind those that are owed. */
  #refuse(socket: Socket, answer: string): void {
    const end = () => {
      socket.write(answer);
      socket.destroySoon();
    };
    this.#connections.endWith(socket, end, this.#isUnusedUntilRead);
  }

  #serve(request: IncomingMessage, response: TrackedResponse): void {
    if (request.rawHeaders.length > 2 * HEADER_FIELDS_MAX) {
      this.#connections.endParsing(request.socket);
      this.#guard?.refused(request.socket, "header_fields");
      refuseFields(request, response);
      return;
    }
    try {
      const served = this.#handle(request, response);
      served?.catch((error: unknown) => this.#fail(request, response, error));
    } catch (error) {
      this.#fail(request, response, error);
    }
  }

  #fail(
    request: IncomingMessage,
    response: TrackedResponse,
    error: unknown,
  ): void {
    const id = `${this.#failurePrefix}-${++this.#failureCount}`;
    this.#onFailure?.(httpFailure(id, request, error));
    answerFailure(response, id);
  }
}

/**
 * Asks a client for its body, once the answers before this one are written. Node asks
 * at once, and writes what it asked behind the head of the answer then.
 */
function continueInTurn(response: TrackedResponse): void {
  if (response.socket) response.writeContinue();
  else response.needsContinue = true;
}

function refuseFields(
  request: IncomingMessage,
  response: TrackedResponse,
): void {
  request.resume();
  request.rawHeaders = [];
  response.shouldKeepAlive = false;
  response.writeHead(431, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(TOO_MANY_FIELDS),
  });
  response.end(TOO_MANY_FIELDS);
}

function refuseConnect(socket: Socket): void {
  socket.end(
    "HTTP/1.1 405 Method Not Allowed\r\ncontent-type: application/json\r\n" +
      `content-length: ${Buffer.byteLength(CONNECT_REFUSAL)}\r\n` +
      `connection: close\r\n\r\n${CONNECT_REFUSAL}`,
  );
}

/** Whether the connection failed, and not the parser of its requests. */
function isConnectionError({ code = "" }: NodeJS.ErrnoException): boolean {
  return !code.startsWith("HPE_") && !code.startsWith("ERR_HTTP_");
}
