import { match } from "ts-pattern";
import type { Outcome } from "#model";
import type { CallChain } from "./call_chain.ts";
import type { SendBudget } from "./resend_budget.ts";

/**
 * What happened on an attempt. A request counts as written as soon as a byte of
 * it was handed to the socket, sent or not.
 */
export type AttemptEnd =
  /** The server's complete answer, whatever its status. */
  | { readonly type: "answered" }
  /** No connection in time, or none to be had. */
  | { readonly type: "never_connected" }
  | { readonly type: "connection_refused" }
  | { readonly type: "reset"; readonly written: boolean }
  /** Status 503 with `Mangobank-Not-Started: true`. */
  | { readonly type: "not_started" }
  /** The connection broke after the response head. */
  | { readonly type: "reset_in_body"; readonly forwarded: boolean }
  | { readonly type: "timeout"; readonly written: boolean }
  /** The caller went away, or another attempt won. */
  | { readonly type: "cancelled"; readonly written: boolean };

/** What an attempt's end proves, and what it allows. */
export interface AttemptVerdict {
  readonly outcome: Outcome;
  /** A further attempt may be made for this class. */
  readonly repeatable: boolean;
}

/** Decides from one attempt and the class's flag alone. */
export function judgeAttempt(
  end: AttemptEnd,
  options: { repeatable: boolean },
): AttemptVerdict {
  const { repeatable } = options;
  const provenNotRun = { outcome: "not-run", repeatable: true } as const;
  return (
    match(end)
      .returnType<AttemptVerdict>()
      .with({ type: "answered" }, () => ({
        outcome: "answered",
        repeatable: false,
      }))
      .with({ type: "never_connected" }, () => provenNotRun)
      .with({ type: "connection_refused" }, () => provenNotRun)
      .with({ type: "not_started" }, () => provenNotRun)
      .with({ type: "reset", written: false }, () => provenNotRun)
      .with({ type: "timeout", written: false }, () => provenNotRun)
      .with({ type: "cancelled", written: false }, () => ({
        outcome: "not-run",
        repeatable: false,
      }))
      // A second answer cannot follow the first part of another.
      .with({ type: "reset_in_body" }, ({ forwarded }) => ({
        outcome: "unknown",
        repeatable: repeatable && !forwarded,
      }))
      .with({ type: "cancelled" }, () => ({
        outcome: "unknown",
        repeatable: false,
      }))
      .with({ type: "reset" }, { type: "timeout" }, () => ({
        outcome: "unknown",
        repeatable,
      }))
      .exhaustive()
  );
}

/** Attempts on servers that did not start the request, for one call. */
const MAX_NOT_STARTED = 5;

/** The outcome of a call over all of its attempts, and when to retry. */
export class AttemptOutcome {
  readonly #repeatable: boolean;
  readonly #refusalsCount: boolean;
  #chain: CallChain;
  #outcome: Outcome = "not-run";
  #notStarted = 0;

  constructor(options: {
    repeatable: boolean;
    chain: CallChain;
    /** Whether a send that a server refused takes from the budget. */
    refusalsCount?: boolean;
  }) {
    this.#refusalsCount = options.refusalsCount ?? false;
    this.#repeatable = options.repeatable;
    this.#chain = options.chain;
  }

  /** What is known so far; `not-run` only if each attempt proved it. */
  get outcome(): Outcome {
    return this.#outcome;
  }

  /** The chain that the next attempt carries. */
  get chain(): CallChain {
    return this.#chain;
  }

  /** Takes an attempt's end; true if a further attempt is to be made now. */
  next(end: AttemptEnd, options: { now: number; budget: SendBudget }): boolean {
    const verdict = judgeAttempt(end, { repeatable: this.#repeatable });
    this.#merge(verdict.outcome);
    if (!verdict.repeatable || this.#outcome === "answered") return false;
    if (this.#chain.remainingMs(options.now) === 0) return false;
    if (verdict.outcome === "not-run") {
      const reachedServer = end.type !== "never_connected";
      if (this.#refusalsCount && reachedServer && !options.budget.tryTake()) {
        return false;
      }
      // It cost the server no work, so it takes nothing from the budget; a
      // drain must not use up the retries of a service.
      return ++this.#notStarted < MAX_NOT_STARTED;
    }
    if (this.#chain.retries === 0 || !options.budget.tryTake()) return false;
    this.#chain = this.#chain.retry();
    return true;
  }

  #merge(outcome: Outcome): void {
    if (this.#outcome === "answered" || outcome === "not-run") return;
    this.#outcome = outcome;
  }
}
