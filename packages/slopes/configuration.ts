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
import type { Hello, Network } from "#wire";
import { cpuOf, heapOf } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  dataCentreOf,
  entryId,
  INCARNATION,
  makeEntry,
  makeServices,
  makeView,
  TARGET,
  TARGET_ENTRIES,
} from "./synthetic.ts";
import { frame, frameBytes } from "./wire_size.ts";

export const SERVICES = [100, 300, 860];
export const ENTRIES = [20, 100, 300];
const FORMER_VIEWS = [0, 50, 200];

/** Connections that encode messages and lose them. */
export class CountingNetwork implements Network<ConfigurationMessages> {
  bytes = 0;
  readonly #handlers = new Map<string, (p: unknown, from: Hello) => void>();

  send(_to: string, kind: string, payload: unknown): boolean {
    this.bytes += frame(kind, payload).length;
    return true;
  }

  broadcast(to: readonly string[], kind: string, payload: unknown): void {
    this.bytes += to.length * frame(kind, payload).length;
  }

  handle(kind: string, handler: (payload: never, from: Hello) => void): void {
    this.#handlers.set(kind, handler as (p: unknown, from: Hello) => void);
  }

  receive(kind: string, payload: unknown, from: Hello): void {
    this.#handlers.get(kind)?.(payload, from);
  }
}

export function hello(index: number): Hello {
  return {
    id: entryId(index),
    role: "entry",
    incarnation: INCARNATION + index,
    cluster: "slopes",
    version: 1,
  };
}

export function configurationOf(
  services: number,
  entries: number,
  former = 0,
): Configuration {
  const view = makeView(entries, former + 1);
  const formerViews = Array.from({ length: former }, (_, i): FormerView => {
    // Each restart of an entry replaces one record of the view.
    const replaced = view.entries.map((entry, at) =>
      at <= i % entries ? entry : makeEntry(at, INCARNATION - 1_000_000),
    );
    const began = INCARNATION + i * 1_000;
    return { epoch: i + 1, entries: replaced, began, ended: began + 1_000 };
  });
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

/** The configuration after the change of one service. */
export function changed(before: Configuration): Configuration {
  const { document, version } = before;
  const at = Math.floor(document.services.length / 2);
  const services = document.services.map((service, index) =>
    index === at ? { ...service, drainLimitS: 601 + version } : service,
  );
  const revision = document.revision + 1;
  return {
    ...before,
    document: { ...document, services, revision },
    version: version + 1,
  };
}

function restarted(before: Configuration): Configuration {
  const { view, version } = before;
  const entries = view.entries.map((entry, index) =>
    index === 3 ? makeEntry(3, entry.incarnation + version) : entry,
  );
  const began = view.began + 1_000;
  const formerViews = [...before.formerViews, { ...view, ended: began }];
  const next = { epoch: view.epoch + 1, entries, began };
  return { ...before, view: next, formerViews, version: version + 1 };
}

/** Bytes and processor time of the configuration's spread. */
export function configuration(): Row[] {
  changeFigures(50, 20);
  const byServices = SERVICES.map((size) => ({
    size,
    ...changeFigures(size, ENTRIES[1] ?? 0),
  }));
  const byEntries = ENTRIES.map((size) => ({
    size,
    ...changeFigures(TARGET.services, size),
  }));
  const former = FORMER_VIEWS.map((size) => {
    const to = configurationOf(TARGET.services, ENTRIES[1] ?? 0, size);
    const change = diffConfigurations(EMPTY_CONFIGURATION, to);
    return { size, joinBytes: frameBytes("state", { version: 1, change }) };
  });
  const services = { per: "services, 100 entries", target: TARGET.services };
  const entries = { per: "entries, 860 services", target: TARGET_ENTRIES };
  const all = <F extends { size: number }>(
    figures: readonly F[],
    where: { per: string; target: number },
  ) => rowsOf(figures, where);
  return [
    ...all(
      byServices,
      services,
    )([
      ["one service changed, to each entry", "bytes", (f) => f.bytes],
      ["CPU, difference computed once", "us", (f) => f.diffUs],
      ["CPU, difference applied", "us", (f) => f.applyUs],
      ["join, complete configuration", "bytes", (f) => f.joinBytes],
      ["CPU, complete configuration encoded", "us", (f) => f.joinUs],
      ["CPU, routing.configure at an entry", "us", (f) => f.routerUs],
      ["heap of the configuration", "bytes", (f) => f.heap],
    ]),
    ...all(
      byEntries,
      entries,
    )([
      ["one service changed, to each entry", "bytes", (f) => f.bytes],
      ["CPU, change published by control", "us", (f) => f.publishUs],
      ["one entry restarted, to each entry", "bytes", (f) => f.viewBytes],
      ["CPU, view change computed once", "us", (f) => f.viewUs],
      ["join, complete configuration", "bytes", (f) => f.joinBytes],
      ["CPU, routing.configure at an entry", "us", (f) => f.routerUs],
      ["heap of the configuration", "bytes", (f) => f.heap],
    ]),
    ...all(former, { per: "former views, 100 entries", target: 1_400 })([
      ["join, complete configuration", "bytes", (f) => f.joinBytes],
    ]),
  ];
}

type Choice<F> = readonly [string, string, (figure: F) => number];

/** Rows of the same sizes. */
export function rowsOf<F extends { size: number }>(
  figures: readonly F[],
  where: { per: string; target: number },
) {
  return (choices: readonly Choice<F>[]): Row[] =>
    choices.map(([quantity, unit, value]) => ({
      quantity,
      unit,
      ...where,
      points: figures.map((f) => ({ size: f.size, value: value(f) })),
    }));
}

function changeFigures(services: number, entries: number) {
  const { built: before, bytes: heap } = heapOf(() =>
    configurationOf(services, entries),
  );
  const after = changed(before);
  const change = diffConfigurations(before, after);
  const view = diffConfigurations(before, restarted(before));
  const join = { version: 1, change: whole(before) };
  return {
    heap,
    bytes: frameBytes("state", { version: 2, change }),
    diffUs: cpuOf(() => void diffConfigurations(before, after)),
    applyUs: cpuOf(() => void applyChange(before, change)),
    viewBytes: frameBytes("state", { version: 2, change: view }),
    viewUs: cpuOf(() => void diffConfigurations(before, restarted(before))),
    joinBytes: frameBytes("state", join),
    joinUs: cpuOf(
      () => void frame("state", { version: 1, change: whole(before) }),
    ),
    publishUs: publishUs(before, entries),
    routerUs: routerUs(before),
  };
}

function whole(configuration: Configuration) {
  return diffConfigurations(EMPTY_CONFIGURATION, configuration);
}

/** One change sent to all entries, which all follow this control host. */
function publishUs(first: Configuration, entries: number): number {
  const network = new CountingNetwork();
  const publisher = new ConfigurationPublisher({
    network,
    clock: new ManualClock(),
    table: new EntryTable(),
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
    network.receive("confirm", confirmation, hello(index));
  }
  return cpuOf(() => {
    current = changed(current);
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
  return cpuOf(() => void router.configure(document.services, view, 0));
}
