import { type Randomness, SeededRandomness } from "#model";

/** A kind of call in the overload replays. */
export interface ReplayClass {
  readonly name: string;
  readonly rank: number;
  /** Work on a server at its usual speed, in milliseconds. */
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly share: number;
}

/** A call as it arrives, before any repetition. */
export interface ReplayArrival {
  readonly at: number;
  readonly class: ReplayClass;
  readonly tenant: string;
}

/** One load on a set of servers. */
export interface ReplayLoad {
  readonly name: string;
  /** Factor of the arrival rate while the fault lasts. */
  readonly burst?: number;
  /** Factor of the first small tenant's rate while the fault lasts. */
  readonly surge?: number;
  /** Share of the servers that are 12 times slower while the fault lasts. */
  readonly slowShare?: number;
  /** Share of the servers that are gone while the fault lasts. */
  readonly lostShare?: number;
  /** Whether callers ignore Retry-After and repeat at once. */
  readonly repeatsAtOnce?: boolean;
  readonly classes?: readonly ReplayClass[];
  readonly tenants?: readonly (readonly [name: string, share: number])[];
}

export const SERVERS = 40;
export const SLOTS_PER_SERVER = 3;
export const FAULT_FROM_MS = 6_000;
export const FAULT_TO_MS = 11_000;
export const LOAD_END_MS = 16_000;
/** Share of the servers' capacity that the usual load takes. */
const USUAL_LOAD = 0.6;
/** Share of the time for which a server is 4 times slower. */
const SLOW_TIME_SHARE = 0.3;
const SLOW_TIME_FACTOR = 4;
const SLOW_PERIOD_MS = 300;
const FAULT_SLOWDOWN = 12;
/** Extra time of a call while a server uses more than 80% of its slots. */
const CROWDED_FACTOR = 1.7;

const READ: ReplayClass = {
  ...{ name: "read", rank: 0, workMs: 79, targetMs: 250, deadlineMs: 2_000 },
  share: 0.4,
};
const COMMAND: ReplayClass = {
  ...{ name: "command", rank: 1, workMs: 200, targetMs: 800 },
  ...{ deadlineMs: 4_000, share: 0.25 },
};
const REPORT: ReplayClass = {
  ...{ name: "report", rank: 1, workMs: 660, targetMs: 2_000 },
  ...{ deadlineMs: 6_000, share: 0.1 },
};
const DOWNLOAD: ReplayClass = {
  ...{ name: "download", rank: 2, workMs: 79, targetMs: 1_000 },
  ...{ deadlineMs: 6_000, share: 0.25 },
};
export const CLASSES = [READ, COMMAND, REPORT, DOWNLOAD];
/** The classes of a deployment with two ranks. */
export const TWO_RANK_CLASSES = [READ, COMMAND, REPORT].map((c) => ({
  ...c,
  share: c.share / 0.75,
}));

/** Two tenants send a third of all calls; the others send alike. */
const SMALL_TENANTS = 20;
const TENANTS = [
  ["large-a", 0.2] as const,
  ["large-b", 0.13] as const,
  ...Array.from(
    { length: SMALL_TENANTS },
    (_, index) => [`small-${index}`, 0.67 / SMALL_TENANTS] as const,
  ),
];
export const SURGING_TENANT = "small-0";

const NO_TENANTS = [["", 1] as const];

export const LOADS: readonly ReplayLoad[] = [
  { name: "usual" },
  { name: "burst x1.7", burst: 1.7 },
  { name: "third 12x slower", slowShare: 1 / 3 },
  { name: "half gone", lostShare: 0.5 },
  { name: "burst, repeat at once", burst: 1.7, repeatsAtOnce: true },
  { name: "tenant x8", burst: 1.2, surge: 8 },
  ...[
    { name: "two ranks: burst x1.7", burst: 1.7 },
    { name: "two ranks: third 12x slower", slowShare: 1 / 3 },
    { name: "two ranks: half gone", lostShare: 0.5 },
  ].map((load) => ({
    ...load,
    classes: TWO_RANK_CLASSES,
    tenants: NO_TENANTS,
  })),
];

function isFaulty(at: number): boolean {
  return at >= FAULT_FROM_MS && at < FAULT_TO_MS;
}

function pick<T>(
  random: Randomness,
  items: readonly T[],
  weight: (item: T) => number,
): T {
  const total = items.reduce((sum, item) => sum + weight(item), 0);
  let draw = random.next() * total;
  for (const item of items) {
    draw -= weight(item);
    if (draw < 0) return item;
  }
  return items[items.length - 1] as T;
}

/** The arrivals of a load, the same for every order of calls. */
export function arrivals(load: ReplayLoad, seed: number): ReplayArrival[] {
  const random = new SeededRandomness(seed);
  const { classes = CLASSES, tenants = TENANTS } = load;
  const meanWorkMs = classes.reduce((sum, c) => sum + c.share * c.workMs, 0);
  const speed = 1 - SLOW_TIME_SHARE + SLOW_TIME_SHARE / SLOW_TIME_FACTOR;
  const capacity = (SERVERS * SLOTS_PER_SERVER * speed) / meanWorkMs;
  const found: ReplayArrival[] = [];
  for (let at = 0; at < LOAD_END_MS; ) {
    const burst = isFaulty(at) ? (load.burst ?? 1) : 1;
    const surge = isFaulty(at) ? (load.surge ?? 1) : 1;
    const weight = ([name, share]: readonly [string, number]) =>
      name === SURGING_TENANT ? share * surge : share;
    const total = tenants.reduce((sum, tenant) => sum + weight(tenant), 0);
    const perMs = capacity * USUAL_LOAD * burst * total;
    at += -Math.log(1 - random.next()) / perMs;
    const chosen = pick(random, classes, ({ share }) => share);
    found.push({ at, class: chosen, tenant: pick(random, tenants, weight)[0] });
  }
  return found;
}

/** A simulated server whose speed changes as the deployment's servers do. */
export class ReplayServer {
  running = 0;
  readonly #load: ReplayLoad;
  readonly #index: number;
  readonly #changes: number[] = [];

  constructor(load: ReplayLoad, index: number, seed: number) {
    this.#load = load;
    this.#index = index;
    const random = new SeededRandomness(seed * 1_000 + index);
    const exponential = (meanMs: number) =>
      -Math.log(1 - random.next()) * meanMs;
    const usualMs = (SLOW_PERIOD_MS * (1 - SLOW_TIME_SHARE)) / SLOW_TIME_SHARE;
    for (let at = 0, slow = false; at < 3 * LOAD_END_MS; slow = !slow) {
      at += exponential(slow ? SLOW_PERIOD_MS : usualMs);
      this.#changes.push(at);
    }
  }

  isLost(at: number): boolean {
    return isFaulty(at) && this.#index < SERVERS * (this.#load.lostShare ?? 0);
  }

  /** When work that starts now is done. */
  finishTime(start: number, workMs: number): number {
    const isSlow = this.#index < SERVERS * (this.#load.slowShare ?? 0);
    const crowded = this.running > 0.8 * SLOTS_PER_SERVER;
    let left = workMs * (crowded ? CROWDED_FACTOR : 1);
    let at = start;
    let change = this.#changes.findIndex((time) => time > at);
    for (;;) {
      const period = change % 2 === 0 ? 1 : SLOW_TIME_FACTOR;
      const factor = period * (isSlow && isFaulty(at) ? FAULT_SLOWDOWN : 1);
      const bounds = [FAULT_FROM_MS, FAULT_TO_MS].filter((time) => time > at);
      const next = Math.min(this.#changes[change] ?? Infinity, ...bounds);
      if (at + left * factor <= next) return at + left * factor;
      left -= (next - at) / factor;
      at = next;
      if (next === this.#changes[change]) change += 1;
    }
  }
}
