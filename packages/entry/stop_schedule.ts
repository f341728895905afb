/**
 * Fraction of a stop in which new calls are accepted, since callers may use a
 * cached address lookup. The rest is left for the last calls to finish.
 */
const ACCEPT_FRACTION = 0.5;

/** How long calls of a class usually take, in milliseconds. */
export interface ExpectedDurations {
  /** From arrival to the end of the answer. */
  readonly totalMs: number;
  /** From the choice of a server to the end of its answer. */
  readonly workMs: number;
}

/**
 * What an entry still takes on while it stops. A call that can't end before the
 * entry does is refused before it is sent to a server, so that its caller may
 * turn to another entry at once.
 */
export class StopSchedule {
  /** Time until which new calls are accepted. */
  readonly acceptUntil: number;
  /** Time at which the entry ends and cuts the calls that are left. */
  readonly end: number;

  constructor(options: { startedAt: number; limitMs: number }) {
    const { startedAt, limitMs } = options;
    this.acceptUntil = startedAt + limitMs * ACCEPT_FRACTION;
    this.end = startedAt + limitMs;
  }

  /** Whether to accept a call that arrives now. */
  accepts(now: number, { totalMs }: ExpectedDurations): boolean {
    return now < this.acceptUntil && now + totalMs <= this.end;
  }

  /** The latest time at which to send a call to a server. */
  sendBy({ workMs }: ExpectedDurations): number {
    return this.end - workMs;
  }
}
