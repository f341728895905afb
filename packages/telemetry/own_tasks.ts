import type { Clock } from "#model";
import { recordTaskFailure } from "./failures.ts";
import type { Logger } from "./logger.ts";
import { errorFields } from "./process_end.ts";

/** Least time between two log lines about one task, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

interface TaskFailures {
  loggedAt: number;
  /** Failures since the last log line. */
  unlogged: number;
}

/**
 * Owns tasks that run by themselves, such as ticks and checks: nothing waits for
 * their end, so that nothing else would handle their exceptions, which would end
 * the process. Each failure is counted, and logged at a bounded rate.
 */
export class OwnTasks {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #failures = new Map<string, TaskFailures>();

  constructor(options: { clock: Clock; logger: Logger }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Runs a task, which may return a promise. */
  run(task: string, body: () => unknown): void {
    try {
      const result = body();
      if (!(result instanceof Promise)) return;
      result.catch((error: unknown) => this.fail(task, error));
    } catch (error) {
      this.fail(task, error);
    }
  }

  /** Reports the failure of a task. */
  fail(task: string, error: unknown): void {
    recordTaskFailure(task);
    const now = this.#clock.now();
    const failures = this.#failures.get(task);
    if (failures && now - failures.loggedAt < LOG_INTERVAL_MS) {
      failures.unlogged++;
      return;
    }
    this.#failures.set(task, { loggedAt: now, unlogged: 0 });
    this.#logger.error("task failed", {
      task,
      error: errorFields(error),
      ...(failures && { failuresBefore: failures.unlogged }),
    });
  }
}
