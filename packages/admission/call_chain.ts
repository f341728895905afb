import { err, ok, type Result } from "neverthrow";
import { type CallFault, callFault, HEADERS } from "#model";

/** Calls in a chain; chains are up to 29 deep. */
export const MAX_DEPTH = 32;
/** Retries below a caller that states no allowance. */
export const DEFAULT_RETRIES = 2;
/** Largest allowance taken from a caller. */
const MAX_RETRIES = 10;
/** Longest deadline taken from a caller: one day. */
const MAX_DEADLINE_MS = 86_400_000;

/** Why a call's place in its chain is refused. */
export type ChainFault =
  | {
      readonly type: "header_malformed";
      readonly header: string;
      readonly value: string;
      readonly expected: string;
    }
  | { readonly type: "depth_exceeded"; readonly depth: number }
  | { readonly type: "deadline_expired" };

/** Request headers as Node gives them, with names in lower case. */
export type RequestHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** A call's deadline, depth and retry allowance. */
export class CallChain {
  private constructor(
    /** `Clock.now()` of the latest useful answer. */
    readonly deadline: number,
    /** Calls above this one. */
    readonly depth: number,
    /** Retries that this layer and those below may still make. */
    readonly retries: number,
  ) {}

  /** Reads a request's headers at its arrival, `now`. */
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

  /** The chain of a call that begins at a caller outside of the site. */
  static start(options: {
    now: number;
    classDeadlineMs: number;
    /** As the caller says it. */
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

  /** The chain of a further attempt, which uses up one retry. */
  retry(): CallChain {
    return new CallChain(this.deadline, this.depth, this.retries - 1);
  }

  /**
   * Headers for the backend server, which copies them to the calls that it
   * makes for this one. The duration is rounded down, so that the layers below
   * give up first.
   */
  headers(now: number): Record<string, string> {
    return {
      [HEADERS.deadline]: String(Math.floor(this.remainingMs(now))),
      [HEADERS.depth]: String(this.depth + 1),
      [HEADERS.retries]: String(this.retries),
    };
  }
}

/** The answer to a call whose place in its chain is refused. */
export function chainCallFault(fault: ChainFault): CallFault {
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
