/**
 * Time for which a server is taken to be cold beyond what it states: the statement
 * may be rounded, and its clock and this one differ in speed.
 */
const MARGIN_MS = 250;

/**
 * Requests that a cold server may get at once, in addition to its rate. A server may
 * get half its rate and 8 requests in a second beyond the rate; an old and a new
 * dispatcher take 2 each, entries without one 2, and 2 are left for messages that
 * arrive together.
 */
const COLD_BURST = 2;

/** How long a server is cold, as one process knows it of one incarnation. */
export class ColdPeriod {
  #announcedUntil = Number.NEGATIVE_INFINITY;
  #answeredUntil = Number.NEGATIVE_INFINITY;

  /** Takes over the newest announcement; undefined if the server is not cold. */
  recordAnnouncement(remainingMs: number | undefined, now: number): void {
    this.#announcedUntil = endOf(remainingMs, now);
  }

  /**
   * Records an answer of the server to a check. An announcement does not overrule
   * it, since it may be older.
   */
  recordAnswer(remainingMs: number, now: number): void {
    this.#answeredUntil = endOf(remainingMs, now);
  }

  /** Time until which the server is cold; minus infinity if it never was. */
  get until(): number {
    return Math.max(this.#announcedUntil, this.#answeredUntil);
  }

  isCold(now: number): boolean {
    return now < this.until;
  }

  remainingMs(now: number): number {
    return Math.max(0, this.until - now);
  }
}

function endOf(remainingMs = 0, now: number): number {
  return remainingMs > 0
    ? now + remainingMs + MARGIN_MS
    : Number.NEGATIVE_INFINITY;
}

/** At which rate requests to a server are spaced, and how many may go at once. */
export interface PacedRate {
  readonly perSecond: number;
  readonly burst: number;
}

/**
 * The rate of a server that names a limit, is cold, or both; undefined if neither.
 * A named limit allows no burst.
 */
export function pacedRate(limits: {
  readonly named: number | undefined;
  readonly cold: number | undefined;
}): PacedRate | undefined {
  const { named, cold } = limits;
  if (named === undefined) {
    return cold === undefined
      ? undefined
      : { perSecond: cold, burst: COLD_BURST };
  }
  return { perSecond: Math.min(named, cold ?? named), burst: 0 };
}
