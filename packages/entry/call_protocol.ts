import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import { CallChain, type ChainFault } from "#admission";
import {
  type BackendServer,
  CALL_FAULTS,
  type Call,
  type CallFault,
  HEADERS,
  INTERNAL_PATH_ROOT,
  type Outcome,
  type Service,
} from "#model";
import { endToEndHeaders } from "./reply.ts";

/** What a server's answer says of the server and of the request. */
export interface AnswerReport {
  /** The server proves that it did not run the request. */
  readonly notStarted: boolean;
  /** The server is leaving and is to get no further requests. */
  readonly leaving: boolean;
  /** Another server than the intended one answers at the address. */
  readonly wrongServer: boolean;
  /** Answers another request than the one that was sent. */
  readonly foreign: boolean;
  /** Requests that run or wait there. */
  readonly inFlight: number | undefined;
  /** Time that work takes there at the moment, relative to the usual. */
  readonly slowdown: number | undefined;
}

/** What a server says of itself when it is asked. */
export interface ServerStatement {
  readonly healthy: boolean;
  /** It is leaving, or another server answers at its address. */
  readonly leaving: boolean;
  /** It refused the question without looking at it. */
  readonly shed: boolean;
  readonly inFlight: number | undefined;
  readonly slowdown: number | undefined;
}

/** An error answer as it goes to the caller. */
export interface FaultAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * How callers and backend servers are spoken to: the names and formats of what
 * goes along with a call. It decides nothing.
 */
export interface CallProtocol {
  /** Whether servers may tell how fast they are. */
  readonly speedTold: boolean;
  /** Reads a call's deadline and place in its chain. */
  chain(
    headers: IncomingHttpHeaders,
    options: { now: number; classDeadlineMs: number },
  ): Result<CallChain, ChainFault>;
  /** The caller's own id of the request, if callers give one. */
  callerRequestId(headers: IncomingHttpHeaders): string | undefined;
  /** The headers of a request to a server, as Node's flat list. */
  serverHeaders(
    raw: readonly string[],
    about: { call: Call; chain: CallChain; server: BackendServer; now: number },
  ): string[];
  report(
    answer: { status: number; headers: IncomingHttpHeaders },
    requestId: string | undefined,
  ): AnswerReport;
  /** The path at which a server says how it is. */
  statementPath(service: Service | undefined): string;
  /** Reads what a server says; undefined if it cannot be read. */
  statement(
    answer: { status: number; headers: IncomingHttpHeaders; body: Buffer },
    server: BackendServer,
  ): ServerStatement | undefined;
  /** The headers of a server's answer for the caller. */
  answerHeaders(
    raw: readonly string[],
    about: { outcome: Outcome; requestId: string },
  ): string[];
  faultAnswer(fault: CallFault, requestId: string): FaultAnswer;
}

/** Headers that are replaced on the way to a server. */
const REPLACED: ReadonlySet<string> = new Set([
  HEADERS.service,
  HEADERS.deadline,
  HEADERS.depth,
  HEADERS.retries,
  HEADERS.requestId,
]);

/** Headers between mangobank and servers, which callers do not get. */
export const SERVER_ONLY: ReadonlySet<string> = new Set([
  HEADERS.outcome,
  HEADERS.requestId,
  HEADERS.inFlight,
  HEADERS.serverState,
  HEADERS.notStarted,
  HEADERS.error,
]);

/** The protocol that mangobank publishes. */
export class PublishedProtocol implements CallProtocol {
  readonly speedTold = false;

  chain(
    headers: IncomingHttpHeaders,
    options: { now: number; classDeadlineMs: number },
  ): Result<CallChain, ChainFault> {
    return CallChain.parse(headers, options);
  }

  callerRequestId(): undefined {
    return undefined;
  }

  serverHeaders(
    raw: readonly string[],
    about: { call: Call; chain: CallChain; now: number },
  ): string[] {
    const headers = endToEndHeaders(raw, REPLACED);
    for (const [name, value] of Object.entries(
      about.chain.headers(about.now),
    )) {
      headers.push(name, value);
    }
    headers.push(HEADERS.requestId, about.call.id);
    return headers;
  }

  report(answer: {
    status: number;
    headers: IncomingHttpHeaders;
  }): AnswerReport {
    const { status, headers } = answer;
    const inFlight = Number(headers[HEADERS.inFlight]);
    const known =
      headers[HEADERS.inFlight] !== undefined && Number.isFinite(inFlight);
    return {
      notStarted: status === 503 && headers[HEADERS.notStarted] === "true",
      leaving: headers[HEADERS.serverState] === "leaving",
      wrongServer: false,
      foreign: false,
      inFlight: known ? inFlight : undefined,
      slowdown: undefined,
    };
  }

  statementPath(): string {
    return `${INTERNAL_PATH_ROOT}load`;
  }

  statement({ body }: { body: Buffer }): ServerStatement | undefined {
    const load = parseLoad(body);
    return load && { healthy: true, shed: false, slowdown: undefined, ...load };
  }

  answerHeaders(
    raw: readonly string[],
    about: { outcome: Outcome; requestId: string },
  ): string[] {
    const kept = endToEndHeaders(raw, SERVER_ONLY);
    kept.push(HEADERS.outcome, about.outcome);
    kept.push(HEADERS.requestId, about.requestId);
    return kept;
  }

  faultAnswer(fault: CallFault, requestId: string): FaultAnswer {
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

function parseLoad(
  body: Buffer,
): { inFlight: number; leaving: boolean } | undefined {
  try {
    const json = JSON.parse(body.toString()) as Record<string, unknown>;
    const inFlight = json.in_flight;
    if (typeof inFlight !== "number" || !Number.isFinite(inFlight)) {
      return undefined;
    }
    return { inFlight, leaving: json.state === "leaving" };
  } catch {
    return undefined;
  }
}
