import type { CheckResult } from "./effects.ts";

/**
 * Age up to which a server's own figure decides without asking, in
 * milliseconds. Spells on shared machines begin and end within a few hundred.
 */
const MAX_REPORT_AGE_MS = 5;
/** Slowdown from which another server is likely to answer sooner. */
export const SLOWED = 1.5;
/** Servers that are asked for one call before the next is taken unasked. */
const MAX_CHECKS_PER_CALL = 4;
/** Round trip of a check that has not been measured, in milliseconds. */
const INITIAL_CHECK_MS = 6;
const COST_WEIGHT = 0.1;
/**
 * Part of the slots' time that checks may take, by their round trips; the slot
 * itself is busy for less than half of one.
 */
const CHECK_SLOT_SHARE = 0.05;
/** Time for which unused budget is kept, in milliseconds. */
const BUDGET_WINDOW_MS = 2_000;

/** What a check decides of the chosen server. */
export type CheckDecision = "use" | "decline";

/**
 * Decides when a call's server is asked for its present speed before the call
 * is sent, and what follows. It answers the load pattern of short spells in
 * which a part of the servers works several times slower: reports on answers
 * are older than a spell, and a question costs a hundredth of the work that it
 * places.
 */
export class PlacementChecks {
  /** Whether the service's servers tell how fast they are, once known. */
  #serversReportSpeed: boolean | undefined;
  #costMs = INITIAL_CHECK_MS;
  /** Slot time that checks may take now, in milliseconds. */
  #budgetMs = 0;
  #filledAt: number | undefined;

  /** With `mayTell`, servers are asked until it is known whether they tell. */
  constructor(options: { mayReportSpeed: boolean }) {
    this.#serversReportSpeed = options.mayReportSpeed ? undefined : false;
  }

  /** A server of the service answered, and may have told how fast it is. */
  recordReport(slowdown: number | undefined): void {
    if (slowdown !== undefined) this.#serversReportSpeed = true;
    else this.#serversReportSpeed ??= false;
  }

  /** Whether to ask the server before the call goes there. */
  isDue(
    call: { readonly checkCount: number },
    server: { readonly slowdownAt: number },
    context: { slots: number; entries: number; now: number },
  ): boolean {
    // The first call is worth a question: a process that has just started
    // would otherwise place it blindly.
    if (
      this.#serversReportSpeed === false ||
      call.checkCount >= MAX_CHECKS_PER_CALL
    )
      return false;
    if (context.now - server.slowdownAt <= MAX_REPORT_AGE_MS) return false;
    this.#refill(context);
    if (this.#budgetMs < this.#costMs) return false;
    this.#budgetMs -= this.#costMs;
    return true;
  }

  /** Takes the answer to a question that was due. */
  decide(
    result: CheckResult,
    call: { readonly checkCount: number },
  ): CheckDecision {
    if (result.kind === "answered") {
      this.recordReport(result.slowdown);
      this.#costMs += COST_WEIGHT * (result.ms - this.#costMs);
      this.#costMs = Math.max(INITIAL_CHECK_MS, this.#costMs);
      const { healthy, leaving, slowdown = 1 } = result;
      if (healthy && !leaving && slowdown < SLOWED) return "use";
      if (leaving) return "decline";
    }
    return call.checkCount >= MAX_CHECKS_PER_CALL ? "use" : "decline";
  }

  #refill(context: { slots: number; entries: number; now: number }): void {
    const { slots, entries, now } = context;
    const perMs = (slots * CHECK_SLOT_SHARE) / Math.max(1, entries);
    const elapsedMs = now - (this.#filledAt ?? now - BUDGET_WINDOW_MS);
    this.#filledAt = now;
    const maxMs = Math.max(this.#costMs, perMs * BUDGET_WINDOW_MS);
    this.#budgetMs = Math.min(maxMs, this.#budgetMs + perMs * elapsedMs);
  }
}
