import type { CheckResult } from "./effects.ts";

/**
 * Age up to which a reported slowdown is used without a check. Temporary
 * slowdowns on shared machines begin and end within a few hundred milliseconds.
 */
const MAX_REPORT_AGE_MS = 5;
/** Slowdown from which another server probably answers sooner. */
export const SLOWDOWN_THRESHOLD = 1.5;
/**
 * Servers that are checked for one call before the next one is used without a
 * check.
 */
const MAX_CHECKS_PER_CALL = 4;
/**
 * Round trip of a check that is assumed before any was measured, and the least
 * one that is charged.
 */
const INITIAL_CHECK_MS = 6;
const COST_WEIGHT = 0.1;
/**
 * Share of the servers' slot time that checks may take, measured by their round
 * trips. A check occupies the slot itself for less than half of its round trip.
 */
const CHECK_SLOT_SHARE = 0.05;
/** Time for which unused budget accumulates. */
const BUDGET_WINDOW_MS = 2_000;

/** Whether a call uses or declines the server that was checked. */
export type CheckDecision = "use" | "decline";

/**
 * Decides whether a server's present speed is checked before a call is sent to
 * it, and whether the call then uses the server. This serves load patterns with
 * short periods in which some of the servers work several times slower.
 * Slowdowns reported with earlier answers are older than such a period, and a
 * check costs a hundredth of the call that it places.
 */
export class PlacementChecks {
  /**
   * Whether the service's servers report how fast they are; undefined while
   * unknown.
   */
  #serversReportSpeed: boolean | undefined;
  #costMs = INITIAL_CHECK_MS;
  /** Slot time that checks may take now, in milliseconds. */
  #budgetMs = 0;
  #filledAt: number | undefined;

  /**
   * With `mayReportSpeed`, servers are checked until it is known whether they
   * report their speed.
   */
  constructor(options: { mayReportSpeed: boolean }) {
    this.#serversReportSpeed = options.mayReportSpeed ? undefined : false;
  }

  /** Records whether an answer of a server reported a slowdown. */
  recordReport(slowdown: number | undefined): void {
    if (slowdown !== undefined) this.#serversReportSpeed = true;
    else this.#serversReportSpeed ??= false;
  }

  /**
   * Whether to check the server before the call is sent to it; takes the cost
   * from the budget.
   */
  isDue(
    call: { readonly checkCount: number },
    server: { readonly slowdownAt: number },
    context: { slots: number; entries: number; now: number },
  ): boolean {
    // While it is unknown whether servers report their speed, check: a process
    // that has just started would otherwise place its first calls blindly.
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

  /** Decides from the result of a check whether the call uses the server. */
  decide(
    result: CheckResult,
    call: { readonly checkCount: number },
  ): CheckDecision {
    if (result.kind === "answered") {
      this.recordReport(result.slowdown);
      this.#costMs += COST_WEIGHT * (result.ms - this.#costMs);
      this.#costMs = Math.max(INITIAL_CHECK_MS, this.#costMs);
      const { healthy, leaving, slowdown = 1 } = result;
      if (healthy && !leaving && slowdown < SLOWDOWN_THRESHOLD) return "use";
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
