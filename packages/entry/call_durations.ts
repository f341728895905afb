import { LatencyHistogram } from "#admission";
import type { ExpectedDurations } from "./stop_schedule.ts";

/**
 * Percentile of the recent durations that counts as the expected one: the longest,
 * since a stop cuts what takes longer than expected.
 */
const EXPECTED_PERCENT = 100;
/** Durations that are needed for a quantile. */
const MIN_SAMPLES = 10;

/** Measures how long the calls of a class take. */
export class CallDurations {
  readonly #total = new LatencyHistogram();
  readonly #work = new LatencyHistogram();

  /** Records a whole answer, in milliseconds since the call arrived. */
  recordTotal(ms: number, now: number): void {
    this.#total.record(ms, now);
  }

  /** Records the time in milliseconds that a server took for an answer. */
  recordWork(ms: number, now: number): void {
    this.#work.record(ms, now);
  }

  /**
   * The expected durations of a call that has `limitMs` until its deadline, which
   * stand for those not yet known.
   */
  expected(limitMs: number, now: number): ExpectedDurations {
    const options = { minSamples: MIN_SAMPLES, now };
    const quantile = (histogram: LatencyHistogram) =>
      Math.min(
        limitMs,
        histogram.quantileMs(EXPECTED_PERCENT, options) ?? limitMs,
      );
    return { totalMs: quantile(this.#total), workMs: quantile(this.#work) };
  }
}
