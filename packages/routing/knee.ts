/** Share of its slots up to which a server is assumed to work at full speed. */
const EASY_SHARE = 0.8;
/** Samples that the assumption of full speed counts for. */
const ASSUMED_SAMPLES = 4;
/** Time in which half of what was seen is forgotten, so that it is tried again. */
const HALF_LIFE_MS = 30_000;
/** Samples that an average remembers. */
const REMEMBERED_SAMPLES = 200;
/** Longer work than this says little about crowding. */
const MAX_RATIO = 6;

interface Average {
  value: number;
  samples: number;
  at: number;
}

/** A call that a server answered, as the dispatcher saw it start and end. */
export interface CrowdedCall {
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
 */
export class Knee {
  /** Duration relative to the usual, by share of the slots in percent. */
  readonly #ratios = new Map<number, Average>();
  /** Duration on servers that are not crowded, by class. */
  readonly #usualMs = new Map<string, Average>();

  observe(call: CrowdedCall, now: number): void {
    const { serviceMs, running, slots } = call;
    const easy = running <= Math.max(1, EASY_SHARE * slots);
    const usual = this.#usualMs.get(call.class);
    if (easy && usual) add(usual, serviceMs, now);
    else if (easy) {
      const first = { value: serviceMs, samples: 1, at: now };
      this.#usualMs.set(call.class, first);
    }
    if (!usual) return;
    const ratio = Math.min(MAX_RATIO, serviceMs / usual.value);
    const level = this.#level(running, slots, now);
    level.value = recalled(level, now);
    add(level, ratio, now);
  }

  /** The number of calls at which most work is done. */
  limit(slots: number, now: number): number {
    let best = 1;
    let bestThroughput = 0;
    for (let running = 1; running <= slots; running++) {
      const level = this.#level(running, slots, now);
      const throughput = running / recalled(level, now);
      if (throughput <= bestThroughput) continue;
      best = running;
      bestThroughput = throughput;
    }
    return best;
  }

  /** Usual duration of a class in milliseconds; undefined if not yet seen. */
  usualMs(name: string): number | undefined {
    return this.#usualMs.get(name)?.value;
  }

  #level(running: number, slots: number, now: number): Average {
    // Servers of a service may differ in slots, so levels are shares of them.
    const key = Math.round((100 * running) / slots);
    const known = this.#ratios.get(key);
    if (known) return known;
    const average = { value: 1, samples: ASSUMED_SAMPLES, at: now };
    this.#ratios.set(key, average);
    return average;
  }
}

/** A ratio as it is still believed, on its way back to full speed. */
function recalled({ value, at }: Average, now: number): number {
  return 1 + (value - 1) * 0.5 ** ((now - at) / HALF_LIFE_MS);
}

function add(average: Average, value: number, now: number): void {
  average.samples = Math.min(REMEMBERED_SAMPLES, average.samples + 1);
  average.value += (value - average.value) / average.samples;
  average.at = now;
}
