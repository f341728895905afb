import { type BackendServer, type Call, SeededRandomness } from "#model";
import type { CallResult } from "#routing";
import { EventQueue } from "./events.ts";
import { FakeServer, type FakeServerOptions } from "./fake_server.ts";
import { Figures } from "./figures.ts";
import {
  dataCentreOf,
  ENTRY_COUNT,
  latencyMs,
  MEAN_SERVICE_MS,
  PROBE_SLOT_MS,
  type Site,
} from "./sites.ts";

/** Attempts per call; a failed or shed call is repeated on another server. */
const MAX_ATTEMPTS = 4;
const WARM_UP_MS = 2_000;
/** Age of a warm server. */
const WARM_SERVER_AGE_MS = 3_600_000;
const URGENT_CALL_SHARE = 0.4;
/** Factor of the straggler's service times. */
const STRAGGLER_SLOWDOWN = 5;

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
   * The capacity that `load` is a share of: all slots, or those that work
   * during the faults (a straggler counts for a fifth, a fail-fast server for
   * nothing).
   */
  readonly loadOf: "all" | "working";
  readonly fault: FaultCase;
  readonly seed: number;
  /** Measured time after the warm-up, in milliseconds. */
  readonly durationMs: number;
  /**
   * `one`: all calls are urgent, so that priorities delay no call;
   * `urgent-only`: patient calls are left out and the rate of urgent ones
   * stays.
   */
  readonly classes: "two" | "one" | "urgent-only";
}

/** A call in the simulation. */
export interface SimulatedCall {
  readonly call: Call;
  readonly entry: number;
  /** Service time on a server without slowdown, in milliseconds. */
  readonly demandMs: number;
  readonly measured: boolean;
  readonly exclude: Set<string>;
  attempts: number;
  /** Network time of the attempt that was answered, in milliseconds. */
  networkMs: number;
  server: number;
}

/**
 * Selects servers. A policy calls `assign` or `reject` of the simulation for
 * each call that is submitted.
 */
export interface Policy {
  submit(call: SimulatedCall): void;
  finish(call: SimulatedCall, result: CallResult): void;
  /**
   * A server has finished a call. Only the oracle may know before the answer.
   */
  served?(call: SimulatedCall): void;
}

/**
 * Simulates callers, the network and the servers of one service. A policy
 * selects the servers.
 */
export class Simulation {
  readonly options: RunOptions;
  readonly events = new EventQueue();
  readonly figures = new Figures();
  readonly random: SeededRandomness;
  readonly servers: FakeServer[] = [];
  readonly records: BackendServer[] = [];
  readonly #cumulativeShares: number[] = [];
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
      this.records.push(
        makeServerRecord(site, index, cold ? 0 : WARM_SERVER_AGE_MS),
      );
    }
    // Load is uneven: the n-th entry gets 1/n of the first entry's calls.
    let sum = 0;
    for (let entry = 0; entry < ENTRY_COUNT; entry++) sum += 1 / (entry + 1);
    let cumulativeShare = 0;
    for (let entry = 0; entry < ENTRY_COUNT; entry++) {
      cumulativeShare += 1 / (entry + 1) / sum;
      this.#cumulativeShares.push(cumulativeShare);
    }
  }

  get end(): number {
    return WARM_UP_MS + this.options.durationMs;
  }

  run(makePolicy: (simulation: Simulation) => Policy): Figures {
    this.#policy = makePolicy(this);
    this.#scheduleArrival();
    // The 10 s after the last arrival let the measured calls finish.
    this.events.runUntil(this.end + 10_000);
    const { site } = this.options;
    const slots = site.servers * site.service.slotsPerServer;
    this.figures.capacityMs = slots * (this.end + 10_000);
    for (const server of this.servers) this.figures.probeMs += server.probeMs;
    return this.figures;
  }

  /** The fault of a server at present; only the oracle may call this. */
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
          this.#handleResult(call, { kind, serviceMs, inFlight });
        });
      });
    });
  }

  reject(call: SimulatedCall): void {
    if (call.measured) this.figures.rejected += 1;
  }

  /** Sends a probe from an entry; `answered` gets its duration and result. */
  probe(
    from: { entry: number; server: number },
    answered: (ms: number, inFlight: number, failed: boolean) => void,
  ): void {
    const oneWay = latencyMs(this.options.site, from.entry, from.server);
    const sentAt = this.events.now();
    this.events.after(oneWay, () => {
      this.servers[from.server]?.probe(PROBE_SLOT_MS, ({ kind, inFlight }) => {
        this.events.after(oneWay, () => {
          const ms = this.events.now() - sentAt;
          answered(ms, inFlight, kind !== "answered");
        });
      });
    });
  }

  #handleResult(call: SimulatedCall, result: CallResult): void {
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
      if (fault.includes("straggler")) servers -= 1 - 1 / STRAGGLER_SLOWDOWN;
      if (fault.includes("fail-fast")) servers -= 1;
    }
    const slots = servers * site.service.slotsPerServer;
    const meanMs = MEAN_SERVICE_MS / (slots * load);
    this.events.after(this.#exponential(meanMs), () => {
      if (this.events.now() >= this.end) return;
      this.#arrive();
      this.#scheduleArrival();
    });
  }

  #arrive(): void {
    const now = this.events.now();
    const { classes } = this.options;
    const isUrgentDraw = this.random.next() < URGENT_CALL_SHARE;
    const urgent = isUrgentDraw || classes === "one";
    const entryDraw = this.random.next();
    const entry = this.#cumulativeShares.findIndex(
      (bound) => entryDraw < bound,
    );
    const demandMs = this.#exponential(MEAN_SERVICE_MS);
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
      queueLimit: Math.ceil(site.service.queueLength / site.servers),
      slow: slow ? [{ ...phase, factor: STRAGGLER_SLOWDOWN }] : [],
      failFast: failing ? [phase] : [],
      shedding: index === 1 && fault === "shedding" ? [phase] : [],
      startedAt: index === 0 && fault === "cold" ? 0 : undefined,
      coldStartMs: site.service.coldStartMs,
    };
  }
}

function makeServerRecord(
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
