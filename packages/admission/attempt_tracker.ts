import { match } from "ts-pattern";
import type { Outcome } from "#model";
import type { CallChain } from "./call_chain.ts";
import type { SendBudget } from "./resend_budget.ts";

/**
 * How an attempt ended. A request counts as written as soon as a byte of it was
 * passed to the socket, whether it was sent or not.
 */
export type AttemptEnd =
  /** A complete answer of the server, with any status. */
  | { readonly type: "answered" }
  /** No connection was established in time, or none was available. */
  | { readonly type: "never_connected" }
  | { readonly type: "connection_refused" }
  | { readonly type: "reset"; readonly written: boolean }
  /** Status 503 with `Mangobank-Not-Started: true`. */
  | { readonly type: "not_started" }
  /** The connection broke after the response head. */
  | { readonly type: "reset_in_body"; readonly forwarded: boolean }
  | { readonly type: "timeout"; readonly written: boolean }
  /** The caller disconnected, or another attempt was answered first. */
  | { readonly type: "cancelled"; readonly written: boolean };

/**
 * What the end of an attempt proves, and whether another attempt is allowed.
 */
export interface AttemptEvaluation {
  readonly outcome: Outcome;
  /** Whether another attempt may be made. */
  readonly repeatable: boolean;
}

/**
 * Evaluates a single attempt; `repeatable` is the flag of the request class.
 */
export function evaluateAttempt(
  end: AttemptEnd,
  options: { repeatable: boolean },
): AttemptEvaluation {
  const { repeatable } = options;
  const provenNotRun = { outcome: "not-run", repeatable: true } as const;
  return (
    match(end)
      .returnType<AttemptEvaluation>()
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
      // Once part of an answer was forwarded, no other answer can follow.
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

/** Maximum attempts of one call on servers that did not start it. */
const MAX_NOT_STARTED = 5;

/**
 * Tracks the outcome of a call over all of its attempts and decides whether to
 * retry.
 */
export class AttemptTracker {
  readonly #repeatable: boolean;
  readonly #chargeRefusals: boolean;
  #chain: CallChain;
  #outcome: Outcome = "not-run";
  #notStarted = 0;

  constructor(options: {
    repeatable: boolean;
    chain: CallChain;
    /** Whether a send that a server refused is taken from the budget. */
    chargeRefusals?: boolean;
  }) {
    this.#chargeRefusals = options.chargeRefusals ?? false;
    this.#repeatable = options.repeatable;
    this.#chain = options.chain;
  }

  /** The outcome so far; `not-run` only if every attempt proved it. */
  get outcome(): Outcome {
    return this.#outcome;
  }

  /** The chain for the next attempt. */
  get chain(): CallChain {
    return this.#chain;
  }

  /** Records an attempt's end; true if another attempt is to be made now. */
  recordEnd(
    end: AttemptEnd,
    options: { now: number; budget: SendBudget },
  ): boolean {
    const evaluation = evaluateAttempt(end, { repeatable: this.#repeatable });
    this.#merge(evaluation.outcome);
    if (!evaluation.repeatable || this.#outcome === "answered") return false;
    if (this.#chain.remainingMs(options.now) === 0) return false;
    if (evaluation.outcome === "not-run") {
      const reachedServer = end.type !== "never_connected";
      if (this.#chargeRefusals && reachedServer && !options.budget.tryTake()) {
        return false;
      }
      // The attempt cost the server no work, so it takes nothing from the
      // budget; draining servers must not use up a service's retries.
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
