import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import { CallChain, type ChainFault } from "#admission";
import {
  type BackendServer,
  CALL_FAULTS,
  type Call,
  type CallFault,
  HEADERS,
  type HeaderFault,
  headerFault,
  INTERNAL_PATH_ROOT,
  MAX_REPORTED_REQUESTS,
  type Outcome,
  type ParsedNumber,
  parseRateLimit,
  parseRetryAfterMs,
  type Service,
} from "#model";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { HANDOVER_HEADER_NAMES } from "./handover_protocol.ts";

/** What a server's response reports about the server and the request. */
export interface ResponseReport {
  /** The server guarantees that it did not execute the request. */
  readonly notStarted: boolean;
  /** The server is shutting down and should get no further requests. */
  readonly leaving: boolean;
  /** The address now belongs to another server than the intended one. */
  readonly wrongServer: boolean;
  /** Nothing proves that the response belongs to the request that was sent. */
  readonly foreign: boolean;
  /** Number of requests that run or wait at the server. */
  readonly inFlight: number | undefined;
  /** Current processing time at the server, relative to the usual one. */
  readonly slowdown: number | undefined;
  /** Present if the server reports a load that cannot be read. */
  readonly loadFault?: HeaderFault | undefined;
  /**
   * Requests a second that the server takes from all entries together, if it
   * names a limit.
   */
  readonly rateLimit: ParsedNumber;
  /**
   * Time for which the server wants no requests from this entry, in
   * milliseconds, if it refused the request and named one.
   */
  readonly backOffMs: ParsedNumber;
}

/** The response of a server to a probe or check. */
export interface HealthReport {
  readonly healthy: boolean;
  /** The server is shutting down, or its address belongs to another server. */
  readonly leaving: boolean;
  /** The address belongs to another server than the intended one. */
  readonly otherServer: boolean;
  /** The server shed the request because of its load. */
  readonly shed: boolean;
  readonly inFlight: number | undefined;
  readonly slowdown: number | undefined;
  /** Time for which the server stays cold, in milliseconds, if it says so. */
  readonly warmUpMs?: number | undefined;
}

/** An error response to a caller. */
export interface ErrorResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * HTTP conventions of callers and backend servers: names and formats of the
 * headers, statuses and error bodies of a call. It makes no decisions.
 */
export interface CallProtocol {
  /** Whether servers report their speed. */
  readonly serversReportSpeed: boolean;
  /** Parses a call's deadline and its place in a chain of nested calls. */
  parseChain(
    headers: IncomingHttpHeaders,
    options: { now: number; classDeadlineMs: number },
  ): Result<CallChain, ChainFault>;
  /** The request id that the caller sent, if the protocol has one. */
  callerRequestId(headers: IncomingHttpHeaders): string | undefined;
  /** The caller's key, where requests need one. */
  callerKey(headers: IncomingHttpHeaders): string | undefined;
  /** Headers of the request to a server, in the form of Node's `rawHeaders`. */
  serverHeaders(
    raw: readonly string[],
    context: {
      call: Call;
      chain: CallChain;
      server: BackendServer;
      now: number;
    },
  ): string[];
  /**
   * Headers of a call that is passed on to another entry: those of the caller
   * with the time that is left, in milliseconds.
   */
  handoverHeaders(raw: readonly string[], leftMs: number): string[];
  /**
   * Parses what a server's response reports about the server and the request.
   */
  parseReport(
    response: { status: number; headers: IncomingHttpHeaders },
    requestId: string | undefined,
  ): ResponseReport;
  /** The path at which servers report their health and load. */
  healthCheckPath(service: Service | undefined): string;
  /** Parses a health report; undefined if it is malformed. */
  parseHealthReport(
    response: { status: number; headers: IncomingHttpHeaders; body: Buffer },
    server: BackendServer,
  ): HealthReport | undefined;
  /** Headers of the response to the caller, made from those of the server. */
  responseHeaders(
    raw: readonly string[],
    context: { outcome: Outcome; requestId: string },
  ): string[];
  errorResponse(fault: CallFault, requestId: string): ErrorResponse;
}

/** Request headers that mangobank replaces. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.service,
  HEADERS.deadline,
  HEADERS.depth,
  HEADERS.retries,
  HEADERS.requestId,
  ...HANDOVER_HEADER_NAMES,
]);
/** The same where requests need a key, which servers never get. */
const REPLACED_WITH_ACCESS: ReadonlySet<string> = new Set([
  ...REPLACED_HEADERS,
  HEADERS.apiKey,
  HEADERS.tenant,
]);
/** Request headers that are set anew for another entry. */
const HANDED_OVER_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.deadline,
  ...HANDOVER_HEADER_NAMES,
]);

/** Response headers of servers that are not forwarded to callers. */
export const SERVER_ONLY_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.outcome,
  HEADERS.requestId,
  HEADERS.inFlight,
  HEADERS.serverState,
  HEADERS.notStarted,
  HEADERS.rateLimit,
  HEADERS.error,
]);

/** mangobank's own protocol, as documented for callers and servers. */
export class PublishedProtocol implements CallProtocol {
  readonly serversReportSpeed = false;

  parseChain(
    headers: IncomingHttpHeaders,
    options: { now: number; classDeadlineMs: number },
  ): Result<CallChain, ChainFault> {
    return CallChain.parse(headers, options);
  }

  callerRequestId(): undefined {
    return undefined;
  }

  callerKey(headers: IncomingHttpHeaders): string | undefined {
    return singleHeader(headers[HEADERS.apiKey]);
  }

  serverHeaders(
    raw: readonly string[],
    context: { call: Call; chain: CallChain; now: number },
  ): string[] {
    const { access } = context.call;
    const headers = endToEndHeaders(
      raw,
      access ? REPLACED_WITH_ACCESS : REPLACED_HEADERS,
    );
    if (access?.tenant !== undefined)
      headers.push(HEADERS.tenant, access.tenant);
    for (const [name, value] of Object.entries(
      context.chain.headers(context.now),
    )) {
      headers.push(name, value);
    }
    headers.push(HEADERS.requestId, context.call.id);
    return headers;
  }

  handoverHeaders(raw: readonly string[], leftMs: number): string[] {
    return [
      ...endToEndHeaders(raw, HANDED_OVER_HEADERS),
      HEADERS.deadline,
      String(leftMs),
    ];
  }

  parseReport(response: {
    status: number;
    headers: IncomingHttpHeaders;
  }): ResponseReport {
    const { status, headers } = response;
    const text = headers[HEADERS.inFlight];
    const inFlight = Number(text);
    const known = text !== undefined && isRequestCount(inFlight);
    return {
      notStarted: status === 503 && headers[HEADERS.notStarted] === "true",
      leaving: headers[HEADERS.serverState] === "leaving",
      wrongServer: false,
      foreign: false,
      inFlight: known ? inFlight : undefined,
      slowdown: undefined,
      ...(text !== undefined &&
        !known && { loadFault: headerFault("server load", String(text)) }),
      rateLimit: parseRateLimit(headers[HEADERS.rateLimit]),
      backOffMs: parseRetryAfterMs(
        status === 503 ? headers[HEADERS.retryAfter] : undefined,
      ),
    };
  }

  healthCheckPath(): string {
    return `${INTERNAL_PATH_ROOT}load`;
  }

  parseHealthReport({ body }: { body: Buffer }): HealthReport | undefined {
    const load = parseLoad(body);
    const unknown = { slowdown: undefined, otherServer: false };
    return load && { healthy: true, shed: false, ...unknown, ...load };
  }

  responseHeaders(
    raw: readonly string[],
    context: { outcome: Outcome; requestId: string },
  ): string[] {
    const kept = endToEndHeaders(raw, SERVER_ONLY_HEADERS);
    kept.push(HEADERS.outcome, context.outcome);
    kept.push(HEADERS.requestId, context.requestId);
    return kept;
  }

  errorResponse(fault: CallFault, requestId: string): ErrorResponse {
    const { code, outcome, detail, retryAfterMs } = fault;
    const body = JSON.stringify({
      error: code,
      outcome,
      ...(detail !== undefined && { detail }),
      ...(retryAfterMs !== undefined && {
        retry_after_ms: Math.ceil(retryAfterMs),
      }),
    });
    const headers: Record<string, string> = {
      "content-type": "application/json",
      [HEADERS.error]: code,
      [HEADERS.outcome]: outcome,
      [HEADERS.requestId]: requestId,
    };
    if (retryAfterMs !== undefined) {
      const ms = Math.max(1, Math.ceil(retryAfterMs));
      headers[HEADERS.retryAfterMs] = String(ms);
      headers[HEADERS.retryAfter] = String(Math.ceil(ms / 1_000));
    }
    return { status: CALL_FAULTS[code].status, headers, body };
  }
}

/** The value of a header that must be sent once; undefined without it. */
export function singleHeader(
  value: string | string[] | undefined,
): string | undefined {
  return typeof value === "string" && value !== "" ? value : undefined;
}

function parseLoad(
  body: Buffer,
): { inFlight: number; leaving: boolean } | undefined {
  try {
    const json = JSON.parse(body.toString()) as Record<string, unknown>;
    const inFlight = json.in_flight;
    if (typeof inFlight !== "number" || !isRequestCount(inFlight)) {
      return undefined;
    }
    return { inFlight, leaving: json.state === "leaving" };
  } catch {
    return undefined;
  }
}

/** Whether a server may report this number of requests. */
function isRequestCount(count: number): boolean {
  return count >= 0 && count <= MAX_REPORTED_REQUESTS;
}
