import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ALLOC_ACTOR,
  entry,
  putSection,
  SYSTEM_ACTOR,
  sectionText,
} from "./fixtures.ts";
import { dueStops, type InFlightReport } from "./planner.ts";
import { Registry } from "./registry.ts";

const T0 = Date.parse("2026-12-04T02:00:00Z");
const FIRST = "a: { service: alloc, servers: [x], at: 2026-12-04T02:00:00Z }";
const SECOND =
  "b: { service: alloc, servers: [y], at: 2026-12-04T02:00:00Z, after: [a] }";

class SimulatedSite {
  readonly registry = new Registry();
  #revision = 0;

  constructor(stops: string[]) {
    this.registry.apply(putSection("system", { actor: SYSTEM_ACTOR }));
    this.plan(stops, T0 - 9_000);
    this.join("e1");
    this.join("e2");
  }

  join(id: string) {
    const at = T0 - 8_000;
    this.registry.apply({ type: "entry_joined", entry: entry(id), at });
  }

  plan(stops: string[], at: number) {
    const text = sectionText("alloc", stops);
    const baseRevision = this.#revision++;
    const overrides = { actor: ALLOC_ACTOR, text, baseRevision, at };
    assert.equal(
      this.registry.apply(putSection("alloc", overrides)).type,
      "accepted",
    );
  }

  inFlightReports(
    inFlightByEntry: Record<string, Record<string, number>>,
  ): InFlightReport[] {
    const { version } = this.registry.configuration();
    return Object.entries(inFlightByEntry).map(([id, inFlight]) => {
      return { entry: id, incarnation: 1, version, inFlight };
    });
  }

  advanceDueStops(at: number, reports: InFlightReport[] = []) {
    const due = dueStops(this.registry.configuration(), at, reports);
    for (const command of due) this.registry.apply(command);
    return due.map(({ stop, phase }) => `${stop} ${phase}`);
  }

  phases() {
    return this.registry
      .configuration()
      .stops.map(({ stop, phase }) => `${stop} ${phase}`);
  }
}

test("a stop starts at its time, and its successor once it is done", () => {
  const site = new SimulatedSite([FIRST, SECOND]);
  assert.deepEqual(site.advanceDueStops(T0 - 1), []);
  assert.deepEqual(site.advanceDueStops(T0), ["a draining"]);
  const busy = site.inFlightReports({ e1: { a: 1 }, e2: {} });
  assert.deepEqual(site.advanceDueStops(T0 + 1_000, busy), []);
  const idle = site.inFlightReports({ e1: {}, e2: {} });
  assert.deepEqual(site.advanceDueStops(T0 + 2_000, idle), ["a done"]);
  assert.deepEqual(site.advanceDueStops(T0 + 2_001, idle), ["b draining"]);
});

test("a stop needs reports of all present entries from during the drain", () => {
  const site = new SimulatedSite([FIRST]);
  const early = site.inFlightReports({ e1: {}, e2: {} });
  site.advanceDueStops(T0);
  assert.deepEqual(site.advanceDueStops(T0 + 1, early), []);
  assert.deepEqual(
    site.advanceDueStops(T0 + 2, site.inFlightReports({ e1: {} })),
    [],
  );
  const other = site.inFlightReports({ e1: {}, e2: {} }).map((report) => {
    return { ...report, incarnation: 7 };
  });
  assert.deepEqual(site.advanceDueStops(T0 + 3, other), []);
});

test("a stop past the drain limit is overdue and can still be done", () => {
  const site = new SimulatedSite([FIRST]);
  site.advanceDueStops(T0);
  const busy = site.inFlightReports({ e1: { a: 1 }, e2: {} });
  assert.deepEqual(site.advanceDueStops(T0 + 59_999, busy), []);
  assert.deepEqual(site.advanceDueStops(T0 + 60_000, busy), ["a overdue"]);
  assert.deepEqual(site.advanceDueStops(T0 + 61_000, busy), []);
  const idle = site.inFlightReports({ e1: {}, e2: {} });
  assert.deepEqual(site.advanceDueStops(T0 + 62_000, idle), ["a done"]);
});

test("a stop waits for the longest deadline after an entry is lost", () => {
  const site = new SimulatedSite([FIRST]);
  site.advanceDueStops(T0);
  const lost = { type: "entry_left", id: "e2", incarnation: 1 } as const;
  site.registry.apply({ ...lost, at: T0 + 500 });
  const { epoch } = site.registry.configuration().view;
  const epochs = [epoch - 1];
  site.registry.apply({ type: "views_settled", epochs, at: T0 + 1_000 });
  const idle = site.inFlightReports({ e1: {} });
  assert.deepEqual(site.advanceDueStops(T0 + 5_999, idle), []);
  assert.deepEqual(site.advanceDueStops(T0 + 6_000, idle), ["a done"]);
});

test("a stop is never done without entries", () => {
  const site = new SimulatedSite([FIRST]);
  site.advanceDueStops(T0);
  for (const id of ["e1", "e2"]) {
    const left = { type: "entry_left", id, incarnation: 1 } as const;
    site.registry.apply({ ...left, at: T0 });
  }
  assert.deepEqual(site.advanceDueStops(T0 + 30_000), []);
});

const POSTPONED = FIRST.replace("T02:00", "T05:00");
const MORE_SERVERS = FIRST.replace("[x]", "[x, z]");

const PLAN_CHANGES = [
  { name: "disappears", stops: [], phases: [] },
  { name: "is the same", stops: [FIRST], phases: ["a draining"] },
  { name: "is postponed", stops: [POSTPONED], phases: ["a pending"] },
  { name: "gets more servers", stops: [MORE_SERVERS], phases: ["a draining"] },
  {
    name: "gets a predecessor",
    stops: [
      FIRST.replace("00Z }", "00Z, after: [b] }"),
      SECOND.replace(", after: [a]", ""),
    ],
    phases: ["a draining", "b pending"],
  },
];

for (const { name, stops, phases } of PLAN_CHANGES) {
  test(`a running stop whose definition ${name} has the expected phase`, () => {
    const site = new SimulatedSite([FIRST]);
    site.advanceDueStops(T0);
    site.plan(stops, T0 + 1_000);
    assert.deepEqual(site.phases(), phases);
  });
}

test("a command for a former run does not end the new one", () => {
  const site = new SimulatedSite([FIRST]);
  site.advanceDueStops(T0);
  const idle = site.inFlightReports({ e1: {}, e2: {} });
  const decided = dueStops(site.registry.configuration(), T0 + 1, idle);
  assert.equal(decided[0]?.phase, "done");
  site.plan([MORE_SERVERS], T0 + 2);
  const reply = site.registry.apply(decided[0] ?? assert.fail());
  assert.ok(reply.type === "stale" && reply.reason === "other_run");
  assert.deepEqual(site.advanceDueStops(T0 + 3, idle), []);
});

test("a repeated command is stale and changes nothing", () => {
  const site = new SimulatedSite([FIRST]);
  const due = dueStops(site.registry.configuration(), T0, []);
  const command = due[0] ?? assert.fail();
  assert.equal(site.registry.apply(command).type, "done");
  const before = site.registry.configuration();
  assert.equal(site.registry.apply(command).type, "stale");
  assert.deepEqual(site.registry.configuration(), before);
});
