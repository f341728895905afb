import {
  type Entry,
  rendezvousOrder,
  SeededRandomness,
  type View,
} from "#model";
import {
  type CallResult,
  Router,
  type RoutingEffect,
  type SendEffect,
} from "#routing";
import type { Policy, SimulatedCall, Simulation } from "./simulation.ts";
import { dataCentreOf, ENTRY_COUNT, latencyMs, type Site } from "./sites.ts";

const TICK_INTERVAL_MS = 5;
/** Start and duration of the fault `dispatcher-cut-off`. */
const DISPATCHER_CUT_AT_MS = 4_000;
const DISPATCHER_CUT_MS = 1_000;

/** Runs the routers of all entries, with network delays between them. */
export class RouterPolicy implements Policy {
  readonly #simulation: Simulation;
  readonly #routers: Router[] = [];
  readonly #calls = new Map<string, SimulatedCall>();
  readonly #dispatcher: number;
  #submitting: string | undefined;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
    const { site, seed } = simulation.options;
    const now = simulation.events.now();
    const view = makeView(site);
    const [first] = rendezvousOrder(site.service.name, view.entries);
    this.#dispatcher = Number(first?.id.slice(1));
    for (const [index, entry] of view.entries.entries()) {
      const random = new SeededRandomness(seed * 1_000 + index);
      const { id: self, dataCentre } = entry;
      this.#routers.push(new Router({ self, dataCentre, random }));
    }
    for (const [index, router] of this.#routers.entries()) {
      this.#apply(index, router.configure([site.service], view, now));
      const servers = simulation.records;
      this.#apply(index, router.setServers(site.service.name, servers, now));
      // The ticks of the entries are spread over the interval.
      simulation.events.after((TICK_INTERVAL_MS * index) / ENTRY_COUNT, () =>
        simulation.events.every(TICK_INTERVAL_MS, () => {
          this.#apply(index, router.tick(simulation.events.now()));
        }),
      );
    }
  }

  submit(call: SimulatedCall): void {
    const { id } = call.call;
    this.#calls.set(id, call);
    this.#submitting = id;
    const now = this.#simulation.events.now();
    const exclude = new Set(call.exclude);
    const router = this.#routers[call.entry];
    this.#apply(call.entry, router?.submit(call.call, { exclude, now }) ?? []);
    const isDeferred = this.#submitting === id;
    this.#submitting = undefined;
    if (isDeferred && call.measured && call.attempts === 0) {
      this.#simulation.figures.deferred += 1;
    }
  }

  finish(call: SimulatedCall, result: CallResult): void {
    const router = this.#routers[call.entry];
    const now = this.#simulation.events.now();
    this.#apply(call.entry, router?.finish(call.call.id, result, now) ?? []);
  }

  #apply(entry: number, effects: RoutingEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "send") this.#send(entry, effect as SendEffect);
      else if (effect.type === "probe") {
        this.#probe(entry, Number(effect.server.id.slice(1)));
      } else if (effect.type === "check") this.#check(entry, effect);
      else if (effect.type === "assign" || effect.type === "reject") {
        this.#assignOrReject(effect);
      }
    }
  }

  #assignOrReject(
    effect: Extract<RoutingEffect, { type: "assign" | "reject" }>,
  ): void {
    const call = this.#calls.get(effect.callId);
    if (!call) throw new Error(`unexpected effect for ${effect.callId}`);
    if (this.#submitting === effect.callId) this.#submitting = undefined;
    this.#calls.delete(effect.callId);
    if (effect.type === "reject") this.#simulation.reject(call);
    else this.#simulation.assign(call, Number(effect.server.id.slice(1)));
  }

  #send(from: number, message: SendEffect): void {
    const to = Number(message.to.slice(1));
    const { events, figures, options } = this.#simulation;
    figures.messages += 1;
    if (this.#isCut(from, to)) return;
    events.after(latencyMs(options.site, from, to), () => {
      const router = this.#routers[to];
      const now = events.now();
      this.#apply(to, router?.receive(`e${from}`, message, now) ?? []);
    });
  }

  /** Whether a message between two entries is dropped silently. */
  #isCut(from: number, to: number): boolean {
    const { events, options } = this.#simulation;
    if (options.fault !== "dispatcher-cut-off") return false;
    if (from !== this.#dispatcher && to !== this.#dispatcher) return false;
    const msSinceCut = events.now() - DISPATCHER_CUT_AT_MS;
    return msSinceCut >= 0 && msSinceCut < DISPATCHER_CUT_MS;
  }

  #check(
    entry: number,
    { callId, server }: Extract<RoutingEffect, { type: "check" }>,
  ): void {
    const index = Number(server.id.slice(1));
    this.#simulation.probe({ entry, server: index }, (ms, inFlight, failed) => {
      const result = failed
        ? ({ kind: "failed" } as const)
        : ({
            kind: "answered",
            healthy: true,
            leaving: false,
            slowdown: undefined,
            inFlight,
            ms,
          } as const);
      const now = this.#simulation.events.now();
      const router = this.#routers[entry];
      this.#apply(entry, router?.handleCheckResult(callId, result, now) ?? []);
    });
  }

  #probe(entry: number, server: number): void {
    const record = this.#simulation.records[server];
    if (!record) return;
    this.#simulation.probe({ entry, server }, (ms, inFlight, failed) => {
      const result = failed
        ? ({ kind: "failed" } as const)
        : ({ kind: "answered", inFlight, ms } as const);
      const now = this.#simulation.events.now();
      const router = this.#routers[entry];
      this.#apply(entry, router?.handleProbeResult(record, result, now) ?? []);
    });
  }
}

function makeView(site: Site): View {
  const entries: Entry[] = [];
  for (let index = 0; index < ENTRY_COUNT; index++) {
    const address = { host: "127.0.0.1", port: 1 + index };
    entries.push({
      id: `e${index}`,
      incarnation: 1,
      dataCentre: dataCentreOf(site, index),
      http: address,
      peer: address,
      state: "ready",
    });
  }
  return { epoch: 1, entries, began: 0 };
}
