import { build } from "hdr-histogram-js";
import {
  type BackendServer,
  type Call,
  type Entry,
  SeededRandomness,
  type Service,
} from "#model";
import { Router, type RoutingEffect, type SendEffect } from "#routing";
import { ALLOC, ENTRY_COUNT } from "./sites.ts";

const SERVICE_COUNT = 860;
const SERVERS_PER_SERVICE = 10;
const SLOTS_PER_SERVER = 6;
const WARM_UP_CALLS = 50_000;
const MEASURED_CALLS = 200_000;
/** Calls kept in flight at the measured entry. */
const CALLS_IN_FLIGHT = 2_000;
const CALLS_PER_MS = 30;
/** Interval at which messages between entries are delivered. */
const DELIVERY_INTERVAL_MS = 1;

/**
 * Measures the wall-clock time that a router takes to submit and finish a call
 * while it knows all services: `dispatched` with the routers of all entries,
 * `local` with that router alone, whose messages are dropped.
 */
export function measureDecisionTime(): void {
  console.log(
    `\ndecision time, ${SERVICE_COUNT} services, ` +
      `${SERVICE_COUNT * SERVERS_PER_SERVICE} servers, ${ENTRY_COUNT} entries`,
  );
  for (const mode of ["dispatched", "local"] as const) {
    const latencies = build({ numberOfSignificantValueDigits: 3 });
    const timer = new DecisionTimer(mode === "local");
    for (let call = 0; call < WARM_UP_CALLS; call++) timer.call();
    for (let call = 0; call < MEASURED_CALLS; call++)
      latencies.recordValue(timer.call());
    const microseconds = [50, 99, 99.9].map((percentile) =>
      (latencies.getValueAtPercentile(percentile) / 1_000).toFixed(1),
    );
    const summary = `submit+finish p50/p99/p99.9 us: ${microseconds.join("/")}`;
    console.log(`${mode.padEnd(11)} ${summary}; goal at most 10 us at p99`);
  }
}

/**
 * Times calls at the router of entry e0. The routers of the other entries run
 * too, untimed, unless `localOnly` is set.
 */
class DecisionTimer {
  readonly #routers = new Map<string, Router>();
  readonly #random = new SeededRandomness(1);
  readonly #measured: Router;
  readonly #localOnly: boolean;
  readonly #openCalls: { id: string; submitNs: number }[] = [];
  readonly #assigned = new Set<string>();
  #outbox: { from: string; message: SendEffect }[] = [];
  #calls = 0;
  #now = 0;
  #nextTickAt = 0;
  #nextDeliveryAt = 0;

  constructor(localOnly: boolean) {
    this.#localOnly = localOnly;
    const entries = makeEntries();
    const services = makeServices();
    for (const { id, dataCentre } of entries) {
      const random = new SeededRandomness(this.#routers.size + 1);
      const router = new Router({ self: id, dataCentre, random });
      this.#routers.set(id, router);
      const view = { epoch: 1, entries, began: 0 };
      if (localOnly && id !== "e0") continue;
      router.configure(services, view, 0);
      for (const service of services) {
        router.setServers(service.name, makeServers(service), 0);
      }
    }
    this.#measured = this.#routers.get("e0") as Router;
  }

  /**
   * Submits a call and finishes the oldest one. Returns the submit and finish
   * time of the oldest call, in nanoseconds.
   */
  call(): number {
    this.#now += 1 / CALLS_PER_MS;
    if (this.#now >= this.#nextTickAt) this.#tick();
    // Delivers in batches: real entries run elsewhere, so their work must not
    // evict this entry's CPU cache between single calls.
    if (this.#now >= this.#nextDeliveryAt) this.#deliver();
    const name = `service-${this.#random.below(SERVICE_COUNT)}`;
    const call = this.#makeCall(name);
    const now = this.#now;
    const start = process.hrtime.bigint();
    const effects = this.#measured.submit(call, { now });
    const submitNs = Number(process.hrtime.bigint() - start);
    this.#applyEffects("e0", effects);
    this.#openCalls.push({ id: call.id, submitNs });
    if (this.#openCalls.length < CALLS_IN_FLIGHT) return submitNs;
    const oldest = this.#openCalls.shift() as { id: string; submitNs: number };
    return oldest.submitNs + this.#finish(oldest.id);
  }

  #finish(id: string): number {
    if (!this.#assigned.delete(id)) {
      this.#measured.cancel(id, this.#now);
      return 0;
    }
    const serviceMs = 15 + this.#random.next() * 10;
    const result = { kind: "answered", serviceMs, inFlight: 1 } as const;
    const start = process.hrtime.bigint();
    const effects = this.#measured.finish(id, result, this.#now);
    const ns = Number(process.hrtime.bigint() - start);
    this.#applyEffects("e0", effects);
    return ns;
  }

  #tick(): void {
    this.#nextTickAt = this.#now + 5;
    for (const [id, router] of this.#routers) {
      this.#applyEffects(id, router.tick(this.#now));
    }
    this.#deliver();
  }

  #applyEffects(from: string, effects: readonly RoutingEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "assign") this.#assigned.add(effect.callId);
      if (effect.type !== "send" || this.#localOnly) continue;
      this.#outbox.push({ from, message: effect as SendEffect });
    }
  }

  #deliver(): void {
    this.#nextDeliveryAt = this.#now + DELIVERY_INTERVAL_MS;
    while (this.#outbox.length > 0) {
      const messages = this.#outbox;
      this.#outbox = [];
      for (const { from, message } of messages) {
        const router = this.#routers.get(message.to);
        const effects = router?.receive(from, message, this.#now) ?? [];
        this.#applyEffects(message.to, effects);
      }
    }
  }

  #makeCall(service: string): Call {
    return {
      id: `c${this.#calls++}`,
      service,
      class: "u",
      priority: "urgent",
      repeatable: true,
      arrival: this.#now,
      deadline: this.#now + 5_000,
      depth: 0,
      retries: 0,
    };
  }
}

function makeEntries(): Entry[] {
  const address = { host: "127.0.0.1", port: 1 };
  return Array.from({ length: ENTRY_COUNT }, (_, index) => ({
    id: `e${index}`,
    incarnation: 1,
    dataCentre: ALLOC.dataCentres[index % 4] ?? "",
    http: address,
    peer: address,
    state: "ready" as const,
  }));
}

function makeServices(): Service[] {
  return Array.from({ length: SERVICE_COUNT }, (_, index) => ({
    ...ALLOC.service,
    name: `service-${index}`,
  }));
}

function makeServers(service: Service): BackendServer[] {
  return Array.from({ length: SERVERS_PER_SERVICE }, (_, index) => ({
    id: `s${index}`,
    service: service.name,
    address: { host: "127.0.0.1", port: 1 },
    dataCentre: ALLOC.dataCentres[index % 4] ?? "",
    incarnation: 1,
    sequence: 1,
    state: "ready" as const,
    slots: SLOTS_PER_SERVER,
    connections: 300,
    inFlight: 0,
    startedMsAgo: 3_600_000,
  }));
}
