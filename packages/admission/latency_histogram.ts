import type { Histogram } from "hdr-histogram-js";
// The package's index also loads its WebAssembly build, which takes 9 MB.
import int32Module from "hdr-histogram-js/dist/Int32Histogram.js";

/** Length of a histogram's period; quantiles cover one to two of them. */
const PERIOD_MS = 15_000;
/** Histogram units per millisecond. */
const UNITS_PER_MS = 100;
/** One significant digit keeps latencies within 10%, in 2 KiB per histogram. */
const SIGNIFICANT_DIGITS = 1;

/** Quantiles of recent latencies. */
export class LatencyHistogram {
  #current = newHistogram();
  #previous = newHistogram();
  #periodEnds: number | undefined;

  record(latencyMs: number, now: number): void {
    this.#rotate(now);
    this.#current.recordValue(
      Math.max(1, Math.round(latencyMs * UNITS_PER_MS)),
    );
  }

  /**
   * A quantile in milliseconds, of the previous period if it has enough
   * samples, else of the present one; undefined with too few samples.
   */
  quantileMs(
    percent: number,
    options: { minSamples: number; now: number },
  ): number | undefined {
    const { minSamples, now } = options;
    this.#rotate(now);
    const full = this.#previous.totalCount >= minSamples;
    const histogram = full ? this.#previous : this.#current;
    if (histogram.totalCount < minSamples) return undefined;
    return histogram.getValueAtPercentile(percent) / UNITS_PER_MS;
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

// The default export of a CommonJS module, as Node.js and bundlers expose it.
const { default: Int32Histogram } = int32Module as unknown as {
  default: typeof int32Module;
};

function newHistogram(): Histogram {
  const histogram = new Int32Histogram(1, 2, SIGNIFICANT_DIGITS);
  histogram.autoResize = true;
  return histogram;
}
