import {
  type Agent,
  type AgentOptions,
  type ClientRequest,
  request as httpRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import {
  type BackendServer,
  backendServerKey,
  type Clock,
  type HeaderFault,
  type ParsedNumber,
  SystemClock,
} from "#model";
import { BackendAgent } from "./backend_agent.ts";
import { BackendExchange } from "./backend_exchange.ts";
import type { BackendRequest } from "./backend_request.ts";
import type {
  RequestFailure,
  RequestResult,
  ResponseHead,
} from "./backend_response.ts";
import { forwardBody } from "./body_forwarding.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { ConnectionBudget } from "./connection_budget.ts";
import { ReceiveGuard } from "./receive_guard.ts";
import { framedHeaders } from "./request_framing.ts";
import {
  type ExceededBound,
  type ResponseLimits,
  ResponseMeter,
} from "./response_bounds.ts";
import { sendableHeaders } from "./sendable.ts";

/** Shorter than the usual keep-alive timeout of servers (5 s). */
const IDLE_CONNECTION_TIMEOUT_MS = 4_000;
/**
 * Fraction of a server's announced keep-alive timeout that is used, so that a
 * request is not sent while the server is closing the connection.
 */
const KEEP_ALIVE_TIMEOUT_FRACTION = 0.75;
/**
 * Longest time for which an idle connection is kept, whatever its server says. Node
 * throws on an infinite time and cuts those above 2^31 ms.
 */
const MAX_IDLE_CONNECTION_MS = 3_600_000;
const DEFAULT_LIMITS: ResponseLimits = { bodyMaxBytes: 1024 ** 3 };

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
  /** Open connections to all servers; unbounded if absent. */
  readonly connectionsMax?: number | undefined;
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
  readonly #connectionsMax: number;
  readonly #budget: ConnectionBudget;
  #openConnections = 0;
  readonly #onMalformedHeader: BackendClientOptions["onMalformedHeader"];

  constructor(protocol: CallProtocol, options: BackendClientOptions = {}) {
    this.#protocol = protocol;
    this.#limits = options.limits ?? DEFAULT_LIMITS;
    this.#connectionsMax = options.connectionsMax ?? Number.POSITIVE_INFINITY;
    this.#budget = new ConnectionBudget(this.#connectionsMax);
    this.#clock = options.clock ?? new SystemClock();
    this.#onBoundExceeded = options.onBoundExceeded;
    this.#onMalformedHeader = options.onMalformedHeader;
  }

  /** Whether there is a connection for one more request of a service. */
  hasRoom(service: string): boolean {
    return this.#budget.hasRoom(service);
  }

  /** Requests in progress, whose responses may not be read yet. */
  get requestsInProgress(): number {
    return this.#budget.total;
  }

  /** Sends a request, also when there is no room. */
  send(server: BackendServer, request: BackendRequest): SentRequest {
    const { service } = server;
    const agent = request.needsNewConnection
      ? new BackendAgent({ keepAlive: false, onOpen: this.#onOpen })
      : this.#agent(server);
    const opened = openRequest(server, request, agent);
    if (opened.isErr()) {
      request.onClosed?.();
      return neverSent(opened.error);
    }
    const outgoing = opened.value;
    this.#budget.acquire(service);
    outgoing.once("close", () => {
      this.#budget.release(service);
      request.onClosed?.();
    });
    const exchange = new BackendExchange(outgoing, {
      request,
      meter: new ResponseMeter(this.#limits),
      guard: this.#receiveGuard,
      readHead: (response) => {
        this.#applyKeepAliveTimeout(server, response.headers);
        return this.#parseHead(server, response, request.requestId);
      },
      onExceeded: this.#reporter(server, request.logId),
    });
    forwardBody(outgoing, request.body);
    return {
      result: exchange.result,
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
    const { headers, statusCode: status = 502 } = response;
    const report = this.#protocol.parseReport({ status, headers }, requestId);
    const read = (parsed: ParsedNumber): number | undefined => {
      if (parsed.isOk()) return parsed.value;
      this.#onMalformedHeader?.(server, parsed.error);
      return undefined;
    };
    const rawHeaders = sendableHeaders(response.rawHeaders, (fault) =>
      this.#onMalformedHeader?.(server, fault),
    );
    const { loadFault } = report;
    if (loadFault) this.#onMalformedHeader?.(server, loadFault);
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
    const timeoutMs = Number(match[1]) * 1_000 * KEEP_ALIVE_TIMEOUT_FRACTION;
    // Node reuses no connection after an answer with 0, and takes 0 for no timeout.
    if (timeoutMs > 0)
      options.timeout = Math.min(timeoutMs, MAX_IDLE_CONNECTION_MS);
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
      onOpen: this.#onOpen,
    });
    this.#agents.set(key, { agent, incarnation: server.incarnation });
    return agent;
  }

  /** Counts a connection; closes an idle one if there are too many. */
  readonly #onOpen = (socket: Socket): void => {
    this.#openConnections += 1;
    socket.once("close", () => {
      this.#openConnections -= 1;
    });
    if (this.#openConnections <= this.#connectionsMax) return;
    for (const { agent } of this.#agents.values()) {
      const idle = idleConnections(agent)[0];
      if (!idle) continue;
      idle.destroy();
      return;
    }
  };
}

/** Closes idle connections now, and busy ones when their request ends. */
function closeIdleConnections(agent: Agent): void {
  agent.maxFreeSockets = 0;
  for (const socket of idleConnections(agent)) socket.destroy();
}

function idleConnections(agent: Agent): Socket[] {
  return Object.values(agent.freeSockets)
    .flatMap((sockets) => sockets ?? [])
    .filter((socket) => !socket.destroyed);
}

/**
 * Creates a request. Node throws on an address, a path or a header that it cannot
 * send; these come from other programs and concern this request only.
 */
function openRequest(
  { address }: BackendServer,
  { method, path, body, headers: unframed }: BackendRequest,
  agent: Agent,
): Result<ClientRequest, RequestFailure> {
  const { host, port } = address;
  const headers = framedHeaders(method, unframed, body);
  const options = { host, port, method, path, headers, agent };
  try {
    return ok(httpRequest({ ...options, setHost: false }));
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err({ type: "not_connected", detail });
  }
}

/** A request that failed before it was sent. */
function neverSent(fault: RequestFailure): SentRequest {
  return {
    result: Promise.resolve({ type: "fault", fault }),
    cancel: () => undefined,
  };
}
