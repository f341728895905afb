import {
  type BackendServer,
  type Call,
  type HostId,
  SeededRandomness,
  type Service,
} from "#model";
import { Router, type RoutingEffect, type SendEffect } from "#routing";
import { EventQueue } from "../bench/events.ts";
import { makeRows } from "./configuration.ts";
import { measureHeap } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  dataCentreOf,
  entryId,
  makeServer,
  makeService,
  makeView,
  TARGET,
} from "./synthetic.ts";
import { messageBytes } from "./wire_size.ts";

const ENTRY_COUNTS = [5, 10, 20, 40, 80, 160];
const LOADS_PERCENT = [10, 30, 50, 70, 80, 90];
const FIXED_ENTRY_COUNT = 20;
const LOW_LOAD_PERCENT = 30;
const HIGH_LOAD_PERCENT = 80;
const IN_FLIGHT_COUNTS = [1_000, 5_000, 20_000];

/** Calls per second of an average service at the target size. */
const CALLS_PER_S = TARGET.callsPerS / TARGET.services;
const SERVERS_PER_SERVICE = TARGET.servers / TARGET.services;
const SLOTS_PER_SERVER = 6;
const ONE_WAY_LATENCY_MS = 0.25;
const TICK_INTERVAL_MS = 5;
const WARM_UP_MS = 3_000;
const MEASUREMENT_MS = 6_000;

/** Measures the messages between entries and the dispatcher of one service. */
export function measureDispatching(): Row[] {
  const byEntries = (load: number) =>
    ENTRY_COUNTS.map((size) => ({ size, ...simulate(size, load) }));
  const byLoad = LOADS_PERCENT.map((size) => ({
    size,
    ...simulate(FIXED_ENTRY_COUNT, size),
  }));
  const inFlight = IN_FLIGHT_COUNTS.map((size) => ({
    size,
    heap: measureRoutingHeap(size),
  }));
  const rate = `${Math.round(CALLS_PER_S)} calls/s`;
  return [
    ...[LOW_LOAD_PERCENT, HIGH_LOAD_PERCENT].flatMap((load) =>
      makeRows(byEntries(load), {
        per: `entries that use the service, ${rate}, load ${load}%`,
        target: 500,
      })(QUANTITIES),
    ),
    ...makeRows(byLoad, {
      per: `load in percent, ${FIXED_ENTRY_COUNT} entries, ${rate}`,
      target: 80,
    })(QUANTITIES),
    ...makeRows(inFlight, { per: "calls in flight", target: 10_000 })([
      ["heap of routing", "bytes", (f) => f.heap],
    ]),
  ];
}

const QUANTITIES = [
  ["messages per call", "messages", (f: PerCallFigures) => f.messages],
  ["bytes per call", "bytes", (f: PerCallFigures) => f.bytes],
  ["calls that wait for an answer", "%", (f: PerCallFigures) => f.deferred],
] as const;

/** Averages over the measured calls of one simulation. */
interface PerCallFigures {
  readonly messages: number;
  readonly bytes: number;
  /** Percentage of calls that no server was assigned to on arrival. */
  readonly deferred: number;
}

function makeServers(slots: number): BackendServer[] {
  return Array.from({ length: SERVERS_PER_SERVICE }, (_, index) => ({
    ...makeServer(index),
    service: makeService(0).name,
    inFlight: 0,
    slots,
  }));
}

function makeCall(id: string, service: Service, now: number): Call {
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

/** Simulates one service, at a load in percent of its slots. */
function simulate(entries: number, load: number): PerCallFigures {
  const events = new EventQueue();
  const random = new SeededRandomness(entries * 1_000 + load);
  const service = makeService(0);
  const servers = makeServers(SLOTS_PER_SERVER);
  const view = makeView(entries);
  const routers = new Map<HostId, Router>();
  const running = new Map<string, HostId>();
  const meanMs =
    ((load / 100) * SERVERS_PER_SERVICE * SLOTS_PER_SERVER * 1_000) /
    CALLS_PER_S;
  const exponential = (mean: number) => -Math.log(1 - random.next()) * mean;
  let isMeasuring = false;
  let calls = 0;
  let deferred = 0;
  let messages = 0;
  let bytes = 0;
  const send = (from: HostId, message: SendEffect) => {
    if (isMeasuring) {
      messages++;
      bytes += messageBytes(message.kind, message.payload);
    }
    events.after(ONE_WAY_LATENCY_MS, () => {
      const router = routers.get(message.to);
      applyEffects(
        message.to,
        router?.receive(from, message, events.now()) ?? [],
      );
    });
  };
  const serve = (entry: HostId, id: string) => {
    running.set(id, entry);
    const ms = exponential(meanMs);
    events.after(ms + 2 * ONE_WAY_LATENCY_MS, () => {
      const result = { kind: "answered", serviceMs: ms } as const;
      const router = routers.get(entry);
      applyEffects(entry, router?.finish(id, result, events.now()) ?? []);
    });
  };
  const applyEffects = (entry: HostId, effects: readonly RoutingEffect[]) => {
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
    const call = makeCall(id, service, now);
    applyEffects(entry, router?.submit(call, { now }) ?? []);
    if (isMeasuring) {
      calls++;
      if (!running.has(id)) deferred++;
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
    applyEffects(id, router.configure([service], view, 0));
    applyEffects(id, router.setServers(service.name, servers, 0));
    // The ticks of the entries are spread over the interval.
    events.after((TICK_INTERVAL_MS * index) / entries, () =>
      events.every(TICK_INTERVAL_MS, () =>
        applyEffects(id, router.tick(events.now())),
      ),
    );
  }
  events.after(0, () => arrive(0));
  events.runUntil(WARM_UP_MS);
  isMeasuring = true;
  events.runUntil(WARM_UP_MS + MEASUREMENT_MS);
  return {
    messages: messages / calls,
    bytes: bytes / calls,
    deferred: (deferred / calls) * 100,
  };
}

/** Heap bytes of one entry's router with `count` calls in flight. */
function measureRoutingHeap(count: number): number {
  const service = makeService(0);
  const view = makeView(1);
  const router = new Router({
    self: entryId(0),
    dataCentre: dataCentreOf(0),
    random: new SeededRandomness(1),
  });
  router.configure([service], view, 0);
  router.setServers(service.name, makeServers(count), 0);
  let assigned = 0;
  const { bytes } = measureHeap(() => {
    for (let i = 0; i < count; i++) {
      const call = makeCall(`call-${i}`, service, 0);
      const effects = router.submit(call, { now: 0 });
      assigned += effects.filter(({ type }) => type === "assign").length;
    }
  });
  if (assigned !== count) throw new Error(`${assigned} of ${count} assigned`);
  return bytes;
}
