import { Backoff, type Randomness } from "#model";
import {
  MAX_STATE_REQUEST_INTERVAL_MS,
  STATE_REQUEST_INTERVAL_MS,
} from "./timings.ts";

/**
 * When one list may be requested again. Requests get rarer while none is answered,
 * since an owner that is late with its answers is made later by each request.
 */
export class RequestPace {
  readonly #backoff: Backoff;
  #intervalMs = 0;
  #requestedAt = Number.NEGATIVE_INFINITY;

  constructor(randomness: Randomness) {
    this.#backoff = new Backoff({
      shortestMs: STATE_REQUEST_INTERVAL_MS,
      longestMs: MAX_STATE_REQUEST_INTERVAL_MS,
      randomness,
    });
  }

  get requestedAt(): number {
    return this.#requestedAt;
  }

  isDue(now: number): boolean {
    return now - this.#requestedAt >= this.#intervalMs;
  }

  handleRequest(now: number): void {
    this.#requestedAt = now;
    this.#intervalMs = this.#backoff.next();
  }

  /** To be called when the list, a part of it or a summary that fits has arrived. */
  handleAnswer(): void {
    this.#backoff.reset();
    this.#intervalMs = Math.min(this.#intervalMs, STATE_REQUEST_INTERVAL_MS);
  }
}
