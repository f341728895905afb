import type { Randomness } from "#model";

/** Time for the hello of a peer on the first connection. */
const SHORTEST_MS = 2_000;
/**
 * Longest time for a hello. A connection that died without a reset is found after
 * it at the latest.
 */
const LONGEST_MS = 8_000;
const GROWTH = 2;
/** Largest share by which a timeout is shorter, so that peers do not act together. */
const JITTER = 0.2;

/**
 * Time for which a process waits for the hello on a connection that it has opened:
 * longer after each connection without one. A peer that is overloaded answers each
 * connection late; if all of them are given up after the same time, it only ever
 * works on connections that are closed already.
 *
 * Load pattern: all hosts start at the same moment on machines that are too small for
 * that, and each opens links to tens of others.
 */
export class HelloTimeout {
  readonly #randomness: Randomness;
  #ms = SHORTEST_MS;

  constructor(randomness: Randomness) {
    this.#randomness = randomness;
  }

  /** The time for the next connection, in milliseconds. */
  next(): number {
    const ms = this.#ms;
    this.#ms = Math.min(LONGEST_MS, GROWTH * ms);
    return ms * (1 - JITTER * this.#randomness.next());
  }

  /** To be called when a hello has arrived. */
  reset(): void {
    this.#ms = SHORTEST_MS;
  }
}
