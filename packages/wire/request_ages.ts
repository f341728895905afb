import type { Clock } from "#model";

/** Gap between two turns of the event loop from which a process counts as stalled. */
const MIN_STALL_MS = 300;
/**
 * Time after a stall in which connections may be accepted that were opened during it.
 * Node accepts them in the first turns.
 */
const CATCH_UP_MS = 250;
/** How often an idle process notes that it runs. */
const NOTE_INTERVAL_MS = 100;

/** Times in which a process did not run: it was frozen, or a turn took long. */
export class Stalls {
  #lastActiveAt: number;
  /** The stalls that ended less than `CATCH_UP_MS` ago. */
  #recent: { readonly from: number; readonly until: number }[] = [];

  constructor(now: number) {
    this.#lastActiveAt = now;
  }

  /** To be called often; the time between two calls counts as one turn. */
  noteActivity(now: number): void {
    const from = this.#lastActiveAt;
    this.#lastActiveAt = now;
    this.#recent = this.#recent.filter(
      ({ until }) => now - until < CATCH_UP_MS,
    );
    if (now - from >= MIN_STALL_MS) this.#recent.push({ from, until: now });
  }

  /** The earliest time at which a connection or bytes that are read now can have come. */
  earliestArrival(now: number): number {
    this.noteActivity(now);
    return Math.min(now, ...this.#recent.map(({ from }) => from));
  }
}

/**
 * The earliest times at which the requests of connections can have been sent. A
 * process that was frozen reads requests long after they were sent, and a cut holds
 * them back; whether their senders still wait cannot be seen, as a sender may leave its
 * connection open, and the end of one is read after its bytes. What is known is when
 * its connection was opened, and when the last answer was sent on it.
 */
export class RequestAges<Connection extends object> {
  readonly #clock: Clock;
  readonly #stalls: Stalls;
  readonly #sentAfter = new WeakMap<Connection, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#stalls = new Stalls(clock.now());
  }

  /** Notes regularly that the process runs, until it ends. */
  start(): this {
    setInterval(() => this.noteActivity(), NOTE_INTERVAL_MS).unref();
    return this;
  }

  /** Notes that the process runs. */
  noteActivity(): void {
    this.#stalls.noteActivity(this.#clock.now());
  }

  /** Notes a connection that was accepted. */
  open(connection: Connection): void {
    const earliest = this.#stalls.earliestArrival(this.#clock.now());
    this.#sentAfter.set(connection, earliest);
  }

  /**
   * The earliest time at which what is read now can have arrived: later than
   * `sentAfter` on a connection that was idle, and blind to a cut.
   */
  arrivedAfter(): number {
    return this.#stalls.earliestArrival(this.#clock.now());
  }

  /** Notes that an answer is sent; the next request is sent after it. */
  answer(connection: Connection): void {
    this.#sentAfter.set(connection, this.#clock.now());
  }

  /** A request of the connection that is read now was not sent before this time. */
  sentAfter(connection: Connection): number {
    return this.#sentAfter.get(connection) ?? Number.NEGATIVE_INFINITY;
  }
}
