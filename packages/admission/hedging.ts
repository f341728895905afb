import type { Histogram } from "hdr-histogram-js";
// The package's index also loads its WebAssembly build, which takes 9 MB.
import int32Module from "hdr-histogram-js/dist/Int32Histogram.js";
import type { SendBudget } from "./resend_budget.ts";

/** Percentile of the latencies after which a hedge is sent. */
const QUANTILE_PERCENT = 95;
/** Latencies that are needed to compute the quantile. */
const MIN_SAMPLES = 40;
/** Length of a histogram's period; the quantile covers one to two of them. */
const PERIOD_MS = 15_000;
/** Histogram units per millisecond. */
const UNITS_PER_MS = 100;
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
  #current = newHistogram();
  #previous = newHistogram();
  #periodEnds: number | undefined;
  #computeAt = Number.NEGATIVE_INFINITY;
  #delayMs: number | undefined;

  /** Records the latency of an answered attempt, in milliseconds. */
  observe(latencyMs: number, now: number): void {
    this.#rotate(now);
    this.#current.recordValue(
      Math.max(1, Math.round(latencyMs * UNITS_PER_MS)),
    );
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
    this.#rotate(now);
    const full = this.#previous.totalCount >= MIN_SAMPLES;
    const histogram = full ? this.#previous : this.#current;
    if (histogram.totalCount < MIN_SAMPLES) return undefined;
    const value = histogram.getValueAtPercentile(QUANTILE_PERCENT);
    return Math.max(MIN_DELAY_MS, value / UNITS_PER_MS);
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

  #rotate(now: number): void {
    this.#periodEnds ??= now + PERIOD_MS;
    if (now < this.#periodEnds) return;
    const isStale = now >= this.#periodEnds + PERIOD_MS;
    this.#periodEnds = now + PERIOD_MS;
    const empty = this.#previous;
    empty.reset();
    if (isStale) this.#current.reset();
    this.#previous = this.#current;
    this.#current = empty;
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

/** One significant digit keeps latencies within 10%, in 2 KiB per histogram. */
const SIGNIFICANT_DIGITS = 1;

// The default export of a CommonJS module, as Node.js and bundlers expose it.
const { default: Int32Histogram } = int32Module as unknown as {
  default: typeof int32Module;
};

function newHistogram(): Histogram {
  const histogram = new Int32Histogram(1, 2, SIGNIFICANT_DIGITS);
  histogram.autoResize = true;
  return histogram;
}
