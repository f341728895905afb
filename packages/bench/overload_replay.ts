import { SeededRandomness } from "#model";
import { EventQueue } from "./events.ts";
import {
  arrivals,
  FAULT_FROM_MS,
  FAULT_TO_MS,
  LOAD_END_MS,
  type ReplayClass,
  type ReplayLoad,
  ReplayServer,
  SERVERS,
  SLOTS_PER_SERVER,
} from "./overload_loads.ts";

/** A waiting call in a replay; a repetition is a new one. */
export interface ReplayCall {
  readonly id: string;
  readonly class: ReplayClass;
  readonly tenant: string;
  /** Arrival of this attempt. */
  readonly since: number;
  /** When the caller gives up. */
  readonly deadline: number;
  /** End of the objective, counted from the first attempt. */
  readonly target: number;
  /** The same as an entry sees it, which takes each attempt for a new call. */
  readonly seenTarget: number;
  readonly attempt: number;
}

/** What an order of calls sees of the servers. */
export interface ReplayRoom {
  /** Usable slots. */
  readonly slots: number;
  readonly free: number;
  /** Mean time of recent calls on the servers, in milliseconds. */
  readonly meanMs: number;
  /** Mean ratio of the time on the servers to the work. */
  readonly slowdown: number;
  /** Typical time of a class, in milliseconds. */
  typicalMs(name: string): number;
}

/** Refuses a call with a time after which it may come back. */
export type Refuse = (call: ReplayCall, retryAfterMs: number) => void;

/** Which waiting call starts, waits or is refused. */
export interface CallOrder {
  offer(call: ReplayCall, now: number): void;
  take(now: number): ReplayCall | undefined;
  tick(now: number): void;
}

export type MakeOrder = (room: ReplayRoom, refuse: Refuse) => CallOrder;

/** Outcomes of the calls of one group. */
export interface Outcomes {
  calls: number;
  onTime: number;
  late: number;
  refused: number;
  value: number;
}

export interface ReplayFigures {
  readonly byRank: Map<number, Outcomes>;
  readonly byTenant: Map<string, Outcomes>;
  readonly all: Outcomes;
  /** How long refused attempts waited, in milliseconds, in ascending order. */
  readonly refusedWaitsMs: number[];
}

const TICK_MS = 10;
/** Share of the objective up to which a refusal costs nothing. */
const FREE_HOLD_SHARE = 1 / 8;
const LATE_VALUE = 0.1;
/** Cost of a refusal of a call that was refused before. */
const SECOND_REFUSAL_COST = 0.25;
/** Callers honour Retry-After up to this share of their remaining time. */
const HONOURED_SHARE = 1 / 3;
/** Attempts of callers that repeat at once, and their pause. */
const MAX_REPEATS = 6;
const REPEAT_PAUSE_MS = 20;
/** Calls that arrive this long after the fault still count. */
const COUNTED_AFTER_MS = 2_000;
const MEAN_WEIGHT = 0.02;

/** Replays a load against an order of calls, with the same seed for each. */
export class Replay {
  readonly #events = new EventQueue();
  readonly #load: ReplayLoad;
  readonly #servers: ReplayServer[];
  readonly #random: SeededRandomness;
  readonly #order: CallOrder;
  readonly #typical: ReadonlyMap<string, number>;
  readonly #figures: ReplayFigures = {
    byRank: new Map(),
    byTenant: new Map(),
    all: noOutcomes(),
    refusedWaitsMs: [],
  };
  #meanMs = 200;
  #slowdown = 1.5;
  #ids = 0;

  constructor(load: ReplayLoad, seed: number, makeOrder: MakeOrder) {
    this.#load = load;
    this.#servers = Array.from(
      { length: SERVERS },
      (_, index) => new ReplayServer(load, index, seed),
    );
    this.#random = new SeededRandomness(seed + 7);
    const classes = arrivals(load, seed).map((arrival) => arrival.class);
    this.#typical = new Map(classes.map((c) => [c.name, c.workMs]));
    this.#order = makeOrder(this.#room(), (call, retryAfterMs) =>
      this.#refused(call, retryAfterMs),
    );
    for (const arrival of arrivals(load, seed)) {
      this.#events.after(arrival.at, () => {
        const { at, tenant } = arrival;
        const { targetMs, deadlineMs } = arrival.class;
        this.#offer({
          ...{ id: `${this.#ids++}`, class: arrival.class, tenant, since: at },
          ...{ deadline: at + deadlineMs, target: at + targetMs, attempt: 0 },
          seenTarget: at + targetMs,
        });
      });
    }
  }

  run(): ReplayFigures {
    this.#events.every(TICK_MS, () => {
      this.#order.tick(this.#events.now());
      this.#start();
    });
    this.#events.runUntil(LOAD_END_MS + 10_000);
    this.#figures.refusedWaitsMs.sort((a, b) => a - b);
    return this.#figures;
  }

  #room(): ReplayRoom {
    const usable = () =>
      this.#servers.filter((server) => !server.isLost(this.#events.now()));
    const self = this;
    return {
      get slots() {
        return usable().length * SLOTS_PER_SERVER;
      },
      get free() {
        return usable().reduce(
          (sum, { running }) => sum + SLOTS_PER_SERVER - running,
          0,
        );
      },
      get meanMs() {
        return self.#meanMs;
      },
      get slowdown() {
        return self.#slowdown;
      },
      typicalMs: (name) => this.#typical.get(name) ?? 0,
    };
  }

  #offer(call: ReplayCall): void {
    this.#order.offer(call, this.#events.now());
    this.#start();
  }

  #start(): void {
    const now = this.#events.now();
    for (;;) {
      const free = this.#servers.filter(
        (server) => server.running < SLOTS_PER_SERVER && !server.isLost(now),
      );
      if (free.length === 0) return;
      const call = this.#order.take(now);
      if (!call) return;
      // The least used of two random servers.
      const a = free[this.#random.below(free.length)] as ReplayServer;
      const b = free[this.#random.below(free.length)] as ReplayServer;
      this.#run(call, a.running <= b.running ? a : b);
    }
  }

  #run(call: ReplayCall, server: ReplayServer): void {
    const now = this.#events.now();
    server.running += 1;
    const end = server.finishTime(now, call.class.workMs);
    const serviceMs = end - now;
    this.#events.after(serviceMs, () => {
      server.running -= 1;
      this.#meanMs += MEAN_WEIGHT * (serviceMs - this.#meanMs);
      const slowdown = serviceMs / call.class.workMs;
      this.#slowdown += MEAN_WEIGHT * (slowdown - this.#slowdown);
      this.#answered(call, end);
      this.#start();
    });
  }

  #answered(call: ReplayCall, end: number): void {
    const outcome =
      end <= call.target ? "onTime" : end <= call.deadline ? "late" : "refused";
    this.#count(call, outcome, end - call.since);
  }

  #refused(call: ReplayCall, retryAfterMs: number): void {
    const now = this.#events.now();
    if (this.#counts(call)) this.#figures.refusedWaitsMs.push(now - call.since);
    const { repeatsAtOnce } = this.#load;
    const honoured = (call.deadline - now) * HONOURED_SHARE;
    const pauseMs = repeatsAtOnce
      ? REPEAT_PAUSE_MS
      : Math.min(retryAfterMs, honoured);
    const repeats = repeatsAtOnce ? MAX_REPEATS : 1;
    if (call.attempt >= repeats || now + pauseMs >= call.deadline) {
      this.#count(call, "refused", now - call.since);
      return;
    }
    this.#events.after(Math.max(1, pauseMs), () => {
      const attempt = call.attempt + 1;
      const since = this.#events.now();
      const seenTarget = since + call.class.targetMs;
      const id = `${call.id}r`;
      this.#offer({ ...call, id, since, attempt, seenTarget });
    });
  }

  #counts(call: ReplayCall): boolean {
    const arrival = call.target - call.class.targetMs;
    return arrival >= FAULT_FROM_MS && arrival < FAULT_TO_MS + COUNTED_AFTER_MS;
  }

  #count(
    call: ReplayCall,
    outcome: "onTime" | "late" | "refused",
    heldMs: number,
  ): void {
    if (!this.#counts(call)) return;
    const { byRank, byTenant, all } = this.#figures;
    const value = callerValue(call, outcome, heldMs);
    for (const outcomes of [
      all,
      outcomesOf(byRank, call.class.rank),
      outcomesOf(byTenant, call.tenant),
    ]) {
      outcomes.calls += 1;
      outcomes[outcome] += 1;
      outcomes.value += value;
    }
  }
}

/** The value of a call's end to its caller. */
function callerValue(
  call: ReplayCall,
  outcome: "onTime" | "late" | "refused",
  heldMs: number,
): number {
  if (outcome === "onTime") return 1;
  if (outcome === "late") return LATE_VALUE;
  const { targetMs } = call.class;
  const heldShare = Math.min(1, heldMs / targetMs);
  const held =
    heldShare <= FREE_HOLD_SHARE
      ? 0
      : (heldShare - FREE_HOLD_SHARE) / (1 - FREE_HOLD_SHARE);
  return -held - (call.attempt > 0 ? SECOND_REFUSAL_COST : 0);
}

function noOutcomes(): Outcomes {
  return { calls: 0, onTime: 0, late: 0, refused: 0, value: 0 };
}

function outcomesOf<K>(groups: Map<K, Outcomes>, key: K): Outcomes {
  const known = groups.get(key);
  if (known) return known;
  const created = noOutcomes();
  groups.set(key, created);
  return created;
}
