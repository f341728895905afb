/**
 * Fraction of a stop in which new calls are accepted, since callers may use a
 * cached address lookup. The rest is left for the last calls to finish.
 */
const ACCEPT_FRACTION = 0.5;
/**
 * Fraction of a stop up to which connections are accepted as long as some wait in the
 * listen queue. Their calls are refused, which takes little of the rest. With a bound of
 * 0.5 s an entry accepted some 345 of 450 that had come at once, on a busy machine.
 */
const QUEUE_FRACTION = 0.85;
/** Time for the answer that a call gets at its deadline. */
const ANSWER_MARGIN_MS = 100;

/** How long calls of a class may be expected to take, in milliseconds. */
export interface ExpectedDurations {
  /** From arrival to the end of the answer. */
  readonly totalMs: number;
  /** From the choice of a server to the end of its answer. */
  readonly workMs: number;
}

/** What decides whether a call can end before its entry does. */
export interface StoppableCall {
  readonly arrival: number;
  readonly deadline: number;
  /** Whether its caller may send it again if its answer is lost. */
  readonly repeatable: boolean;
  readonly expected: ExpectedDurations;
}

/**
 * What an entry still takes on while it stops. A call that can't end before the
 * entry does is refused before it is sent to a server, so that its caller may
 * turn to another entry at once. One that must not be repeated is sent only if
 * its deadline lies before the end of the entry, however long its server takes.
 */
export class StopSchedule {
  /** Time until which new calls are accepted. */
  readonly acceptUntil: number;
  /** Time until which connections that wait in the listen queue are accepted. */
  readonly queueUntil: number;
  /** Time at which the entry ends and cuts the calls that are left. */
  readonly end: number;

  constructor(options: { startedAt: number; limitMs: number }) {
    const { startedAt, limitMs } = options;
    this.acceptUntil = startedAt + limitMs * ACCEPT_FRACTION;
    this.queueUntil = startedAt + limitMs * QUEUE_FRACTION;
    this.end = startedAt + limitMs;
  }

  /** Whether to accept a call that arrives now. */
  accepts(call: StoppableCall): boolean {
    const { arrival, repeatable, expected } = call;
    if (arrival >= this.acceptUntil) return false;
    if (this.#endsInTime(call)) return true;
    return repeatable && arrival + expected.totalMs <= this.end;
  }

  /** The latest time at which to send a call to a server. */
  sendBy(call: StoppableCall): number {
    const { arrival, deadline, repeatable, expected } = call;
    if (this.#endsInTime(call)) return deadline;
    return repeatable ? this.end - expected.workMs : arrival;
  }

  /** Whether the call's deadline ends it before the entry does. */
  #endsInTime({ deadline }: StoppableCall): boolean {
    return deadline + ANSWER_MARGIN_MS <= this.end;
  }
}
