import {
  type Agent,
  type AgentOptions,
  request as httpRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type InformationEvent,
} from "node:http";
import type { Socket } from "node:net";
import {
  type BackendServer,
  backendServerKey,
  type Clock,
  type HeaderFault,
  type ParsedNumber,
  SystemClock,
} from "#model";
import { BackendAgent } from "./backend_agent.ts";
import {
  boundFailure,
  collectResponse,
  type RequestResult,
  type ResponseHead,
} from "./backend_response.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { ReceiveGuard } from "./receive_guard.ts";
import type { RequestBody } from "./request_body.ts";
import {
  type ExceededBound,
  type ResponseLimits,
  ResponseMeter,
} from "./response_bounds.ts";

/** Shorter than the usual keep-alive timeout of servers (5 s). */
const IDLE_CONNECTION_TIMEOUT_MS = 4_000;
/**
 * Fraction of a server's announced keep-alive timeout that is used, so that a
 * request is not sent while the server is closing the connection.
 */
const KEEP_ALIVE_TIMEOUT_FRACTION = 0.75;
const DEFAULT_LIMITS: ResponseLimits = { bodyMaxBytes: 1024 ** 3 };

/** An HTTP request to a backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, as in Node's `rawHeaders`. */
  readonly headers: string[];
  readonly body: RequestBody;
  readonly connectTimeoutMs: number;
  /**
   * The id that the server repeats in its response, if the protocol has one.
   */
  readonly requestId: string | undefined;
  /** Id of the request in log lines; undefined for probes and checks. */
  readonly logId?: string | undefined;
}

/** A request that has been sent to a backend server. */
export interface SentRequest {
  readonly result: Promise<RequestResult>;
  /** Closes the connection, which cancels the request at the server. */
  cancel(): void;
}

/** A response that exceeded a bound. */
export interface ResponseExcess extends ExceededBound {
  readonly server: BackendServer;
  /** Id of the request for log lines; undefined for probes and checks. */
  readonly requestId: string | undefined;
  /** Time since the request was sent, in milliseconds. */
  readonly ageMs: number;
}

export interface BackendClientOptions {
  readonly limits?: ResponseLimits;
  readonly clock?: Clock;
  /** Called for each response that exceeded a bound. */
  readonly onBoundExceeded?: (excess: ResponseExcess) => void;
  /** Called for each header of a response that cannot be read. */
  readonly onMalformedHeader?: (
    server: BackendServer,
    fault: HeaderFault,
  ) => void;
}

/** HTTP client for backend servers, with a connection pool for each server. */
export class BackendClient {
  readonly #agents = new Map<string, { agent: Agent; incarnation: number }>();
  readonly #protocol: CallProtocol;
  readonly #limits: ResponseLimits;
  readonly #clock: Clock;
  readonly #onBoundExceeded: BackendClientOptions["onBoundExceeded"];
  readonly #receiveGuard = new ReceiveGuard();
  readonly #onMalformedHeader: BackendClientOptions["onMalformedHeader"];

  constructor(protocol: CallProtocol, options: BackendClientOptions = {}) {
    this.#protocol = protocol;
    this.#limits = options.limits ?? DEFAULT_LIMITS;
    this.#clock = options.clock ?? new SystemClock();
    this.#onBoundExceeded = options.onBoundExceeded;
    this.#onMalformedHeader = options.onMalformedHeader;
  }

  send(server: BackendServer, request: BackendRequest): SentRequest {
    const { address } = server;
    const outgoing = httpRequest({
      host: address.host,
      port: address.port,
      method: request.method,
      path: request.path,
      headers: request.headers,
      agent: this.#agent(server),
      setHost: false,
    });
    const meter = new ResponseMeter(this.#limits);
    const report = this.#reporter(server, request.logId);
    let connected = false;
    let isSettled = false;
    const result = new Promise<RequestResult>((resolve) => {
      const settle = (result: RequestResult) => {
        if (isSettled) return;
        isSettled = true;
        resolve(result);
      };
      let incoming: IncomingMessage | undefined;
      const fail = (detail: string) => {
        // Errors after the response has begun are reported by the response.
        const type = connected ? "connection_lost" : "not_connected";
        settle({ type: "fault", fault: { type, detail } });
      };
      outgoing.once("socket", (socket) => {
        this.#receiveGuard.release(socket);
        connected = !socket.connecting;
        if (connected) return;
        const timeoutMs = request.connectTimeoutMs;
        setConnectTimeout(socket, { timeoutMs, request: outgoing });
        socket.once("connect", () => {
          connected = true;
        });
      });
      outgoing.on("error", (error: ParseError) => {
        if (!incoming) fail(error.message);
        else if (!incoming.complete) incoming.destroy(error);
        const bytes = surplusBytes(error);
        if (incoming && bytes > 0) report({ bound: "surplus_bytes", bytes });
      });
      outgoing.once("close", () => {
        if (!incoming) fail("connection closed");
      });
      const exceed = (excess: ExceededBound) => {
        report(excess);
        settle({ type: "fault", fault: boundFailure(excess) });
        outgoing.destroy();
      };
      const onInformation = (information: InformationEvent) => {
        const excess = meter.countInformational(sizeOf(information));
        if (!excess) return;
        // What has been read already goes on to be parsed.
        outgoing.off("information", onInformation);
        exceed(excess);
      };
      outgoing.on("information", onInformation);
      outgoing.once("response", (response) => {
        incoming = response;
        response.on("data", () => meter.recordPart());
        this.#receiveGuard.watch(response, {
          onBytes: (bytes) => {
            const excess = meter.countReceived(bytes);
            if (excess) exceed(excess);
          },
          onSurplus: (bytes) => report({ bound: "surplus_bytes", bytes }),
        });
        const head = this.#parseHead(server, response, request.requestId);
        this.#applyKeepAliveTimeout(server, response.headers);
        if (head.foreign) {
          fail("the answer is for another request");
          outgoing.destroy();
          return;
        }
        const excess = meter.checkLength(bodyLength(request, response));
        if (excess) {
          exceed(excess);
          return;
        }
        const bounds = { meter, report };
        void collectResponse(response, head, bounds).then(settle);
      });
    });
    sendBody(outgoing, request.body);
    return {
      result,
      cancel: () => {
        outgoing.destroy();
      },
    };
  }

  /**
   * Closes idle connections to a server incarnation that is gone. Requests in
   * progress continue.
   */
  retire(server: BackendServer): void {
    const key = backendServerKey(server);
    const pooled = this.#agents.get(key);
    if (pooled?.incarnation !== server.incarnation) return;
    this.#agents.delete(key);
    closeIdleConnections(pooled.agent);
  }

  /** Closes all connections, also those with requests in progress. */
  close(): void {
    for (const { agent } of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }

  /** Creates a function that reports bounds that a response exceeded. */
  #reporter(
    server: BackendServer,
    requestId: string | undefined,
  ): (excess: ExceededBound) => void {
    const sentAt = this.#clock.now();
    return (excess) => {
      const ageMs = Math.round(this.#clock.now() - sentAt);
      this.#onBoundExceeded?.({ ...excess, server, requestId, ageMs });
    };
  }

  #parseHead(
    server: BackendServer,
    response: IncomingMessage,
    requestId: string | undefined,
  ): ResponseHead {
    const { headers, rawHeaders, statusCode: status = 502 } = response;
    const report = this.#protocol.parseReport({ status, headers }, requestId);
    const read = (parsed: ParsedNumber): number | undefined => {
      if (parsed.isOk()) return parsed.value;
      this.#onMalformedHeader?.(server, parsed.error);
      return undefined;
    };
    const rateLimit = read(report.rateLimit);
    const backOffMs = read(report.backOffMs);
    return { ...report, rateLimit, backOffMs, status, headers, rawHeaders };
  }

  /** Adapts the idle timeout to the server's `Keep-Alive` header. */
  #applyKeepAliveTimeout(
    server: BackendServer,
    headers: IncomingHttpHeaders,
  ): void {
    const match = /^timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""));
    const pooled = this.#agents.get(backendServerKey(server));
    if (!match || !pooled) return;
    const { options } = pooled.agent as Agent & { options: AgentOptions };
    options.timeout = Number(match[1]) * 1_000 * KEEP_ALIVE_TIMEOUT_FRACTION;
  }

  #agent(server: BackendServer): Agent {
    const key = backendServerKey(server);
    const pooled = this.#agents.get(key);
    if (pooled?.incarnation === server.incarnation) return pooled.agent;
    if (pooled) closeIdleConnections(pooled.agent);
    const agent = new BackendAgent({
      keepAlive: true,
      maxSockets: Number.POSITIVE_INFINITY,
      maxFreeSockets: server.slots,
      timeout: IDLE_CONNECTION_TIMEOUT_MS,
      scheduling: "lifo",
    });
    this.#agents.set(key, { agent, incarnation: server.incarnation });
    return agent;
  }
}

/** Closes idle connections now, and busy ones when their request ends. */
function closeIdleConnections(agent: Agent): void {
  agent.maxFreeSockets = 0;
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

/** The announced length of a response's body; undefined if it has none. */
function bodyLength(
  { method }: BackendRequest,
  { headers, statusCode }: IncomingMessage,
): string | undefined {
  const hasBody = method !== "HEAD" && statusCode !== 304;
  return hasBody ? headers["content-length"] : undefined;
}

/** An error of Node's parser, or another one, which has no packet. */
interface ParseError extends NodeJS.ErrnoException {
  readonly rawPacket?: Buffer;
  readonly bytesParsed?: number;
}

/** Bytes of a packet that are no part of a response and cannot be parsed. */
function surplusBytes(error: ParseError): number {
  const { rawPacket, bytesParsed = 0, code } = error;
  const isSurplus = code === "HPE_INVALID_CONSTANT";
  return isSurplus && rawPacket ? rawPacket.length - bytesParsed : 0;
}

/** Bytes of an informational response, without its optional whitespace. */
function sizeOf({ statusMessage, rawHeaders }: InformationEvent): number {
  const statusLine = `HTTP/1.1 100 ${statusMessage}\r\n\r\n`;
  // Each name and value is followed by two separating bytes.
  return rawHeaders.reduce(
    (bytes, text) => bytes + text.length + 2,
    statusLine.length,
  );
}

type Outgoing = ReturnType<typeof httpRequest>;

function setConnectTimeout(
  socket: Socket,
  options: { timeoutMs: number; request: Outgoing },
): void {
  const timer = setTimeout(() => {
    options.request.destroy(
      new Error(`no connection within ${options.timeoutMs} ms`),
    );
  }, options.timeoutMs);
  const stop = () => clearTimeout(timer);
  socket.once("connect", stop);
  socket.once("close", stop);
}

function sendBody(outgoing: Outgoing, body: RequestBody): void {
  if (!body.rest) {
    outgoing.end(body.head.length > 0 ? body.head : undefined);
    return;
  }
  outgoing.write(body.head);
  body.rest.pipe(outgoing);
}
