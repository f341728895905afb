/** Unused requests accrue for this long, so that ticks lose none of the rate. */
const BURST_S = 0.1;
/** Requests that were sent without asking count against this much time. */
const MAX_DEBT_S = 2;
/**
 * A server that takes less than this is still asked this often, since only an
 * answer of the server can end its limit.
 */
const MIN_PER_SECOND = 0.1;

/**
 * Spaces the requests to a server that limits its rate or is cold: a token bucket
 * that starts empty unless a burst is allowed, so that a new owner of the limit
 * repeats no burst of the former one.
 */
export class RatePacer {
  #perSecond: number;
  #burst: number;
  #tokens: number;
  #filledAt: number;

  /** With a burst, so many requests may be sent at once, also at the start. */
  constructor(perSecond: number, now: number, { burst = 0 } = {}) {
    this.#perSecond = Math.max(MIN_PER_SECOND, perSecond);
    this.#burst = burst;
    this.#tokens = burst;
    this.#filledAt = now;
  }

  /** Requests a second. */
  get perSecond(): number {
    return this.#perSecond;
  }

  setRate(perSecond: number, now: number, { burst = 0 } = {}): void {
    this.#refill(now);
    this.#burst = burst;
    this.#perSecond = Math.max(MIN_PER_SECOND, perSecond);
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /** Whether a request may be sent now. */
  isReady(now: number): boolean {
    this.#refill(now);
    return this.#tokens >= 1;
  }

  /** Milliseconds until a request may be sent. */
  waitMs(now: number): number {
    this.#refill(now);
    return (Math.max(0, 1 - this.#tokens) * 1_000) / this.#perSecond;
  }

  /** Counts a request, also one that was sent before it was ready, or earlier. */
  take(now: number): void {
    this.#refill(now);
    const maxDebt = Math.max(1, this.#perSecond * MAX_DEBT_S);
    this.#tokens = Math.max(-maxDebt, this.#tokens - 1);
  }

  /** Returns a request that was counted and not sent. */
  giveBack(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + 1);
  }

  get #capacity(): number {
    return Math.max(1, this.#burst, this.#perSecond * BURST_S);
  }

  #refill(now: number): void {
    if (now <= this.#filledAt) return;
    const earned = ((now - this.#filledAt) * this.#perSecond) / 1_000;
    this.#tokens = Math.min(this.#capacity, this.#tokens + earned);
    this.#filledAt = now;
  }
}
