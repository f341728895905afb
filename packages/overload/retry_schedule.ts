/** Callers honour a Retry-After up to this share of the time they have left. */
const HONOURED_SHARE = 1 / 3;
/** Part of a Retry-After over which the refused calls are spread. */
const SPREAD_SHARE = 0.5;
export const MIN_RETRY_AFTER_MS = 10;
/** The fractional parts of its multiples are spread evenly. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/** A refused call as `RetrySchedule` sees it. */
export interface RefusedWork {
  readonly rank: number;
  readonly workMs: number;
  /** Expected wait of a call of this rank, in milliseconds. */
  readonly waitMs: number;
  /** Expected work that starts per millisecond for this rank. */
  readonly workPerMs: number;
  /** Time that the caller has left, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Times at which refused calls come back: each rank's in a row, at the rate at
 * which there is room for that rank, so that they do not return together.
 */
export class RetrySchedule {
  /** End of the room that is spoken for, by rank. */
  readonly #reservedUntil = new Map<number, number>();
  #refused = 0;

  retryAfterMs(call: RefusedWork, now: number): number {
    const { rank, workMs, waitMs, remainingMs } = call;
    const reserved = this.#reservedUntil.get(rank) ?? now;
    const from = Math.max(reserved, now);
    const longestMs = Math.max(
      MIN_RETRY_AFTER_MS,
      remainingMs * HONOURED_SHARE,
    );
    // Room that no caller waits for cannot be reserved.
    const until = from + workMs / Math.max(call.workPerMs, 1e-6);
    // A caller with little time left gives back nothing that others reserved.
    const reservedUntil = Math.max(reserved, Math.min(until, now + longestMs));
    this.#reservedUntil.set(rank, reservedUntil);
    this.#refused += 1;
    const spread = (this.#refused * GOLDEN_RATIO) % 1;
    const wantedMs = Math.min(longestMs, waitMs + from - now);
    const ms = wantedMs * (1 - SPREAD_SHARE * spread);
    return Math.floor(Math.min(longestMs, Math.max(MIN_RETRY_AFTER_MS, ms)));
  }
}
