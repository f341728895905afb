import type { CallResult } from "#routing";
import type { Policy, SimulatedCall, Simulation } from "./simulation.ts";
import { MEAN_SERVICE_MS } from "./sites.ts";

/** Weight of a new sample in the exponential moving average of latency. */
const LATENCY_SMOOTHING = 0.1;

/** Picks a random server, but none that failed the call before. */
export class RandomPolicy implements Policy {
  readonly #simulation: Simulation;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  submit(call: SimulatedCall): void {
    this.#simulation.assign(call, pickRandomServer(this.#simulation, call));
  }

  finish(): void {}
}

/**
 * Picks two random servers and takes the one with the lower cost: the entry's
 * own calls in flight there times their average latency.
 */
export class TwoChoicesPolicy implements Policy {
  readonly #simulation: Simulation;
  readonly #inFlight = new Map<string, number>();
  readonly #latency = new Map<string, number>();

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  submit(call: SimulatedCall): void {
    const a = pickRandomServer(this.#simulation, call);
    let b = pickRandomServer(this.#simulation, call);
    for (let n = 0; b === a && n < 4; n++)
      b = pickRandomServer(this.#simulation, call);
    const server = this.#cost(call, b) < this.#cost(call, a) ? b : a;
    this.#add(call.entry, server, 1);
    this.#simulation.assign(call, server);
  }

  finish(call: SimulatedCall, result: CallResult): void {
    this.#add(call.entry, call.server, -1);
    if (result.kind !== "answered") return;
    const key = `${call.entry}/${call.server}`;
    const old = this.#latency.get(key) ?? result.serviceMs;
    const change = LATENCY_SMOOTHING * (result.serviceMs - old);
    this.#latency.set(key, old + change);
  }

  #add(entry: number, server: number, count: number): void {
    const key = `${entry}/${server}`;
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + count);
  }

  #cost(call: SimulatedCall, server: number): number {
    const key = `${call.entry}/${server}`;
    const latency = this.#latency.get(key) ?? MEAN_SERVICE_MS;
    return ((this.#inFlight.get(key) ?? 0) + 1) * latency;
  }
}

/**
 * Knows all free slots and faults at once, and keeps one queue with urgent
 * calls first. It uses a slow server only when waiting in the queue costs more.
 */
export class OraclePolicy implements Policy {
  readonly #simulation: Simulation;
  readonly #queues: Record<"urgent" | "patient", SimulatedCall[]> = {
    urgent: [],
    patient: [],
  };
  /** Calls on the way to each server or running on it. */
  readonly #assigned: number[];

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
    this.#assigned = simulation.servers.map(() => 0);
  }

  submit(call: SimulatedCall): void {
    const { urgent, patient } = this.#queues;
    const limit = this.#simulation.options.site.service.queueLength;
    if (urgent.length + patient.length >= limit) {
      const evicted = call.call.priority === "urgent" && patient.pop();
      this.#simulation.reject(evicted || call);
      if (!evicted) return;
    }
    this.#queues[call.call.priority].push(call);
    this.#assignWaiting();
  }

  served(call: SimulatedCall): void {
    this.#assigned[call.server] = (this.#assigned[call.server] ?? 0) - 1;
    this.#assignWaiting();
  }

  finish(): void {}

  #assignWaiting(): void {
    const { urgent, patient } = this.#queues;
    for (;;) {
      const queue = urgent.length > 0 ? urgent : patient;
      const call = queue[0];
      if (!call) return;
      const server = this.#pickFreeServer(urgent.length + patient.length);
      if (server < 0) return;
      queue.shift();
      this.#assigned[server] = (this.#assigned[server] ?? 0) + 1;
      this.#simulation.assign(call, server);
    }
  }

  #pickFreeServer(waiting: number): number {
    const { options, servers } = this.#simulation;
    const slots = options.site.service.slotsPerServer;
    const drainMs = (waiting * MEAN_SERVICE_MS) / (slots * servers.length);
    let best = -1;
    for (let server = 0; server < servers.length; server++) {
      const used = this.#assigned[server] ?? 0;
      const fault = this.#simulation.isFaulty(server);
      if (used >= slots || fault === "failing") continue;
      if (fault === "slow" && drainMs < 4 * MEAN_SERVICE_MS) continue;
      if (best < 0 || used < (this.#assigned[best] ?? 0)) best = server;
    }
    return best;
  }
}

function pickRandomServer(simulation: Simulation, call: SimulatedCall): number {
  for (;;) {
    const server = simulation.random.below(simulation.servers.length);
    if (!call.exclude.has(`s${server}`)) return server;
  }
}
