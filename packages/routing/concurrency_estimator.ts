/** Share of its slots up to which a server is assumed to work at full speed. */
export const FULL_SPEED_SHARE = 0.8;
/** Calls that the assumption of full speed counts for. */
const PRIOR_CALLS = { uncrowded: 40, crowded: 2 } as const;
/** Calls of a class that are remembered for each level of crowding. */
const MAX_SAMPLES = 48;
/** Time in which half of what was seen is forgotten. */
const HALF_LIFE_MS = 15_000;
/** Weight that never fades, so that an average stays defined after a pause. */
const MIN_WEIGHT = 0.001;
/** Interval of new estimates. */
const ESTIMATE_INTERVAL_MS = 100;
/** Steps of an estimate. */
const FIT_ITERATIONS = 4;

/** A call that a server answered, as the dispatcher saw it start and end. */
export interface CompletedCall {
  readonly class: string;
  /** Calls that ran there when it started, itself included. */
  readonly running: number;
  readonly slots: number;
  readonly serviceMs: number;
}

/**
 * How many calls a server of a service should run at a time. Servers that slow
 * down when they are nearly full finish less with all their slots in use than
 * with some of them free; the count with the highest throughput is the limit.
 * It answers bursts, in which every slot would be taken.
 *
 * A duration is taken as the usual one of its class times the effect of
 * crowding, and both are estimated together, so that a dispatcher that starts
 * in an overload finds them too.
 */
export class ConcurrencyEstimator {
  readonly #samples = new Map<string, Map<number, LevelSamples>>();
  /** Logarithm of the duration relative to the usual, by level. */
  #logSlowdown = new Map<number, number>();
  /** Logarithm of the usual duration, by class. */
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

  /** The number of calls at which most work is done. */
  bestLimit(slots: number, now: number): number {
    if (now - this.#estimatedAt >= ESTIMATE_INTERVAL_MS) this.#estimate(now);
    let best = 1;
    let bestThroughput = 0;
    for (let running = 1; running <= slots; running++) {
      const logSlowdown = this.#logSlowdown.get(levelOf(running, slots)) ?? 0;
      const throughput = running / Math.exp(logSlowdown);
      if (throughput <= bestThroughput) continue;
      best = running;
      bestThroughput = throughput;
    }
    return best;
  }

  /** Usual duration of a class in milliseconds; undefined if not yet seen. */
  typicalMs(className: string): number | undefined {
    const logTypicalMs = this.#logTypicalMs.get(className);
    return logTypicalMs === undefined ? undefined : Math.exp(logTypicalMs);
  }

  /**
   * Fits durations to class and crowding by alternating weighted averages,
   * which first takes calls on servers with free slots as the usual ones.
   */
  #estimate(now: number): void {
    this.#estimatedAt = now;
    this.#logSlowdown.clear();
    for (const [className, levels] of this.#samples) {
      const all = [...levels.values()];
      const uncrowded = all.filter(
        (samples) => loadOf(samples.level) === "uncrowded",
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
          average.add(0, PRIOR_CALLS[loadOf(samples.level)]);
          averages.set(samples.level, average);
        }
        average.add(samples.logTypicalMs - logTypicalMs, samples.weight(now));
      }
    }
    return new Map([...averages].map(([level, { value }]) => [level, value]));
  }
}

/** Latest durations of a class at one level of crowding. */
class LevelSamples {
  /** Share of the slots in use, in percent. */
  readonly level: number;
  readonly #logs: number[] = [];
  #next = 0;
  #addedAt = 0;
  #logTypicalMs: number | undefined;

  constructor(level: number) {
    this.level = level;
  }

  /** Adds the natural logarithm of a duration in milliseconds. */
  add(logMs: number, now: number): void {
    this.#logs[this.#next] = logMs;
    this.#next = (this.#next + 1) % MAX_SAMPLES;
    this.#addedAt = now;
    this.#logTypicalMs = undefined;
  }

  /** Average of the middle half, as slow servers may be among the rest. */
  get logTypicalMs(): number {
    this.#logTypicalMs ??= interquartileMean(this.#logs);
    return this.#logTypicalMs;
  }

  /** Calls that the average counts for; they halve with time. */
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

/** Servers of a service may differ in slots, so levels are shares of them. */
function levelOf(running: number, slots: number): number {
  return Math.round((100 * running) / slots);
}

function loadOf(level: number): keyof typeof PRIOR_CALLS {
  return level <= 100 * FULL_SPEED_SHARE ? "uncrowded" : "crowded";
}

function interquartileMean(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const trimmed = Math.floor(sorted.length / 4);
  const middle = sorted.slice(trimmed, sorted.length - trimmed);
  return middle.reduce((a, b) => a + b, 0) / middle.length;
}
