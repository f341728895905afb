import assert from "node:assert/strict";
import { test } from "node:test";
import { type Entry, SeededRandomness } from "#model";
import { HandoverTargets } from "./handover_targets.ts";
import { testEntry } from "./test_support.ts";

const ENTRIES = [
  ...["e0", "e1", "e2", "e3"].map((id) => testEntry(id, "a")),
  ...["f0", "f1", "f2"].map((id) => testEntry(id, "b")),
];

function createTargets(entries: readonly Entry[] = ENTRIES): HandoverTargets {
  const random = new SeededRandomness(7);
  const targets = new HandoverTargets({ self: "e0", dataCentre: "a", random });
  targets.configure({ epoch: 1, began: 0, entries });
  return targets;
}

function chosen(
  targets: HandoverTargets,
  { tried = [], now = 0 }: { tried?: readonly string[]; now?: number } = {},
): Set<string | undefined> {
  const ids = new Set<string | undefined>();
  for (let draw = 0; draw < 100; draw++) {
    ids.add(targets.choose("alloc", { tried: new Set(tried), now })?.id);
  }
  return ids;
}

test("near entries take calls over, and not the entry itself", () => {
  assert.deepEqual(chosen(createTargets()), new Set(["e1", "e2", "e3"]));
});

// Guards against asking all entries of a data centre that is cut off as a whole.
test("after a refusal an entry of another data centre is asked", () => {
  const ids = chosen(createTargets(), { tried: ["e1"] });
  assert.deepEqual(ids, new Set(["f0", "f1", "f2"]));
});

// Guards against calls that go round between entries that are cut off.
test("entries that reach no server are not asked", () => {
  const targets = createTargets();
  targets.setCutOff("e1", ["alloc"], 0);
  targets.setCutOff("e2", ["alloc", "report"], 0);
  targets.setCutOff("e3", ["report"], 0);
  assert.deepEqual(chosen(targets), new Set(["e3"]));
  targets.setCutOff("e1", [], 0);
  assert.deepEqual(chosen(targets), new Set(["e1", "e3"]));
});

test("an entry that refused is passed over for a while", () => {
  const targets = createTargets();
  targets.refused("alloc", "e1", 0);
  targets.refused("report", "e2", 0);
  assert.deepEqual(chosen(targets, { now: 499 }), new Set(["e2", "e3"]));
  assert.deepEqual(chosen(targets, { now: 500 }), new Set(["e1", "e2", "e3"]));
});

test("no entry is chosen when none takes calls", () => {
  const unable = ENTRIES.map((entry): Entry => {
    const { handover: _, ...rest } = entry;
    return entry.dataCentre === "a" ? rest : { ...entry, state: "stopping" };
  });
  assert.deepEqual(chosen(createTargets(unable)), new Set([undefined]));
});

// Guards against calls that all go to the same entry.
test("calls are spread by the number that each entry has", () => {
  const targets = createTargets();
  const counts = new Map<string, number>();
  for (let call = 0; call < 300; call++) {
    const id =
      targets.choose("alloc", { tried: new Set(), now: 0 })?.id ?? "none";
    targets.started(id);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  for (const [id, count] of counts) {
    assert.ok(Math.abs(count - 100) <= 10, `${id} got ${count}`);
  }
});

// Guards against lookups that follow each short cut.
test("only a cut that lasts keeps callers away", () => {
  const targets = createTargets();
  targets.setCutOff("e1", ["alloc"], 100);
  targets.setCutOff("e1", ["alloc", "report"], 1_000);
  targets.setCutOff("e2", ["alloc"], 500);
  assert.deepEqual(targets.lastingCuts(2_099), new Set());
  assert.deepEqual(targets.lastingCuts(2_100), new Set(["e1"]));
  targets.setCutOff("e1", [], 2_200);
  assert.deepEqual(targets.lastingCuts(2_500), new Set(["e2"]));
});
