import { LatencyHistogram } from "#admission";
import type { ExpectedDurations } from "./stop_schedule.ts";

/** Percentile of the recent durations that counts as the expected one. */
const EXPECTED_PERCENT = 95;
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

  /** The expected durations; the objective stands for those not yet known. */
  expected(objectiveMs: number, now: number): ExpectedDurations {
    const options = { minSamples: MIN_SAMPLES, now };
    const quantile = (histogram: LatencyHistogram) =>
      histogram.quantileMs(EXPECTED_PERCENT, options) ?? objectiveMs;
    return { totalMs: quantile(this.#total), workMs: quantile(this.#work) };
  }
}
