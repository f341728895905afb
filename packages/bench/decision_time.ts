import { build } from "hdr-histogram-js";
import {
  type BackendServer,
  type Call,
  type Entry,
  SeededRandomness,
  type Service,
} from "#model";
import { Router, type RoutingEffect, type SendEffect } from "#routing";
import { ALLOC, ENTRIES } from "./sites.ts";

const SERVICES = 860;
const SERVERS_PER_SERVICE = 10;
const SLOTS = 6;
const WARM_UP_CALLS = 50_000;
const CALLS = 200_000;
/** Calls kept in flight at this entry. */
const IN_FLIGHT = 2_000;
const CALLS_PER_MS = 30;
/** Interval in which messages between entries are delivered. */
const DELIVER_MS = 1;

/** Wall-clock time of submit plus finish with all services known. */
export function decisionTime(): void {
  console.log(
    `\ndecision time, ${SERVICES} services, ` +
      `${SERVICES * SERVERS_PER_SERVICE} servers, ${ENTRIES} entries`,
  );
  for (const mode of ["dispatched", "local"] as const) {
    const times = build({ numberOfSignificantValueDigits: 3 });
    const run = new Run(mode === "local");
    for (let call = 0; call < WARM_UP_CALLS; call++) run.call();
    for (let call = 0; call < CALLS; call++) times.recordValue(run.call());
    const micros = [50, 99, 99.9].map((percentile) =>
      (times.getValueAtPercentile(percentile) / 1_000).toFixed(1),
    );
    const at = `submit+finish p50/p99/p99.9 us: ${micros.join("/")}`;
    console.log(`${mode.padEnd(11)} ${at}; goal at most 10 us at p99`);
  }
}

/** One measured entry; the others run too, but are not measured. */
class Run {
  readonly #routers = new Map<string, Router>();
  readonly #random = new SeededRandomness(1);
  readonly #measured: Router;
  readonly #local: boolean;
  readonly #open: { id: string; submitNs: number }[] = [];
  readonly #assigned = new Set<string>();
  #mail: { from: string; message: SendEffect }[] = [];
  #calls = 0;
  #now = 0;
  #tickAt = 0;
  #deliverAt = 0;

  constructor(local: boolean) {
    this.#local = local;
    const entries = makeEntries();
    const services = makeServices();
    for (const { id, dataCentre } of entries) {
      const random = new SeededRandomness(this.#routers.size + 1);
      const router = new Router({ self: id, dataCentre, random });
      this.#routers.set(id, router);
      const view = { epoch: 1, entries, began: 0 };
      if (local && id !== "e0") continue;
      router.configure(services, view, 0);
      for (const service of services) {
        router.setServers(service.name, makeServers(service), 0);
      }
    }
    this.#measured = this.#routers.get("e0") as Router;
  }

  /** Ends the oldest call and starts one; returns the time in nanoseconds. */
  call(): number {
    this.#now += 1 / CALLS_PER_MS;
    if (this.#now >= this.#tickAt) this.#tick();
    // Messages travel in batches; other entries share no cache with this one.
    if (this.#now >= this.#deliverAt) this.#deliver();
    const name = `service-${this.#random.below(SERVICES)}`;
    const call = this.#makeCall(name);
    const now = this.#now;
    const start = process.hrtime.bigint();
    const effects = this.#measured.submit(call, { now });
    const submitNs = Number(process.hrtime.bigint() - start);
    this.#take("e0", effects);
    this.#open.push({ id: call.id, submitNs });
    if (this.#open.length < IN_FLIGHT) return submitNs;
    const oldest = this.#open.shift() as { id: string; submitNs: number };
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
    this.#take("e0", effects);
    return ns;
  }

  #tick(): void {
    this.#tickAt = this.#now + 5;
    for (const [id, router] of this.#routers) {
      this.#take(id, router.tick(this.#now));
    }
    this.#deliver();
  }

  #take(from: string, effects: readonly RoutingEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "assign") this.#assigned.add(effect.callId);
      if (effect.type !== "send" || this.#local) continue;
      this.#mail.push({ from, message: effect as SendEffect });
    }
  }

  #deliver(): void {
    this.#deliverAt = this.#now + DELIVER_MS;
    while (this.#mail.length > 0) {
      const mail = this.#mail;
      this.#mail = [];
      for (const { from, message } of mail) {
        const router = this.#routers.get(message.to);
        const effects = router?.receive(from, message, this.#now) ?? [];
        this.#take(message.to, effects);
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
  return Array.from({ length: ENTRIES }, (_, index) => ({
    id: `e${index}`,
    incarnation: 1,
    dataCentre: ALLOC.dataCentres[index % 4] ?? "",
    http: address,
    peer: address,
    state: "ready" as const,
  }));
}

function makeServices(): Service[] {
  return Array.from({ length: SERVICES }, (_, index) => ({
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
    slots: SLOTS,
    connections: 300,
    inFlight: 0,
    startedMsAgo: 3_600_000,
  }));
}
