/**
 * Share of a server's slots that can be in use while it is assumed to work at
 * full speed.
 */
export const FULL_SPEED_SHARE = 0.8;
/**
 * Weight, in calls, of the prior assumption that a server works at full speed.
 */
const PRIOR_CALLS = { uncrowded: 40, crowded: 2 } as const;
/** Samples that are kept for each request class and utilization level. */
const MAX_SAMPLES = 48;
/** Time after which samples count half. */
const HALF_LIFE_MS = 15_000;
/** Lower bound of a weight, so that an average stays defined after a pause. */
const MIN_WEIGHT = 0.001;
/** Utilization levels above 0, in percent. */
const LEVELS = 100;
/** Interval at which the estimates are recomputed. */
const ESTIMATE_INTERVAL_MS = 100;
/** Iterations of the fit in each estimate. */
const FIT_ITERATIONS = 4;

/** A call that a server answered, as seen by the dispatcher. */
export interface CompletedCall {
  readonly class: string;
  /** Calls that ran on the server when it started, itself included. */
  readonly running: number;
  readonly slots: number;
  readonly serviceMs: number;
}

/**
 * Estimates how many calls a server of a service should run at a time. Servers
 * that slow down when nearly full have a lower throughput with all slots in use
 * than with some of them free; the number of calls with the highest throughput
 * becomes the limit. This matters in bursts, when every slot would be taken.
 *
 * A service time is modelled as the typical time of its request class times a
 * slowdown that depends on the server's utilization. Both are estimated
 * together, so that a dispatcher that starts in an overload learns them too.
 */
export class ConcurrencyEstimator {
  readonly #samples = new Map<string, Map<number, LevelSamples>>();
  /** Logarithm of the slowdown, by utilization level. */
  #logSlowdown = new Map<number, number>();
  /** Logarithm of the typical service time, by request class. */
  #logTypicalMs = new Map<string, number>();
  #estimatedAt = Number.NEGATIVE_INFINITY;

  observe(call: CompletedCall, now: number): void {
    const level = levelOf(call.running, call.slots);
    const logMs = Math.log(Math.max(1, call.serviceMs));
    let levels = this.#samples.get(call.class);
    if (!levels) {
      levels = new Map();
      this.#samples.set(call.class, levels);
      this.#estimatedAt = Number.NEGATIVE_INFINITY;
    }
    const samples = levels.get(level) ?? new LevelSamples(level);
    levels.set(level, samples);
    samples.add(logMs, now);
  }

  /**
   * The number of concurrent calls with the highest throughput. At one utilization
   * level that is the highest number, so no more than one number of each level is
   * tried: a server may announce any number of slots.
   */
  bestLimit(slots: number, now: number): number {
    if (now - this.#estimatedAt >= ESTIMATE_INTERVAL_MS) this.#estimate(now);
    let best = 1;
    let bestThroughput = 0;
    for (let step = 1; step <= Math.min(slots, LEVELS); step++) {
      const running = slots <= LEVELS ? step : mostRunning(step, slots);
      const logSlowdown = this.#logSlowdown.get(levelOf(running, slots)) ?? 0;
      const throughput = running / Math.exp(logSlowdown);
      if (throughput <= bestThroughput) continue;
      best = running;
      bestThroughput = throughput;
    }
    return best;
  }

  /**
   * Typical service time of a request class in milliseconds; undefined if none
   * was seen yet.
   */
  typicalMs(className: string): number | undefined {
    const logTypicalMs = this.#logTypicalMs.get(className);
    return logTypicalMs === undefined ? undefined : Math.exp(logTypicalMs);
  }

  /**
   * Fits typical times and slowdowns to the samples by alternating weighted
   * averages. The first step takes calls on servers with free slots as typical.
   */
  #estimate(now: number): void {
    this.#estimatedAt = now;
    this.#logSlowdown.clear();
    for (const [className, levels] of this.#samples) {
      const all = [...levels.values()];
      const uncrowded = all.filter(
        (samples) => loadRangeOf(samples.level) === "uncrowded",
      );
      const reference = uncrowded.length > 0 ? uncrowded : all;
      this.#logTypicalMs.set(className, this.#fitTypical(reference, now));
    }
    for (let iteration = 0; iteration < FIT_ITERATIONS; iteration++) {
      this.#logSlowdown = this.#fitSlowdown(now);
      for (const [className, levels] of this.#samples) {
        this.#logTypicalMs.set(
          className,
          this.#fitTypical([...levels.values()], now),
        );
      }
    }
  }

  #fitTypical(levels: readonly LevelSamples[], now: number): number {
    const average = new WeightedAverage();
    for (const samples of levels) {
      const logSlowdown = this.#logSlowdown.get(samples.level) ?? 0;
      average.add(samples.logTypicalMs - logSlowdown, samples.weight(now));
    }
    return average.value;
  }

  #fitSlowdown(now: number): Map<number, number> {
    const averages = new Map<number, WeightedAverage>();
    for (const [className, levels] of this.#samples) {
      const logTypicalMs = this.#logTypicalMs.get(className) ?? 0;
      for (const samples of levels.values()) {
        let average = averages.get(samples.level);
        if (!average) {
          average = new WeightedAverage();
          average.add(0, PRIOR_CALLS[loadRangeOf(samples.level)]);
          averages.set(samples.level, average);
        }
        average.add(samples.logTypicalMs - logTypicalMs, samples.weight(now));
      }
    }
    return new Map([...averages].map(([level, { value }]) => [level, value]));
  }
}

/** The latest service times of a request class at one utilization level. */
class LevelSamples {
  /** Utilization: the share of the server's slots in use, in percent. */
  readonly level: number;
  readonly #logs: number[] = [];
  #next = 0;
  #addedAt = 0;
  #logTypicalMs: number | undefined;

  constructor(level: number) {
    this.level = level;
  }

  /** Adds the natural logarithm of a service time in milliseconds. */
  add(logMs: number, now: number): void {
    this.#logs[this.#next] = logMs;
    this.#next = (this.#next + 1) % MAX_SAMPLES;
    this.#addedAt = now;
    this.#logTypicalMs = undefined;
  }

  /** Interquartile mean, since the outer samples may come from slow servers. */
  get logTypicalMs(): number {
    this.#logTypicalMs ??= interquartileMean(this.#logs);
    return this.#logTypicalMs;
  }

  /** Weight of the average in calls, which decays with its age. */
  weight(now: number): number {
    const faded =
      this.#logs.length * 0.5 ** ((now - this.#addedAt) / HALF_LIFE_MS);
    return Math.max(MIN_WEIGHT, faded);
  }
}

class WeightedAverage {
  #sum = 0;
  #weight = 0;

  add(value: number, weight: number): void {
    this.#sum += value * weight;
    this.#weight += weight;
  }

  get value(): number {
    return this.#sum / this.#weight;
  }
}

/**
 * Utilization level in percent, since the servers of a service may have
 * different numbers of slots.
 */
function levelOf(running: number, slots: number): number {
  return Math.round((100 * running) / slots);
}

/** The most calls that run at a utilization level, with more slots than levels. */
function mostRunning(level: number, slots: number): number {
  const next = Math.ceil(((level + 0.5) * slots) / 100);
  return Math.min(slots, next - 1);
}

function loadRangeOf(level: number): keyof typeof PRIOR_CALLS {
  return level <= 100 * FULL_SPEED_SHARE ? "uncrowded" : "crowded";
}

function interquartileMean(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const trimmed = Math.floor(sorted.length / 4);
  const middle = sorted.slice(trimmed, sorted.length - trimmed);
  return middle.reduce((a, b) => a + b, 0) / middle.length;
}
