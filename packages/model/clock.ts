/** A source of time. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallTime(): number;
}

/** The clock of the operating system. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }
}

/** A clock that only advances on request; for tests and benchmarks. */
export class ManualClock implements Clock {
  #now: number;
  readonly #origin: number;

  constructor(now = 0, origin = 1_750_000_000_000) {
    this.#now = now;
    this.#origin = origin;
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#origin + this.#now;
  }

  advance(milliseconds: number): void {
    this.#now += milliseconds;
  }
}
