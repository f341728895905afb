import type { Clock } from "#model";

/** What bounds repeated sends. */
export interface SendBudget {
  /** Counts a call's first send. */
  countCall(): void;
  /** Takes one further send from the budget, if there is one. */
  tryTake(): boolean;
}

/**
 * Part of the allowance that is used: windows of calls as they are counted
 * elsewhere may begin at any moment, and messages arrive late.
 */
const USED_SHARE = 0.8;

/**
 * One entry's part of a bound on repeated sends in any window of time, over all
 * entries. The fixed extra fills up once a window, and a full bucket may be
 * taken at once, so half of it is the most that the bucket holds.
 */
export class ResendBudget implements SendBudget {
  readonly #clock: Clock;
  readonly #limit: { windowMs: number; share: number; extra: number };
  readonly #entries: () => number;
  #tokens: number;
  #refilledAt: number;

  constructor(options: {
    clock: Clock;
    limit: { windowMs: number; share: number; extra: number };
    /** Entries that share the bound. */
    entries: () => number;
  }) {
    this.#clock = options.clock;
    this.#limit = options.limit;
    this.#entries = options.entries;
    this.#refilledAt = options.clock.now();
    this.#tokens = this.#extraCapacity();
  }

  countCall(): void {
    this.#refill();
    this.#tokens += this.#limit.share * USED_SHARE;
    this.#capTokens();
  }

  tryTake(): boolean {
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  #extraCapacity(): number {
    const entries = Math.max(1, this.#entries());
    return (this.#limit.extra * USED_SHARE) / (2 * entries);
  }

  #refill(): void {
    const now = this.#clock.now();
    const elapsedShare = (now - this.#refilledAt) / this.#limit.windowMs;
    this.#refilledAt = now;
    if (this.#tokens >= this.#extraCapacity()) return;
    const earned = elapsedShare * this.#extraCapacity();
    this.#tokens = Math.min(this.#extraCapacity(), this.#tokens + earned);
  }

  /** A part below one send still allows one. */
  #capTokens(): void {
    this.#tokens = Math.min(this.#tokens, Math.max(1, this.#extraCapacity()));
  }
}
