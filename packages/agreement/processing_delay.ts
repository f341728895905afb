/** Longest delay that counts; a longer one is a suspension, after which all is new. */
const MAX_DELAY_MS = 1_500;
/** Time in which the delay that counts halves: some heartbeats of a leader. */
const HALF_LIFE_MS = 2_000;

/**
 * How late a member has been with its own work lately: its ticks, its writes to disk
 * and what follows from them. Messages of others wait as long to be read, and its own
 * to be sent, so that silence tells less about the others.
 *
 * Load pattern: a host that lacks processor time or has a slow disk, as while all
 * hosts start.
 */
export class ProcessingDelay {
  #ms = 0;
  #at = 0;

  record(delayMs: number, now: number): void {
    const ms = Math.min(delayMs, MAX_DELAY_MS);
    if (ms <= this.current(now)) return;
    this.#ms = ms;
    this.#at = now;
  }

  /** The delay to reckon with, in milliseconds. */
  current(now: number): number {
    return this.#ms * 2 ** ((this.#at - now) / HALF_LIFE_MS);
  }
}
