import assert from "node:assert/strict";
import { test } from "node:test";
import { evacuationChange, evacuationKey, isSetByPatch } from "./evacuation.ts";
import type { Item, PutItems } from "./items.ts";
import { Registry } from "./registry.ts";

/** The command that a control host logs for an order by the state it knows. */
function commandFor(
  registry: Registry,
  isEvacuated: boolean,
  dataCentre = "riga-a",
): PutItems {
  const stored = registry.storedItem(evacuationKey(dataCentre));
  const change = evacuationChange({ dataCentre, isEvacuated }, stored);
  return { type: "put_items", ...change, at: 1 };
}

function order(registry: Registry, isEvacuated: boolean, dataCentre?: string) {
  const command = commandFor(registry, isEvacuated, dataCentre);
  registry.apply(command);
  return command;
}

function evacuated(registry: Registry) {
  return registry.configuration().document.evacuated;
}

test("orders begin, end and begin again; resent ones change nothing", () => {
  const registry = new Registry();
  for (let round = 0; round < 3; round++) {
    for (const isEvacuated of [false, false, true, true]) {
      order(registry, isEvacuated);
      const expected = isEvacuated ? ["riga-a"] : undefined;
      assert.deepEqual(evacuated(registry), expected);
    }
  }
});

// Failure: an order that its sender gave up is logged late, behind an opposite one that
// was acknowledged without a command as the state was as ordered, and undoes it.
test("an order outlives an older opposite one, also if it changes nothing", () => {
  for (const isEvacuated of [true, false]) {
    const registry = new Registry();
    order(registry, isEvacuated);
    const givenUp = commandFor(registry, !isEvacuated);
    order(registry, isEvacuated);
    registry.apply(givenUp);
    const expected = isEvacuated ? ["riga-a"] : undefined;
    assert.deepEqual(evacuated(registry), expected);
  }
});

// Failure: a command that a slow link delivers late, or twice, undoes a newer order.
test("late and repeated commands change nothing", () => {
  const registry = new Registry();
  const commands = [true, false, true].map((is) => order(registry, is));
  const { version } = registry.configuration();
  for (const command of [...commands, ...commands.toReversed()]) {
    assert.ok(command);
    registry.apply(command);
  }
  assert.deepEqual(evacuated(registry), ["riga-a"]);
  assert.equal(registry.configuration().version, version);
});

test("of two hosts with the same order at once, the second changes nothing", () => {
  const registry = new Registry();
  const [a, b] = [commandFor(registry, true), commandFor(registry, true)];
  assert.ok(a && b);
  registry.apply(a);
  const { version } = registry.configuration();
  registry.apply(b);
  assert.deepEqual(evacuated(registry), ["riga-a"]);
  assert.equal(registry.configuration().version, version);
});

test("data centres are ordered independently", () => {
  const registry = new Registry();
  order(registry, true, "riga-b");
  order(registry, true, "jelgava");
  assert.deepEqual(evacuated(registry), ["jelgava", "riga-b"]);
  order(registry, false, "riga-b");
  assert.deepEqual(evacuated(registry), ["jelgava"]);
});

// Failure: a host that restores a snapshot forgets the order, or the version of a
// withdrawn one, so that its next order has a version that others ignore.
test("a snapshot keeps orders and the versions of withdrawn ones", () => {
  const registry = new Registry();
  order(registry, true);
  order(registry, true, "riga-b");
  order(registry, false, "riga-b");
  const restored = new Registry();
  restored.restore(registry.snapshot())._unsafeUnwrap();
  assert.deepEqual(evacuated(restored), ["riga-a"]);
  const again = commandFor(restored, true, "riga-b");
  assert.equal(again?.upserts[0]?.version, 3);
  assert.deepEqual(again, commandFor(registry, true, "riga-b"));
});

// Failure: during an upgrade, hosts of this build end by an item of a newer one, or
// take its content for the request limits.
test("an item of an unknown kind changes nothing in the document", () => {
  const registry = new Registry();
  order(registry, true);
  const { document } = registry.configuration();
  const unknown = {
    kind: "later",
    name: "x",
    version: 1,
    content: { kind: "later" },
    source: "{}",
  } as unknown as Item;
  registry.apply({
    type: "put_items",
    upserts: [unknown],
    removals: [],
    at: 1,
  });
  const { revision, ...rest } = registry.configuration().document;
  assert.deepEqual({ ...rest, revision: document.revision }, document);
  assert.ok(revision > document.revision);
});

// An older build takes the last item of an unknown kind for the request limits
// unless the limits come after it, and writes the source into its list of items.
test("an order does no harm to builds that do not know it", () => {
  const registry = new Registry();
  order(registry, true);
  const [item] = registry.items();
  assert.ok(item && !isSetByPatch(item));
  assert.ok(item.kind < "limits");
  assert.equal(typeof JSON.parse(item.source), "object");
});
