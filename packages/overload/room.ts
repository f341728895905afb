/** Time constant of the rate at which work starts. */
const RATE_TIME_CONSTANT_MS = 500;

/** A moving average of an amount per millisecond. */
export class MovingRate {
  readonly #timeConstantMs: number;
  #perMs = 0;
  #at = 0;

  constructor(timeConstantMs = RATE_TIME_CONSTANT_MS) {
    this.#timeConstantMs = timeConstantMs;
  }

  add(amount: number, now: number): void {
    this.#perMs = this.perMs(now) + amount / this.#timeConstantMs;
    this.#at = now;
  }

  perMs(now: number): number {
    return this.#perMs * Math.exp((this.#at - now) / this.#timeConstantMs);
  }
}

/** What is known of the servers of a service when a call is decided on. */
export interface Capacity {
  /** Calls that run at the same time on the usable servers. */
  readonly concurrency: number;
  /** Recent time of calls on servers, relative to their expected work. */
  readonly slowdown: number;
}

/** Expected work that starts per millisecond while calls wait. */
export function workPerMs({ concurrency, slowdown }: Capacity): number {
  return Math.max(concurrency, 0.1) / Math.max(slowdown, 0.1);
}
