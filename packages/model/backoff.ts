import type { Randomness } from "./randomness.ts";

const GROWTH = 2;
/** Largest share by which a time is shorter, so that processes do not act together. */
const JITTER = 0.2;

/** A time that grows with each failure in a row. */
export class Backoff {
  readonly #shortestMs: number;
  readonly #longestMs: number;
  readonly #randomness: Randomness;
  #ms: number;

  constructor(options: {
    readonly shortestMs: number;
    readonly longestMs: number;
    readonly randomness: Randomness;
  }) {
    this.#shortestMs = options.shortestMs;
    this.#longestMs = options.longestMs;
    this.#randomness = options.randomness;
    this.#ms = options.shortestMs;
  }

  /** The time for the next attempt, in milliseconds. */
  next(): number {
    const ms = this.#ms;
    this.#ms = Math.min(this.#longestMs, GROWTH * ms);
    return ms * (1 - JITTER * this.#randomness.next());
  }

  /** To be called after a success. */
  reset(): void {
    this.#ms = this.#shortestMs;
  }
}
