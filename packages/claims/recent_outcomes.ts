import { CLAIM_RETENTION_MS } from "./claim_holder.ts";

/** Maximum number of stored outcomes; each takes about 100 bytes. */
const MAX_OUTCOMES = 50_000;

/** The final state of an attempt to claim a key. */
export type AttemptOutcome =
  | { readonly type: "released" }
  | { readonly type: "ran"; readonly fingerprint: number };

/**
 * Stores the outcomes of this entry's recent attempts, for holders that missed
 * the message. If an outcome is evicted early, such a holder keeps the key
 * claimed until the claim expires.
 */
export class RecentOutcomes {
  readonly #outcomes = new Map<
    number,
    { readonly end: AttemptOutcome; readonly since: number }
  >();

  add(attempt: number, end: AttemptOutcome, now: number): void {
    this.#outcomes.set(attempt, { end, since: now });
    if (this.#outcomes.size <= MAX_OUTCOMES) return;
    for (const oldest of this.#outcomes.keys()) {
      this.#outcomes.delete(oldest);
      return;
    }
  }

  get(attempt: number): AttemptOutcome | undefined {
    return this.#outcomes.get(attempt)?.end;
  }

  expire(now: number): void {
    for (const [attempt, { since }] of this.#outcomes) {
      if (now - since < CLAIM_RETENTION_MS) return;
      this.#outcomes.delete(attempt);
    }
  }
}
