import {
  type BackendServer,
  type Call,
  type HostId,
  SeededRandomness,
  type Service,
} from "#model";
import { Router, type RoutingEffect, type SendEffect } from "#routing";
import { Events } from "../bench/events.ts";
import { rowsOf } from "./configuration.ts";
import { heapOf } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  dataCentreOf,
  entryId,
  makeServer,
  makeService,
  makeView,
  TARGET,
} from "./synthetic.ts";
import { frameBytes } from "./wire_size.ts";

const ENTRIES = [5, 10, 20, 40, 80, 160];
const LOADS = [10, 30, 50, 70, 80, 90];
const FIXED_ENTRIES = 20;
const LOW_LOAD = 30;
const HIGH_LOAD = 80;
const IN_FLIGHT = [1_000, 5_000, 20_000];

/** Calls a second of the average service at the target. */
const CALLS_PER_S = TARGET.callsPerS / TARGET.services;
const SERVERS = TARGET.servers / TARGET.services;
const SLOTS = 6;
const ONE_WAY_MS = 0.25;
const TICK_MS = 5;
const WARM_UP_MS = 3_000;
const MEASURED_MS = 6_000;

/** Messages between the entries and the dispatcher of one service. */
export function dispatching(): Row[] {
  const byEntries = (load: number) =>
    ENTRIES.map((size) => ({ size, ...run(size, load) }));
  const byLoad = LOADS.map((size) => ({ size, ...run(FIXED_ENTRIES, size) }));
  const inFlight = IN_FLIGHT.map((size) => ({ size, heap: heap(size) }));
  const rate = `${Math.round(CALLS_PER_S)} calls/s`;
  return [
    ...[LOW_LOAD, HIGH_LOAD].flatMap((load) =>
      rowsOf(byEntries(load), {
        per: `entries that use the service, ${rate}, load ${load}%`,
        target: 500,
      })(CHOICES),
    ),
    ...rowsOf(byLoad, {
      per: `load in percent, ${FIXED_ENTRIES} entries, ${rate}`,
      target: 80,
    })(CHOICES),
    ...rowsOf(inFlight, { per: "calls in flight", target: 10_000 })([
      ["heap of routing", "bytes", (f) => f.heap],
    ]),
  ];
}

const CHOICES = [
  ["messages per call", "messages", (f: Figure) => f.messages],
  ["bytes per call", "bytes", (f: Figure) => f.bytes],
  ["calls that wait for an answer", "%", (f: Figure) => f.asked],
] as const;

interface Figure {
  readonly messages: number;
  readonly bytes: number;
  readonly asked: number;
}

function servers(slots: number): BackendServer[] {
  return Array.from({ length: SERVERS }, (_, index) => ({
    ...makeServer(index),
    service: makeService(0).name,
    inFlight: 0,
    slots,
  }));
}

function callOf(id: string, service: Service, now: number): Call {
  return {
    id,
    service: service.name,
    class: "booking",
    priority: "urgent",
    repeatable: true,
    arrival: now,
    deadline: now + 5_000,
    depth: 0,
    retries: 0,
  };
}

function run(entries: number, load: number): Figure {
  const events = new Events();
  const random = new SeededRandomness(entries * 1_000 + load);
  const service = makeService(0);
  const records = servers(SLOTS);
  const view = makeView(entries);
  const routers = new Map<HostId, Router>();
  const running = new Map<string, HostId>();
  const meanMs = ((load / 100) * SERVERS * SLOTS * 1_000) / CALLS_PER_S;
  const exponential = (mean: number) => -Math.log(1 - random.next()) * mean;
  let counted = false;
  let calls = 0;
  let asked = 0;
  let messages = 0;
  let bytes = 0;
  const send = (from: HostId, message: SendEffect) => {
    if (counted) {
      messages++;
      bytes += frameBytes(message.kind, message.payload);
    }
    events.after(ONE_WAY_MS, () => {
      const router = routers.get(message.to);
      apply(message.to, router?.receive(from, message, events.now()) ?? []);
    });
  };
  const serve = (entry: HostId, id: string) => {
    running.set(id, entry);
    const ms = exponential(meanMs);
    events.after(ms + 2 * ONE_WAY_MS, () => {
      const result = { kind: "answered", serviceMs: ms } as const;
      const router = routers.get(entry);
      apply(entry, router?.finish(id, result, events.now()) ?? []);
    });
  };
  const apply = (entry: HostId, effects: readonly RoutingEffect[]) => {
    for (const effect of effects) {
      if (effect.type === "assign") serve(entry, effect.callId);
      if (effect.type === "send") send(entry, effect as SendEffect);
    }
  };
  const arrive = (number: number) => {
    const entry = entryId(random.below(entries));
    const id = `c${number}`;
    const now = events.now();
    const router = routers.get(entry);
    const call = callOf(id, service, now);
    apply(entry, router?.submit(call, { now }) ?? []);
    if (counted) {
      calls++;
      if (!running.has(id)) asked++;
    }
    events.after(exponential(1_000 / CALLS_PER_S), () => arrive(number + 1));
  };
  for (const [index, { id, dataCentre }] of view.entries.entries()) {
    const router = new Router({
      self: id,
      dataCentre,
      random: new SeededRandomness(index + 1),
    });
    routers.set(id, router);
    apply(id, router.configure([service], view, 0));
    apply(id, router.setServers(service.name, records, 0));
    // Entries do not tick in step.
    events.after((TICK_MS * index) / entries, () =>
      events.every(TICK_MS, () => apply(id, router.tick(events.now()))),
    );
  }
  events.after(0, () => arrive(0));
  events.runUntil(WARM_UP_MS);
  counted = true;
  events.runUntil(WARM_UP_MS + MEASURED_MS);
  return {
    messages: messages / calls,
    bytes: bytes / calls,
    asked: (asked / calls) * 100,
  };
}

/** Heap of one entry's routing with calls at servers. */
function heap(count: number): number {
  const service = makeService(0);
  const view = makeView(1);
  const router = new Router({
    self: entryId(0),
    dataCentre: dataCentreOf(0),
    random: new SeededRandomness(1),
  });
  router.configure([service], view, 0);
  router.setServers(service.name, servers(count), 0);
  let assigned = 0;
  const { bytes } = heapOf(() => {
    for (let i = 0; i < count; i++) {
      const call = callOf(`call-${i}`, service, 0);
      const effects = router.submit(call, { now: 0 });
      assigned += effects.filter(({ type }) => type === "assign").length;
    }
  });
  if (assigned !== count) throw new Error(`${assigned} of ${count} assigned`);
  return bytes;
}
