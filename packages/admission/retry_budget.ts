import type { Clock } from "#model";
import type { SendBudget } from "./resend_budget.ts";

/** Retries that a service without calls may accumulate. */
const RESERVE = 5;
/**
 * Refill rate of the reserve, so that a service with few calls can retry at
 * all.
 */
const RESERVE_PER_S = 0.5;
/**
 * Maximum of accumulated retries, so that a busy hour does not allow a retry
 * storm.
 */
const MAX_SAVED = 50;

/** Limits the retries and hedges of a service to a share of its calls. */
export class RetryBudget implements SendBudget {
  readonly #clock: Clock;
  #share: number;
  #tokens = RESERVE;
  #refilledAt: number;

  constructor(options: { percent: number; clock: Clock }) {
    this.#clock = options.clock;
    this.#share = options.percent / 100;
    this.#refilledAt = options.clock.now();
  }

  /** Retries that may be made now. */
  get available(): number {
    this.#refill();
    return Math.floor(this.#tokens);
  }

  /** Applies a changed share from the document. */
  configure(percent: number): void {
    this.#share = percent / 100;
  }

  /** Counts a first attempt. */
  countCall(): void {
    this.#tokens = Math.min(MAX_SAVED, this.#tokens + this.#share);
  }

  /** Takes one retry or hedge from the budget; false if none is left. */
  tryTake(): boolean {
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  #refill(): void {
    const now = this.#clock.now();
    const earned = ((now - this.#refilledAt) / 1_000) * RESERVE_PER_S;
    this.#refilledAt = now;
    if (this.#share === 0 || this.#tokens >= RESERVE) return;
    this.#tokens = Math.min(RESERVE, this.#tokens + earned);
  }
}
