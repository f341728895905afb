import { LatencyHistogram } from "./latency_histogram.ts";
import type { SendBudget } from "./resend_budget.ts";

/** Percentile of the latencies after which a hedge is sent. */
const QUANTILE_PERCENT = 95;
/** Latencies that are needed to compute the quantile. */
const MIN_SAMPLES = 40;
/**
 * Interval at which the quantile is computed; a pass over the histogram is too
 * slow for each call.
 */
const COMPUTE_INTERVAL_MS = 100;
/** Shortest delay of a hedge; a sooner one would cost more than it saves. */
const MIN_DELAY_MS = 1;

/**
 * Decides when a repeatable call gets a second, parallel attempt (hedge), from
 * the latencies of its request class. There is one instance per class.
 */
export class HedgePolicy {
  readonly #latencies = new LatencyHistogram();
  #computeAt = Number.NEGATIVE_INFINITY;
  #delayMs: number | undefined;

  /** Records the latency of an answered attempt, in milliseconds. */
  observe(latencyMs: number, now: number): void {
    this.#latencies.record(latencyMs, now);
  }

  /**
   * Delay of a hedge in milliseconds; undefined while too few latencies are
   * known.
   */
  delayMs(now: number): number | undefined {
    if (now >= this.#computeAt) {
      this.#computeAt = now + COMPUTE_INTERVAL_MS;
      this.#delayMs = this.#quantileMs(now);
    }
    return this.#delayMs;
  }

  #quantileMs(now: number): number | undefined {
    const options = { minSamples: MIN_SAMPLES, now };
    const ms = this.#latencies.quantileMs(QUANTILE_PERCENT, options);
    return ms === undefined ? undefined : Math.max(MIN_DELAY_MS, ms);
  }

  /**
   * Time at which to hedge an attempt that starts now, in milliseconds of
   * `Clock.now()`; undefined for no hedge.
   */
  hedgeAt(
    call: { readonly repeatable: boolean; readonly deadline: number },
    now: number,
  ): number | undefined {
    if (!call.repeatable) return undefined;
    const delay = this.delayMs(now);
    if (delay === undefined || now + 2 * delay > call.deadline)
      return undefined;
    return now + delay;
  }
}

/** The parallel attempts of one call. */
export class HedgedCall {
  readonly #running = new Set<string>();
  #won = false;

  /** Adds the first attempt. */
  start(attempt: string): void {
    this.#running.add(attempt);
  }

  /**
   * Adds a hedge if exactly one attempt runs and the budget allows it; false
   * otherwise.
   */
  tryHedge(attempt: string, budget: SendBudget): boolean {
    if (this.#won || this.#running.size !== 1 || !budget.tryTake())
      return false;
    this.#running.add(attempt);
    return true;
  }

  /**
   * Ends an attempt. The first answer wins, and `cancel` lists the other
   * attempts; a failure is the result of the call only if no other attempt
   * runs.
   */
  end(
    attempt: string,
    answered: boolean,
  ): { readonly final: boolean; readonly cancel: readonly string[] } {
    const known = this.#running.delete(attempt);
    if (!known || this.#won) return { final: false, cancel: [] };
    if (!answered) return { final: this.#running.size === 0, cancel: [] };
    this.#won = true;
    const cancel = [...this.#running];
    this.#running.clear();
    return { final: true, cancel };
  }
}
