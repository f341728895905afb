import type { Clock } from "#model";

/** A limit on repeated sends of calls. */
export interface SendBudget {
  /** Counts a call's first send. */
  countCall(): void;
  /** Takes one repeated send from the budget; false if none is left. */
  tryTake(): boolean;
}

/**
 * Share of the limit that is used. The rest is a margin, since the windows in
 * which calls are counted elsewhere may begin at any moment and messages arrive
 * late.
 */
const USED_SHARE = 0.8;

/**
 * One entry's part of a limit on repeated sends in any window of time, over all
 * entries. The fixed extra refills once a window, and a full bucket may be
 * spent at once, so the bucket holds at most half of it.
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
    /** Number of entries that share the limit. */
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

  /** Even if this entry's part is below one send, the bucket can hold one. */
  #capTokens(): void {
    this.#tokens = Math.min(this.#tokens, Math.max(1, this.#extraCapacity()));
  }
}
