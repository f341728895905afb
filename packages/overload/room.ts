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
  /** Time until servers with a rate limit take a call, if all have one. */
  readonly soonestMs?: number;
}

/** Weight of the newest call in the slowdown. */
const SLOWDOWN_WEIGHT = 0.02;

/**
 * Ratio of the time of calls on servers to their expected work, which includes
 * servers that are slow for a moment.
 */
export class SlowdownMeter {
  #value = 1;

  get value(): number {
    return this.#value;
  }

  record(serviceMs: number, workMs: number): void {
    const ratio = serviceMs / Math.max(1, workMs);
    this.#value += SLOWDOWN_WEIGHT * (ratio - this.#value);
  }
}

/** Expected work that starts per millisecond while calls wait. */
export function workPerMs({ concurrency, slowdown }: Capacity): number {
  return Math.max(concurrency, 0.1) / Math.max(slowdown, 0.1);
}
