import type { Clock } from "#model";
import { type Logger, OwnTasks } from "#telemetry";

/** Task interval without work; longer, since each wake-up costs CPU time. */
const IDLE_INTERVAL_MS = 100;
/** Time after the last activity for which the short interval is kept. */
const BUSY_HOLD_MS = 200;

/** Runs a task at a short interval while there is work, else at a long one. */
export class ActivityTimer {
  readonly #clock: Clock;
  readonly #tasks: OwnTasks;
  readonly #task: () => void;
  readonly #busyIntervalMs: () => number;
  #timer: NodeJS.Timeout | undefined;
  /** The interval of the scheduled run. */
  #intervalMs = IDLE_INTERVAL_MS;
  #busyUntil = Number.NEGATIVE_INFINITY;
  #stopped = true;

  constructor(options: {
    clock: Clock;
    logger: Logger;
    task: () => void;
    /** Interval while there is work, such as queues and timeouts to check. */
    busyIntervalMs: () => number;
  }) {
    this.#clock = options.clock;
    this.#tasks = new OwnTasks(options);
    this.#task = options.task;
    this.#busyIntervalMs = options.busyIntervalMs;
  }

  start(): void {
    this.#stopped = false;
    this.#schedule();
  }

  /** Reports that there is work, which switches to the short interval. */
  markActive(): void {
    this.#busyUntil = this.#clock.now() + BUSY_HOLD_MS;
    if (this.#stopped || this.#intervalMs <= this.#busyIntervalMs()) return;
    clearTimeout(this.#timer);
    this.#schedule();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(): void {
    const busy = this.#clock.now() < this.#busyUntil;
    this.#intervalMs = busy ? this.#busyIntervalMs() : IDLE_INTERVAL_MS;
    this.#timer = setTimeout(() => {
      this.#tasks.run("tick", this.#task);
      if (!this.#stopped) this.#schedule();
    }, this.#intervalMs);
  }
}
