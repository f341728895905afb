import type { CallResult } from "#routing";
import type { Policy, SimulatedCall, Simulation } from "./simulation.ts";
import { SERVICE_MS } from "./sites.ts";

const LATENCY_WEIGHT = 0.1;

/** Any server but those that failed the call before. */
export class RandomPolicy implements Policy {
  readonly #simulation: Simulation;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  submit(call: SimulatedCall): void {
    this.#simulation.assign(call, draw(this.#simulation, call));
  }

  finish(): void {}
}

/** Two choices on an entry's own calls in flight times average latency. */
export class TwoChoicesPolicy implements Policy {
  readonly #simulation: Simulation;
  readonly #inFlight = new Map<string, number>();
  readonly #latency = new Map<string, number>();

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  submit(call: SimulatedCall): void {
    const a = draw(this.#simulation, call);
    let b = draw(this.#simulation, call);
    for (let n = 0; b === a && n < 4; n++) b = draw(this.#simulation, call);
    const server = this.#cost(call, b) < this.#cost(call, a) ? b : a;
    this.#add(call.entry, server, 1);
    this.#simulation.assign(call, server);
  }

  finish(call: SimulatedCall, result: CallResult): void {
    this.#add(call.entry, call.server, -1);
    if (result.kind !== "answered") return;
    const key = `${call.entry}/${call.server}`;
    const old = this.#latency.get(key) ?? result.serviceMs;
    const change = LATENCY_WEIGHT * (result.serviceMs - old);
    this.#latency.set(key, old + change);
  }

  #add(entry: number, server: number, count: number): void {
    const key = `${entry}/${server}`;
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + count);
  }

  #cost(call: SimulatedCall, server: number): number {
    const key = `${call.entry}/${server}`;
    const latency = this.#latency.get(key) ?? SERVICE_MS;
    return ((this.#inFlight.get(key) ?? 0) + 1) * latency;
  }
}

/**
 * Knows every true free slot and every fault, without any delay: one queue,
 * urgent first. A slow server is used only once the queue costs more.
 */
export class OraclePolicy implements Policy {
  readonly #simulation: Simulation;
  readonly #queues: Record<"urgent" | "patient", SimulatedCall[]> = {
    urgent: [],
    patient: [],
  };
  /** Calls under way to or on each server. */
  readonly #assigned: number[];

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
    this.#assigned = simulation.servers.map(() => 0);
  }

  submit(call: SimulatedCall): void {
    const { urgent, patient } = this.#queues;
    const limit = this.#simulation.options.site.service.queueLength;
    if (urgent.length + patient.length >= limit) {
      const victim = call.call.priority === "urgent" && patient.pop();
      this.#simulation.reject(victim || call);
      if (!victim) return;
    }
    this.#queues[call.call.priority].push(call);
    this.#drain();
  }

  served(call: SimulatedCall): void {
    this.#assigned[call.server] = (this.#assigned[call.server] ?? 0) - 1;
    this.#drain();
  }

  finish(): void {}

  #drain(): void {
    const { urgent, patient } = this.#queues;
    for (;;) {
      const queue = urgent.length > 0 ? urgent : patient;
      const call = queue[0];
      if (!call) return;
      const server = this.#free(urgent.length + patient.length);
      if (server < 0) return;
      queue.shift();
      this.#assigned[server] = (this.#assigned[server] ?? 0) + 1;
      this.#simulation.assign(call, server);
    }
  }

  #free(waiting: number): number {
    const { options, servers } = this.#simulation;
    const slots = options.site.service.slotsPerServer;
    const drainMs = (waiting * SERVICE_MS) / (slots * servers.length);
    let best = -1;
    for (let server = 0; server < servers.length; server++) {
      const used = this.#assigned[server] ?? 0;
      const fault = this.#simulation.isFaulty(server);
      if (used >= slots || fault === "failing") continue;
      if (fault === "slow" && drainMs < 4 * SERVICE_MS) continue;
      if (best < 0 || used < (this.#assigned[best] ?? 0)) best = server;
    }
    return best;
  }
}

function draw(simulation: Simulation, call: SimulatedCall): number {
  for (;;) {
    const server = simulation.random.below(simulation.servers.length);
    if (!call.exclude.has(`s${server}`)) return server;
  }
}
