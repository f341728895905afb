import type { CheckResult } from "./effects.ts";

/**
 * Age up to which a server's own figure decides without asking, in
 * milliseconds. Spells on shared machines begin and end within a few hundred.
 */
const FRESH_MS = 5;
/** Slowdown from which another server is likely to answer sooner. */
export const SLOWED = 1.5;
/** Servers that are asked for one call before the next is taken unasked. */
const MAX_CHECKS = 4;
/** Round trip of a check that has not been measured, in milliseconds. */
const CHECK_COST_MS = 6;
const COST_WEIGHT = 0.1;
/**
 * Part of the slots' time that checks may take, by their round trips; the slot
 * itself is busy for less than half of one.
 */
const SLOT_SHARE = 0.05;
/** Time for which unused budget is kept, in milliseconds. */
const SAVED_MS = 2_000;

/** What a check decides of the chosen server. */
export type CheckVerdict = "use" | "decline";

/**
 * Decides when a call's server is asked for its present speed before the call
 * is sent, and what follows. It answers the load pattern of short spells in
 * which a part of the servers works several times slower: reports on answers
 * are older than a spell, and a question costs a hundredth of the work that it
 * places.
 */
export class PlacementChecks {
  /** Whether the service's servers tell how fast they are, once known. */
  #told: boolean | undefined;
  #costMs = CHECK_COST_MS;
  /** Slot time that checks may take now, in milliseconds. */
  #budgetMs = 0;
  #filledAt: number | undefined;

  /** With `mayTell`, servers are asked until it is known whether they tell. */
  constructor(options: { mayTell: boolean }) {
    this.#told = options.mayTell ? undefined : false;
  }

  /** A server of the service answered, and may have told how fast it is. */
  seen(slowdown: number | undefined): void {
    if (slowdown !== undefined) this.#told = true;
    else this.#told ??= false;
  }

  /** Whether to ask the server before the call goes there. */
  due(
    call: { readonly checks: number },
    server: { readonly slowdownAt: number },
    about: { slots: number; entries: number; now: number },
  ): boolean {
    // The first call is worth a question: a process that has just started
    // would otherwise place it blindly.
    if (this.#told === false || call.checks >= MAX_CHECKS) return false;
    if (about.now - server.slowdownAt <= FRESH_MS) return false;
    this.#fill(about);
    if (this.#budgetMs < this.#costMs) return false;
    this.#budgetMs -= this.#costMs;
    return true;
  }

  /** Takes the answer to a question that was due. */
  verdict(
    result: CheckResult,
    call: { readonly checks: number },
  ): CheckVerdict {
    if (result.kind === "answered") {
      this.seen(result.slowdown);
      this.#costMs += COST_WEIGHT * (result.ms - this.#costMs);
      this.#costMs = Math.max(CHECK_COST_MS, this.#costMs);
      const { healthy, leaving, slowdown = 1 } = result;
      if (healthy && !leaving && slowdown < SLOWED) return "use";
      if (leaving) return "decline";
    }
    return call.checks >= MAX_CHECKS ? "use" : "decline";
  }

  #fill(about: { slots: number; entries: number; now: number }): void {
    const { slots, entries, now } = about;
    const perMs = (slots * SLOT_SHARE) / Math.max(1, entries);
    const passed = now - (this.#filledAt ?? now - SAVED_MS);
    this.#filledAt = now;
    const most = Math.max(this.#costMs, perMs * SAVED_MS);
    this.#budgetMs = Math.min(most, this.#budgetMs + perMs * passed);
  }
}
