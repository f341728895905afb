import type { ConfigurationMessages } from "#configuration";
import {
  applyChange,
  diffConfigurations,
  EMPTY_CONFIGURATION,
  EntryTable,
} from "#configuration";
import { ConfigurationPublisher } from "#control";
import {
  type Configuration,
  EMPTY_DOCUMENT,
  type FormerView,
  ManualClock,
  SeededRandomness,
} from "#model";
import { Router } from "#routing";
import { SilentLogger } from "#telemetry";
import type { Hello, Network } from "#wire";
import { measureHeap, medianCpuUs } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  dataCentreOf,
  entryId,
  FIRST_INCARNATION,
  makeEntry,
  makeServices,
  makeView,
  TARGET,
  TARGET_ENTRIES,
} from "./synthetic.ts";
import { encodeMessage, messageBytes } from "./wire_size.ts";

export const SERVICE_COUNTS = [100, 300, 860];
export const ENTRY_COUNTS = [20, 100, 300];
const FORMER_VIEW_COUNTS = [0, 50, 200];

/** A network that encodes messages, counts their bytes and drops them. */
export class CountingNetwork implements Network<ConfigurationMessages> {
  bytes = 0;
  readonly #handlers = new Map<string, (p: unknown, from: Hello) => void>();

  send(_to: string, kind: string, payload: unknown): boolean {
    this.bytes += encodeMessage(kind, payload).length;
    return true;
  }

  broadcast(to: readonly string[], kind: string, payload: unknown): void {
    this.bytes += to.length * encodeMessage(kind, payload).length;
  }

  handle(kind: string, handler: (payload: never, from: Hello) => void): void {
    this.#handlers.set(kind, handler as (p: unknown, from: Hello) => void);
  }

  receive(kind: string, payload: unknown, from: Hello): void {
    this.#handlers.get(kind)?.(payload, from);
  }
}

/** The handshake message of an entry. */
export function makeHello(index: number): Hello {
  return {
    id: entryId(index),
    role: "entry",
    incarnation: FIRST_INCARNATION + index,
    cluster: "slopes",
    version: 1,
  };
}

/** A configuration with services, entries and former views of these entries. */
export function makeConfiguration(
  services: number,
  entries: number,
  formerViewCount = 0,
): Configuration {
  const view = makeView(entries, formerViewCount + 1);
  const formerViews = Array.from(
    { length: formerViewCount },
    (_, i): FormerView => {
      // Each restart of an entry replaces its record in the view.
      const replaced = view.entries.map((entry, index) =>
        index <= i % entries
          ? entry
          : makeEntry(index, FIRST_INCARNATION - 1_000_000),
      );
      const began = FIRST_INCARNATION + i * 1_000;
      return { epoch: i + 1, entries: replaced, began, ended: began + 1_000 };
    },
  );
  const document = {
    ...EMPTY_DOCUMENT,
    revision: 1,
    regions: {
      north: [0, 1, 2, 3].map(dataCentreOf),
      middle: [4, 5, 6].map(dataCentreOf),
      south: [7, 8, 9].map(dataCentreOf),
    },
    services: makeServices(services),
  };
  const base = { ...EMPTY_CONFIGURATION, document, view, formerViews };
  return { ...base, version: 1 };
}

/** Returns the next version, in which one service has changed. */
export function changeOneService(before: Configuration): Configuration {
  const { document, version } = before;
  const changedIndex = Math.floor(document.services.length / 2);
  const services = document.services.map((service, index) =>
    index === changedIndex
      ? { ...service, drainLimitS: 601 + version }
      : service,
  );
  const revision = document.revision + 1;
  return {
    ...before,
    document: { ...document, services, revision },
    version: version + 1,
  };
}

/** Returns the next version, in which one entry has restarted. */
function restartOneEntry(before: Configuration): Configuration {
  const { view, version } = before;
  const entries = view.entries.map((entry, index) =>
    index === 3 ? makeEntry(3, entry.incarnation + version) : entry,
  );
  const began = view.began + 1_000;
  const formerViews = [...before.formerViews, { ...view, ended: began }];
  const next = { epoch: view.epoch + 1, entries, began };
  return { ...before, view: next, formerViews, version: version + 1 };
}

/** Measures bytes and CPU time of distributing the configuration. */
export function measureConfiguration(): Row[] {
  measureChanges(50, 20);
  const byServices = SERVICE_COUNTS.map((size) => ({
    size,
    ...measureChanges(size, ENTRY_COUNTS[1] ?? 0),
  }));
  const byEntries = ENTRY_COUNTS.map((size) => ({
    size,
    ...measureChanges(TARGET.services, size),
  }));
  const byFormerViews = FORMER_VIEW_COUNTS.map((size) => {
    const to = makeConfiguration(TARGET.services, ENTRY_COUNTS[1] ?? 0, size);
    const change = diffConfigurations(EMPTY_CONFIGURATION, to);
    return { size, joinBytes: messageBytes("state", { version: 1, change }) };
  });
  const servicesAxis = {
    per: "services, 100 entries",
    target: TARGET.services,
  };
  const entriesAxis = { per: "entries, 860 services", target: TARGET_ENTRIES };
  const rowsFor = <F extends { size: number }>(
    figures: readonly F[],
    axis: { per: string; target: number },
  ) => makeRows(figures, axis);
  return [
    ...rowsFor(
      byServices,
      servicesAxis,
    )([
      ["one service changed, to each entry", "bytes", (f) => f.bytes],
      ["CPU, difference computed once", "us", (f) => f.diffUs],
      ["CPU, difference applied", "us", (f) => f.applyUs],
      ["join, complete configuration", "bytes", (f) => f.joinBytes],
      ["CPU, complete configuration encoded", "us", (f) => f.joinUs],
      ["CPU, routing.configure at an entry", "us", (f) => f.routerUs],
      ["heap of the configuration", "bytes", (f) => f.heap],
    ]),
    ...rowsFor(
      byEntries,
      entriesAxis,
    )([
      ["one service changed, to each entry", "bytes", (f) => f.bytes],
      ["CPU, change published by control", "us", (f) => f.publishUs],
      ["one entry restarted, to each entry", "bytes", (f) => f.viewBytes],
      ["CPU, view change computed once", "us", (f) => f.viewUs],
      ["join, complete configuration", "bytes", (f) => f.joinBytes],
      ["CPU, routing.configure at an entry", "us", (f) => f.routerUs],
      ["heap of the configuration", "bytes", (f) => f.heap],
    ]),
    ...rowsFor(byFormerViews, {
      per: "former views, 100 entries",
      target: 1_400,
    })([["join, complete configuration", "bytes", (f) => f.joinBytes]]),
  ];
}

/** Name, unit and value of a quantity, taken from the figures of one size. */
type Quantity<F> = readonly [string, string, (figure: F) => number];

/** Makes one row for each quantity, all from figures of the same sizes. */
export function makeRows<F extends { size: number }>(
  figures: readonly F[],
  axis: { per: string; target: number },
) {
  return (quantities: readonly Quantity<F>[]): Row[] =>
    quantities.map(([quantity, unit, value]) => ({
      quantity,
      unit,
      ...axis,
      points: figures.map((f) => ({ size: f.size, value: value(f) })),
    }));
}

function measureChanges(services: number, entries: number) {
  const { built: before, bytes: heap } = measureHeap(() =>
    makeConfiguration(services, entries),
  );
  const after = changeOneService(before);
  const change = diffConfigurations(before, after);
  const viewChange = diffConfigurations(before, restartOneEntry(before));
  const fullUpdate = { version: 1, change: fullChange(before) };
  return {
    heap,
    bytes: messageBytes("state", { version: 2, change }),
    diffUs: medianCpuUs(() => void diffConfigurations(before, after)),
    applyUs: medianCpuUs(() => void applyChange(before, change)),
    viewBytes: messageBytes("state", { version: 2, change: viewChange }),
    viewUs: medianCpuUs(
      () => void diffConfigurations(before, restartOneEntry(before)),
    ),
    joinBytes: messageBytes("state", fullUpdate),
    joinUs: medianCpuUs(
      () =>
        void encodeMessage("state", { version: 1, change: fullChange(before) }),
    ),
    publishUs: publishUs(before, entries),
    routerUs: routerUs(before),
  };
}

/** The complete configuration, as a difference from the empty one. */
function fullChange(configuration: Configuration) {
  return diffConfigurations(EMPTY_CONFIGURATION, configuration);
}

/** CPU time to publish one change to all entries, which follow one host. */
function publishUs(first: Configuration, entries: number): number {
  const network = new CountingNetwork();
  const publisher = new ConfigurationPublisher({
    network,
    clock: new ManualClock(),
    table: new EntryTable(),
    logger: new SilentLogger(),
    confirmRead: () => new Promise(() => undefined),
    otherControlHosts: () => [],
  });
  let current = first;
  publisher.publish(current);
  for (let index = 0; index < entries; index++) {
    const confirmation = {
      entry: makeEntry(index),
      version: current.version,
      sequence: 1,
      stops: [],
    };
    network.receive("confirm", confirmation, makeHello(index));
  }
  return medianCpuUs(() => {
    current = changeOneService(current);
    publisher.publish(current);
  });
}

function routerUs(configuration: Configuration): number {
  const router = new Router({
    self: entryId(0),
    dataCentre: dataCentreOf(0),
    random: new SeededRandomness(1),
  });
  const { document, view } = configuration;
  return medianCpuUs(() => void router.configure(document.services, view, 0));
}
