import { CLAIM_KEPT_MS } from "./claim_holder.ts";

/** Ended attempts that are remembered; about 100 bytes each. */
const MAX_OUTCOMES = 50_000;

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly type: "released" }
  | { readonly type: "ran"; readonly fingerprint: number };

/**
 * How this entry's last attempts ended, for holders that missed the message.
 * An end that is forgotten early leaves the key claimed for the window.
 */
export class Outcomes {
  readonly #ends = new Map<
    number,
    { readonly end: AttemptEnd; readonly since: number }
  >();

  add(attempt: number, end: AttemptEnd, now: number): void {
    this.#ends.set(attempt, { end, since: now });
    if (this.#ends.size <= MAX_OUTCOMES) return;
    for (const oldest of this.#ends.keys()) {
      this.#ends.delete(oldest);
      return;
    }
  }

  get(attempt: number): AttemptEnd | undefined {
    return this.#ends.get(attempt)?.end;
  }

  expire(now: number): void {
    for (const [attempt, { since }] of this.#ends) {
      if (now - since < CLAIM_KEPT_MS) return;
      this.#ends.delete(attempt);
    }
  }
}
