/**
 * Time for which a named limit holds at least. Answers overtake each other, so
 * one without a limit may be older than one that names it.
 */
const HOLD_MS = 1_000;

/** A limit as one process tells it to another. */
export interface RateNotice {
  /** Requests a second over all entries. */
  readonly perSecond: number;
  /** Time since the server named the limit, in milliseconds. */
  readonly ageMs: number;
}

/**
 * The limit of requests a second that a server names in its answers, as one
 * process knows it. It holds until the server answers without naming one.
 */
export class NamedRate {
  #perSecond: number | undefined;
  #namedAt = Number.NEGATIVE_INFINITY;
  #endedAt = Number.NEGATIVE_INFINITY;

  /** Requests a second over all entries; undefined if there is no limit. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /**
   * Records an answer of the server; returns whether the limit has changed.
   * Only a complete answer without a limit ends it: an error may come from a
   * part of the server that does not know of it.
   */
  recordAnswer(
    answer: { rateLimit: number | undefined; complete: boolean },
    now: number,
  ): boolean {
    const { rateLimit, complete } = answer;
    if (rateLimit === undefined) return complete && this.end(now);
    const previous = this.#perSecond;
    this.#perSecond = rateLimit;
    this.#namedAt = now;
    return rateLimit !== previous;
  }

  /**
   * Records what another process knows, unless this one knows something newer;
   * returns whether the limit has changed.
   */
  recordNotice({ perSecond, ageMs }: RateNotice, now: number): boolean {
    const namedAt = now - ageMs;
    if (namedAt <= this.#namedAt || namedAt <= this.#endedAt) return false;
    const previous = this.#perSecond;
    this.#perSecond = perSecond;
    this.#namedAt = namedAt;
    return perSecond !== previous;
  }

  /**
   * Ends the limit, unless the server has named it just now; returns whether
   * the limit has changed.
   */
  end(now: number): boolean {
    const isRecent = now - this.#namedAt < HOLD_MS;
    if (this.#perSecond === undefined || isRecent) return false;
    this.#perSecond = undefined;
    this.#endedAt = now;
    return true;
  }

  /** The limit, to be told to another process; undefined if there is none. */
  notice(now: number): RateNotice | undefined {
    if (this.#perSecond === undefined) return undefined;
    const ageMs = Math.round(now - this.#namedAt);
    return { perSecond: this.#perSecond, ageMs };
  }
}
