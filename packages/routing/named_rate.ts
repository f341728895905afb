/**
 * Time for which a named limit holds at least. Answers overtake each other, so
 * one without a limit may be older than one that names it.
 */
const HOLD_MS = 1_000;

/**
 * The limit of requests a second that a server names in its answers, as one
 * process knows it. It holds until the server answers without naming one.
 */
export class NamedRate {
  #perSecond: number | undefined;
  #namedAt = Number.NEGATIVE_INFINITY;

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
    const previous = this.#perSecond;
    if (rateLimit !== undefined) {
      this.#perSecond = rateLimit;
      this.#namedAt = now;
    } else if (complete && now - this.#namedAt >= HOLD_MS) {
      this.#perSecond = undefined;
    }
    return this.#perSecond !== previous;
  }
}
