import { type BackendServer, type Call, SeededRandomness } from "#model";
import type { CallResult } from "#routing";
import { Events } from "./events.ts";
import { FakeServer, type FakeServerOptions } from "./fake_server.ts";
import { Figures } from "./figures.ts";
import {
  dataCentreOf,
  ENTRIES,
  latencyMs,
  PROBE_MS,
  SERVICE_MS,
  type Site,
} from "./sites.ts";

/** Attempts per call; a failed or shed one is repeated on another server. */
const MAX_ATTEMPTS = 4;
const WARM_UP_MS = 2_000;
/** Age of a server that is warm, in milliseconds. */
const WARM_MS = 3_600_000;
const URGENT_SHARE = 0.4;
/** Slowdown of the straggler. */
const SLOW_FACTOR = 5;

export type FaultCase =
  | "none"
  | "straggler"
  | "fail-fast"
  | "straggler+fail-fast"
  | "shedding"
  | "cold"
  | "dispatcher-cut-off";

export interface RunOptions {
  readonly site: Site;
  readonly load: number;
  /**
   * What the load is a share of: all slots, or the capacity that the faults
   * leave (a straggler counts a fifth, a fail-fast server nothing).
   */
  readonly loadOf: "all" | "working";
  readonly fault: FaultCase;
  readonly seed: number;
  /** Measured time after the warm-up, in milliseconds. */
  readonly durationMs: number;
  /**
   * `one`: all calls are urgent, so that priorities cost nobody anything;
   * `urgent-only`: patient calls are left out, at the same rate of urgent ones.
   */
  readonly classes: "two" | "one" | "urgent-only";
}

/** A call in the simulation. */
export interface SimulatedCall {
  readonly call: Call;
  readonly entry: number;
  readonly demandMs: number;
  readonly measured: boolean;
  readonly exclude: Set<string>;
  attempts: number;
  /** Network time of the attempt that was answered, in milliseconds. */
  networkMs: number;
  server: number;
}

/** A way to select servers; assigns and rejects through the simulation. */
export interface Policy {
  submit(call: SimulatedCall): void;
  finish(call: SimulatedCall, result: CallResult): void;
  /** The server is done with a call; only the oracle may use it. */
  served?(call: SimulatedCall): void;
}

/** Callers, entries and fake servers of one service, without the choice. */
export class Simulation {
  readonly options: RunOptions;
  readonly events = new Events();
  readonly figures = new Figures();
  readonly random: SeededRandomness;
  readonly servers: FakeServer[] = [];
  readonly records: BackendServer[] = [];
  readonly #weights: number[] = [];
  #policy: Policy | undefined;
  #calls = 0;

  constructor(options: RunOptions) {
    this.options = options;
    this.random = new SeededRandomness(options.seed);
    const { site } = options;
    for (let index = 0; index < site.servers; index++) {
      const server = new FakeServer(this.events, this.#serverOptions(index));
      this.servers.push(server);
      const cold = index === 0 && options.fault === "cold";
      this.records.push(record(site, index, cold ? 0 : WARM_MS));
    }
    // Callers are unequal: the n-th entry gets 1/n of the first one's calls.
    let sum = 0;
    for (let entry = 0; entry < ENTRIES; entry++) sum += 1 / (entry + 1);
    let cumulated = 0;
    for (let entry = 0; entry < ENTRIES; entry++) {
      cumulated += 1 / (entry + 1) / sum;
      this.#weights.push(cumulated);
    }
  }

  get end(): number {
    return WARM_UP_MS + this.options.durationMs;
  }

  run(makePolicy: (simulation: Simulation) => Policy): Figures {
    this.#policy = makePolicy(this);
    this.#scheduleArrival();
    // The tail lets measured calls finish.
    this.events.runUntil(this.end + 10_000);
    const { site } = this.options;
    const slots = site.servers * site.service.slotsPerServer;
    this.figures.capacityMs = slots * (this.end + 10_000);
    for (const server of this.servers) this.figures.probeMs += server.probeMs;
    return this.figures;
  }

  /** Whether a server misbehaves at this time; only the oracle may ask. */
  isFaulty(server: number): "slow" | "failing" | undefined {
    if (this.events.now() < WARM_UP_MS) return undefined;
    const { fault } = this.options;
    if (server === 0 && fault.includes("straggler")) return "slow";
    const failing = fault.includes("fail-fast") || fault === "shedding";
    if (server === 1 && failing) return "failing";
    return undefined;
  }

  assign(call: SimulatedCall, server: number): void {
    const { site } = this.options;
    const oneWay = latencyMs(site, call.entry, server);
    const assignedAt = this.events.now();
    call.server = server;
    call.networkMs = 2 * oneWay;
    call.attempts += 1;
    this.events.after(oneWay, () => {
      this.servers[server]?.run(call.demandMs, ({ kind, inFlight }) => {
        this.#policy?.served?.(call);
        this.events.after(oneWay, () => {
          const serviceMs = this.events.now() - assignedAt;
          this.#finished(call, { kind, serviceMs, inFlight });
        });
      });
    });
  }

  reject(call: SimulatedCall): void {
    if (call.measured) this.figures.rejected += 1;
  }

  /** Sends a probe from an entry; `answered` gets the time that it took. */
  probe(
    from: { entry: number; server: number },
    answered: (ms: number, inFlight: number, failed: boolean) => void,
  ): void {
    const oneWay = latencyMs(this.options.site, from.entry, from.server);
    const sentAt = this.events.now();
    this.events.after(oneWay, () => {
      this.servers[from.server]?.probe(PROBE_MS, ({ kind, inFlight }) => {
        this.events.after(oneWay, () => {
          const ms = this.events.now() - sentAt;
          answered(ms, inFlight, kind !== "answered");
        });
      });
    });
  }

  #finished(call: SimulatedCall, result: CallResult): void {
    this.#policy?.finish(call, result);
    if (result.kind === "answered") {
      const latency = this.events.now() - call.call.arrival;
      const waiting = latency - call.demandMs - call.networkMs;
      if (!call.measured) return;
      this.figures.record(call.call.priority, { latency, waiting });
      return;
    }
    if (call.attempts >= MAX_ATTEMPTS) {
      if (call.measured) this.figures.failed += 1;
      return;
    }
    call.exclude.add(this.records[call.server]?.id ?? "");
    this.#policy?.submit(call);
  }

  #scheduleArrival(): void {
    const { site, load, loadOf, fault } = this.options;
    let { servers } = site;
    if (loadOf === "working") {
      if (fault.includes("straggler")) servers -= 1 - 1 / SLOW_FACTOR;
      if (fault.includes("fail-fast")) servers -= 1;
    }
    const slots = servers * site.service.slotsPerServer;
    const meanMs = SERVICE_MS / (slots * load);
    this.events.after(this.#exponential(meanMs), () => {
      if (this.events.now() >= this.end) return;
      this.#arrive();
      this.#scheduleArrival();
    });
  }

  #arrive(): void {
    const now = this.events.now();
    const { classes } = this.options;
    const drawn = this.random.next() < URGENT_SHARE;
    const urgent = drawn || classes === "one";
    const draw = this.random.next();
    const entry = this.#weights.findIndex((bound) => draw < bound);
    const demandMs = this.#exponential(SERVICE_MS);
    const measured = now >= WARM_UP_MS;
    const call: Call = {
      id: `c${this.#calls++}`,
      service: this.options.site.service.name,
      class: urgent ? "u" : "p",
      priority: urgent ? "urgent" : "patient",
      repeatable: true,
      arrival: now,
      deadline: now + (urgent ? 5_000 : 3_000),
      depth: 0,
      retries: MAX_ATTEMPTS,
    };
    if (classes === "urgent-only" && !urgent) return;
    if (measured) this.figures.offered += 1;
    this.#policy?.submit({
      call,
      entry: Math.max(0, entry),
      demandMs,
      measured,
      exclude: new Set(),
      attempts: 0,
      networkMs: 0,
      server: -1,
    });
  }

  #exponential(mean: number): number {
    return -Math.log(1 - this.random.next()) * mean;
  }

  #serverOptions(index: number): FakeServerOptions {
    const { site, fault } = this.options;
    const phase = { from: WARM_UP_MS, to: Number.POSITIVE_INFINITY };
    const slow = index === 0 && fault.includes("straggler");
    const failing = index === 1 && fault.includes("fail-fast");
    return {
      slots: site.service.slotsPerServer,
      queue: Math.ceil(site.service.queueLength / site.servers),
      slow: slow ? [{ ...phase, factor: SLOW_FACTOR }] : [],
      failFast: failing ? [phase] : [],
      shedding: index === 1 && fault === "shedding" ? [phase] : [],
      startedAt: index === 0 && fault === "cold" ? 0 : undefined,
      coldStartMs: site.service.coldStartMs,
    };
  }
}

function record(
  site: Site,
  index: number,
  startedMsAgo: number,
): BackendServer {
  return {
    id: `s${index}`,
    service: site.service.name,
    address: { host: "127.0.0.1", port: 1 + index },
    dataCentre: dataCentreOf(site, index),
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: site.service.slotsPerServer,
    connections: site.service.connectionsPerServer,
    inFlight: 0,
    startedMsAgo,
  };
}
