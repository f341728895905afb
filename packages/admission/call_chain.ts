import { err, ok, type Result } from "neverthrow";
import { type CallFault, callFault, HEADERS } from "#model";

/** Maximum number of calls in a chain; real chains are up to 29 deep. */
export const MAX_DEPTH = 32;
/** Retry allowance of a call whose caller states none. */
export const DEFAULT_RETRIES = 2;
/** Largest retry allowance accepted from a caller. */
const MAX_RETRIES = 10;
/** Longest deadline accepted from a caller: one day. */
const MAX_DEADLINE_MS = 86_400_000;

/** The reason why a call is refused by the headers of its chain. */
export type ChainFault =
  | {
      readonly type: "header_malformed";
      readonly header: string;
      readonly value: string;
      readonly expected: string;
    }
  | { readonly type: "depth_exceeded"; readonly depth: number }
  | { readonly type: "deadline_expired" };

/** Request headers as Node.js provides them, with names in lower case. */
export type RequestHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/**
 * The deadline, depth and retry allowance of a call. A backend server passes
 * them on to the calls that it makes for this one, which form a chain.
 */
export class CallChain {
  private constructor(
    /** Time of the latest useful answer, in milliseconds of `Clock.now()`. */
    readonly deadline: number,
    /** Number of calls above this one in the chain. */
    readonly depth: number,
    /** Retries that this call and those below it may still make. */
    readonly retries: number,
  ) {}

  /** Reads the headers of a request that arrived at `now`. */
  static parse(
    headers: RequestHeaders,
    options: { now: number; classDeadlineMs: number },
  ): Result<CallChain, ChainFault> {
    const read = (header: string, max: number) =>
      readInteger(headers, { header, max });
    return read(HEADERS.deadline, MAX_DEADLINE_MS).andThen((deadlineMs) =>
      read(HEADERS.depth, Number.MAX_SAFE_INTEGER).andThen((depth = 0) =>
        read(HEADERS.retries, Number.MAX_SAFE_INTEGER).andThen((retries) => {
          if (depth >= MAX_DEPTH) {
            return err({ type: "depth_exceeded", depth } as const);
          }
          if (deadlineMs === 0) {
            return err({ type: "deadline_expired" } as const);
          }
          const { now, classDeadlineMs } = options;
          const ms = Math.min(deadlineMs ?? classDeadlineMs, classDeadlineMs);
          const allowance = Math.min(retries ?? DEFAULT_RETRIES, MAX_RETRIES);
          return ok(new CallChain(now + ms, depth, allowance));
        }),
      ),
    );
  }

  /** Starts the chain of a call from a caller outside the site. */
  static start(options: {
    now: number;
    classDeadlineMs: number;
    /**
     * Time left by the caller's statement, in milliseconds; undefined if none.
     */
    deadlineMs: number | undefined;
    retries: number;
  }): Result<CallChain, ChainFault> {
    const { now, classDeadlineMs, deadlineMs, retries } = options;
    if (deadlineMs !== undefined && deadlineMs <= 0) {
      return err({ type: "deadline_expired" });
    }
    const ms = Math.min(deadlineMs ?? classDeadlineMs, classDeadlineMs);
    return ok(new CallChain(now + ms, 0, retries));
  }

  /** Time left in milliseconds; not below 0. */
  remainingMs(now: number): number {
    return Math.max(0, this.deadline - now);
  }

  /** The chain of a further attempt, which uses one retry. */
  retry(): CallChain {
    return new CallChain(this.deadline, this.depth, this.retries - 1);
  }

  /**
   * Headers for the backend server, which copies them to the calls that it
   * makes for this one. The remaining time is rounded down, so that the layers
   * below give up first.
   */
  headers(now: number): Record<string, string> {
    return {
      [HEADERS.deadline]: String(Math.floor(this.remainingMs(now))),
      [HEADERS.depth]: String(this.depth + 1),
      [HEADERS.retries]: String(this.retries),
    };
  }
}

/**
 * The fault with which a call is answered that is refused by its chain headers.
 */
export function toCallFault(fault: ChainFault): CallFault {
  if (fault.type !== "header_malformed") return callFault(fault.type);
  const { header, value, expected } = fault;
  const shortened = value.length > 64 ? `${value.slice(0, 64)}…` : value;
  const detail = `${header} is "${shortened}", expected ${expected}`;
  return callFault("invalid_request", { detail });
}

function readInteger(
  headers: RequestHeaders,
  { header, max }: { header: string; max: number },
): Result<number | undefined, ChainFault> {
  const value = headers[header];
  if (value === undefined) return ok(undefined);
  const text = typeof value === "string" ? value.trim() : value.join(", ");
  const number = /^[0-9]{1,16}$/.test(text) ? Number(text) : Number.NaN;
  if (Number.isSafeInteger(number) && number <= max) return ok(number);
  const expected = `an integer from 0 to ${max}`;
  return err({ type: "header_malformed", header, value: text, expected });
}
