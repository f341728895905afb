import type { Histogram } from "hdr-histogram-js";
// The package's index loads its WebAssembly build too, which takes 9 MB.
import int32Module from "hdr-histogram-js/dist/Int32Histogram.js";
import type { SendBudget } from "./resend_budget.ts";

/** Share of calls that are answered before a hedge is considered. */
const QUANTILE_PERCENT = 95;
/** Latencies that a quantile needs. */
const MIN_SAMPLES = 40;
/** The quantile covers one to two of these. */
const PERIOD_MS = 15_000;
/** Units of the histogram per millisecond. */
const UNITS_PER_MS = 100;
/** The quantile costs a pass over the histogram, too much for each call. */
const COMPUTE_INTERVAL_MS = 100;
/** A hedge sooner than this would cost more than it saves. */
const MIN_DELAY_MS = 1;

/** Decides when a repeatable call gets a second attempt; one per class. */
export class Hedging {
  #current = newHistogram();
  #previous = newHistogram();
  #periodEnds: number | undefined;
  #computeAt = Number.NEGATIVE_INFINITY;
  #delayMs: number | undefined;

  /** Takes the latency of an answered attempt, in milliseconds. */
  observe(latencyMs: number, now: number): void {
    this.#rotate(now);
    this.#current.recordValue(
      Math.max(1, Math.round(latencyMs * UNITS_PER_MS)),
    );
  }

  /** Wait before a hedge in milliseconds; undefined while too little is known. */
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

  /** When to hedge an attempt that starts now, as `Clock.now()`. */
  plan(
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

/** The attempts of one call that run at the same time. */
export class HedgedCall {
  readonly #running = new Set<string>();
  #won = false;

  /** Adds the first attempt. */
  start(attempt: string): void {
    this.#running.add(attempt);
  }

  /** Adds a hedge at its time, if the call still runs and the budget has one. */
  tryHedge(attempt: string, budget: SendBudget): boolean {
    if (this.#won || this.#running.size !== 1 || !budget.tryTake())
      return false;
    this.#running.add(attempt);
    return true;
  }

  /**
   * Ends an attempt. The first answer wins and the others are to be cancelled;
   * a failure is the call's only if no other attempt runs.
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

/** One digit keeps latencies within 10%, in 2 KiB per histogram. */
const SIGNIFICANT_DIGITS = 1;

// A CommonJS module's default export, as Node and bundlers see it.
const { default: Int32Histogram } = int32Module as unknown as {
  default: typeof int32Module;
};

function newHistogram(): Histogram {
  const histogram = new Int32Histogram(1, 2, SIGNIFICANT_DIGITS);
  histogram.autoResize = true;
  return histogram;
}
