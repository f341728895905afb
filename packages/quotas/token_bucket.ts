import type { TenantLimit } from "./limits.ts";

/** Shortest time until the next question, as each one costs a message. */
const MIN_RETRY_MS = 20;
/** Longest time for which a refused entry asks no more. */
const MAX_RETRY_MS = 1_000;

/**
 * The tokens of one tenant at one owner. The owner's share of the votes scales both
 * the rate and the capacity, so that all owners together never have more than one
 * whole bucket. Times are in milliseconds.
 */
export class TokenBucket {
  #limit: TenantLimit;
  #level = 0;
  #share = 0;
  #updatedAt: number;
  /** When the entries that were refused last are to ask again. */
  #nextAskAt = 0;

  constructor(limit: TenantLimit, now: number) {
    this.#limit = limit;
    this.#updatedAt = now;
  }

  get level(): number {
    return this.#level;
  }

  setLimit(limit: TenantLimit, now: number): void {
    this.#refill(now);
    this.#limit = limit;
    this.#clamp();
  }

  /** Sets the share of the votes; `tokens` come with votes that are new. */
  setShare(share: number, change: { tokens: number; now: number }): void {
    this.#refill(change.now);
    this.#share = share;
    this.#level += change.tokens;
    this.#clamp();
  }

  /** Takes as many tokens as there are, up to `wanted`. */
  take(wanted: number, now: number): number {
    this.#refill(now);
    const tokens = Math.min(wanted, Math.floor(this.#level));
    this.#level -= tokens;
    return tokens;
  }

  /**
   * Time after which an entry should ask again. Each one that is refused gets a later
   * turn, so that together they ask about as often as there are tokens.
   */
  retryAfterMs(now: number): number {
    const ratePerMs = (this.#limit.ratePerS * this.#share) / 1_000;
    if (ratePerMs <= 0) return MAX_RETRY_MS;
    const nextTokenMs = (1 - this.#level) / ratePerMs;
    const longestMs = Math.max(MAX_RETRY_MS, nextTokenMs);
    const turn = Math.max(now + nextTokenMs, this.#nextAskAt + 1 / ratePerMs);
    this.#nextAskAt = Math.min(turn, now + longestMs);
    return Math.max(MIN_RETRY_MS, Math.ceil(this.#nextAskAt - now));
  }

  #refill(now: number): void {
    const elapsedMs = Math.max(0, now - this.#updatedAt);
    this.#updatedAt = Math.max(now, this.#updatedAt);
    this.#level += (this.#limit.ratePerS * this.#share * elapsedMs) / 1_000;
    this.#clamp();
  }

  #clamp(): void {
    const highest = this.#limit.capacity * this.#share;
    if (this.#level > highest) this.#level = highest;
  }
}
