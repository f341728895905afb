import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ManualClock } from "#model";
import { type Logger, SilentLogger } from "#telemetry";
import { AttemptResources } from "./attempt_resources.ts";
import {
  HeldResources,
  RESOURCE_KINDS,
  type ResourceKind,
} from "./held_resources.ts";

const DEADLINE = 2_000;
const OWNER = { service: "alloc", requestId: "r1", deadline: DEADLINE };
const SEED = 68;

function createRegistry() {
  const clock = new ManualClock();
  const lines: unknown[] = [];
  const logger = Object.assign(new SilentLogger(), {
    error: (message: string, fields: unknown) => lines.push([message, fields]),
  }) as unknown as Logger;
  return { clock, lines, registry: new HeldResources({ clock, logger }) };
}

function total(registry: HeldResources): number {
  return registry.counts().reduce((sum, [, count]) => sum + count, 0);
}

type Step = readonly ["take" | "end" | "giveBack" | "release", ResourceKind];

// Failure: something that an attempt has taken is never given back, or twice, in some
// order of its ends.
test("in all orders, what was taken ends once, and nothing is held after a release", () => {
  const steps = fc.array(
    fc.tuple(
      fc.constantFrom("take", "end", "giveBack", "release" as const),
      fc.constantFrom(...RESOURCE_KINDS),
    ),
  );
  const property = fc.property(steps, (drawn) => {
    const { registry } = createRegistry();
    const resources = new AttemptResources(registry, OWNER);
    const ends: number[] = [];
    const held = new Set<ResourceKind>();
    for (const [action, kind] of drawn as Step[]) {
      if (action === "release") {
        resources.release();
        held.clear();
        continue;
      }
      if (action === "take") {
        // An attempt takes one of each kind.
        if (held.has(kind)) continue;
        const at = ends.push(0) - 1;
        resources.take(kind, () => {
          ends[at] = (ends[at] ?? 0) + 1;
        });
        held.add(kind);
      } else {
        resources[action](kind);
        held.delete(kind);
      }
    }
    resources.release();
    assert.equal(total(registry), 0);
    assert.ok(ends.every((count) => count <= 1));
  });
  fc.assert(property, { seed: SEED });
});

// Failure: a slot that is granted as its call ends is held for good.
test("what is taken after the release is given back at once", () => {
  const { registry } = createRegistry();
  const resources = new AttemptResources(registry, OWNER);
  resources.release();
  let given = 0;
  resources.take("server_slot", () => {
    given += 1;
  });
  assert.equal(given, 1);
  assert.equal(total(registry), 0);
});

// Failure: operators learn of a leak only when a service has no slot left.
test("what is held after the deadline of its call is logged once", () => {
  const { registry, clock, lines } = createRegistry();
  const recordEnd = registry.take("server_slot", OWNER);
  clock.advance(DEADLINE + 999);
  registry.logOverdue();
  assert.deepEqual(lines, []);
  clock.advance(1);
  registry.logOverdue();
  registry.logOverdue();
  const fields = { kind: "server_slot", requestId: "r1", service: "alloc" };
  assert.deepEqual(lines, [
    [
      "resource held after the deadline of its call",
      { ...fields, heldMs: DEADLINE + 1_000, overdueMs: 1_000 },
    ],
  ]);
  recordEnd();
  assert.equal(total(registry), 0);
});
