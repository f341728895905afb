import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import type { HostRoute } from "#model";
import type { Item, ItemRemoval, PutItems } from "./items.ts";
import { Registry } from "./registry.ts";

function service(name: string, version = 1): Item {
  const content = {
    kind: "service",
    service: { name, healthPath: "/health", connectionsPerServer: 260 },
  } as const;
  return {
    kind: "service",
    name,
    version,
    content,
    source: `${name}${version}`,
  };
}

function route(
  name: string,
  version = 1,
  overrides: Partial<HostRoute> = {},
): Item {
  const content = {
    kind: "route",
    route: {
      name,
      host: "a.example",
      pathPrefix: "/x/",
      repeatable: true,
      timeoutMs: 2_000,
      targetMs: 600,
      attempts: 2,
      rank: 2,
      targets: [{ service: "alloc", weight: 1 }],
      ...overrides,
    },
  } as const;
  return { kind: "route", name, version, content, source: `${name}${version}` };
}

function putItems(
  upserts: readonly Item[],
  removals: readonly ItemRemoval[] = [],
): PutItems {
  return { type: "put_items", upserts, removals, at: 1_000 };
}

const removal = (name: string, version: number): ItemRemoval => ({
  kind: "route",
  name,
  version,
});

function sources(registry: Registry): string[] {
  return registry.items().map(({ source }) => source);
}

function registryWithItems(): Registry {
  const registry = new Registry();
  const reply = registry.apply(putItems([service("alloc"), route("r1")]));
  assert.equal(reply.type, "items_held");
  return registry;
}

test("the highest version of an item wins in any order", () => {
  const registry = registryWithItems();
  registry.apply(putItems([route("r1", 9)]));
  registry.apply(putItems([route("r1", 7)]));
  assert.deepEqual(sources(registry), ["r19", "alloc1"]);
});

test("an older change does not restore a removed item", () => {
  const registry = registryWithItems();
  registry.apply(putItems([], [removal("r1", 5)]));
  const late = registry.apply(putItems([route("r1", 4)]));
  assert.equal(late.type, "items_held");
  assert.deepEqual(sources(registry), ["alloc1"]);
  registry.apply(putItems([route("r1", 6)]));
  assert.deepEqual(sources(registry), ["r16", "alloc1"]);
});

test("a resent change is acknowledged and changes nothing", () => {
  const registry = registryWithItems();
  const { version } = registry.configuration();
  const reply = registry.apply(putItems([service("alloc"), route("r1")]));
  assert.deepEqual(reply, { type: "items_held", version });
});

test("other content with the current version is ignored", () => {
  const registry = registryWithItems();
  registry.apply(putItems([route("r1", 1, { pathPrefix: "/y/" })]));
  const [held] = registry.configuration().document.hostRoutes;
  assert.equal(held?.pathPrefix, "/x/");
});

const INVALID: Record<string, Partial<HostRoute>> = {
  "an unknown service": { targets: [{ service: "gone", weight: 1 }] },
  "weights that add up to 0": {
    targets: [{ service: "alloc", weight: 0 }],
  },
  "no service": { targets: [] },
  "a weight below 0": {
    targets: [
      { service: "alloc", weight: 2 },
      { service: "alloc", weight: -1 },
    ],
  },
  "a timeout above ten minutes": { timeoutMs: 600_001 },
  "no attempts": { attempts: 0 },
  "a path prefix without a slash": { pathPrefix: "x/" },
};

for (const [name, overrides] of Object.entries(INVALID)) {
  test(`a change with ${name} is refused as a whole`, () => {
    const registry = registryWithItems();
    const before = registry.configuration();
    const change = putItems([route("r2", 3), route("r3", 3, overrides)]);
    assert.equal(registry.apply(change).type, "items_invalid");
    assert.deepEqual(registry.configuration(), before);
    assert.deepEqual(sources(registry), ["r11", "alloc1"]);
  });
}

test("a service that a route refers to cannot be removed", () => {
  const registry = registryWithItems();
  const serviceRemoval = {
    kind: "service",
    name: "alloc",
    version: 5,
  } as const;
  assert.equal(
    registry.apply(putItems([], [serviceRemoval])).type,
    "items_invalid",
  );
});

test("routes to a service become its request classes", () => {
  const registry = registryWithItems();
  registry.apply(putItems([route("r2", 1, { repeatable: false, rank: 1 })]));
  const [alloc] = registry.configuration().document.services;
  assert.deepEqual(
    alloc?.classes.map(({ priority, repeatable }) => [priority, repeatable]),
    [
      ["urgent", false],
      ["patient", true],
    ],
  );
});

test("items, leaving servers and control hosts survive a snapshot", () => {
  const registry = registryWithItems();
  registry.apply(putItems([], [removal("r1", 5)]));
  const servers = [{ id: "i-1", incarnation: 7 }];
  registry.apply({ type: "servers_leaving", servers, at: 2_000 });
  const controls = [{ id: "10.0.0.1", peer: { host: "10.0.0.1", port: 1 } }];
  registry.apply({ type: "controls_changed", controls, at: 2_000 });
  const restored = new Registry();
  assert.ok(restored.restore(registry.snapshot()).isOk());
  assert.deepEqual(restored.configuration(), registry.configuration());
  restored.apply(putItems([route("r1", 4)]));
  assert.deepEqual(sources(restored), ["alloc1"]);
});

test("a server is leaving until a later incarnation starts", () => {
  const registry = new Registry();
  const leave = (incarnation: number) => ({
    type: "servers_leaving" as const,
    servers: [{ id: "i-1", incarnation }],
    at: 1_000,
  });
  assert.equal(registry.apply(leave(7)).type, "done");
  assert.equal(registry.apply(leave(6)).type, "unchanged");
  assert.equal(registry.configuration().leaving[0]?.incarnation, 7);
});

test("replicas agree for any order and repetition of changes", () => {
  const change = fc.record({
    name: fc.constantFrom("r1", "r2", "r3"),
    version: fc.integer({ min: 2, max: 40 }),
    removes: fc.boolean(),
  });
  return fc.assert(
    fc.property(
      fc.uniqueArray(change, {
        selector: ({ name, version }) => `${name}/${version}`,
      }),
      fc.infiniteStream(fc.nat()),
      (changes, order) => {
        const commands = changes.map(({ name, version, removes }) =>
          removes
            ? putItems([], [removal(name, version)])
            : putItems([route(name, version)]),
        );
        const shuffled = [...commands, ...commands]
          .map((command) => ({ command, rank: order.next().value ?? 0 }))
          .sort((a, b) => a.rank - b.rank);
        const first = registryWithItems();
        const second = registryWithItems();
        for (const command of commands) first.apply(command);
        for (const { command } of shuffled) second.apply(command);
        assert.deepEqual(sources(second), sources(first));
      },
    ),
    { seed: 20_261_203, numRuns: 300 },
  );
});

// An older change that arrived late brought a route into force without its service,
// which a newer change had dropped (review of 4 December 2026).
test("a route to a service that was dropped with a higher version is found", () => {
  const registry = new Registry();
  registry.apply(putItems([service("alloc", 1), service("report", 1)]));
  const dropped = { kind: "service", name: "report", version: 9 } as const;
  registry.apply(putItems([], [dropped]));
  const targets = [{ service: "report", weight: 1 }];
  const older = [service("report", 8), route("export", 8, { targets })];
  const [fault] = registry.after([]).droppedTargets({ upserts: older });
  assert.equal(fault?.name, "export");
  assert.equal(fault?.found, "report");
  const others = [service("report", 8), route("lookup", 8)];
  assert.deepEqual(registry.after([]).droppedTargets({ upserts: others }), []);
  const newer = [service("report", 10), route("export", 8, { targets })];
  assert.deepEqual(registry.after([]).droppedTargets({ upserts: newer }), []);
});

// Failure: a change that was accepted is refused when it is sent again.
test("a change that was overtaken leads to no dropped service", () => {
  const registry = new Registry();
  const targets = [{ service: "report", weight: 1 }];
  const change = [
    service("alloc", 1),
    service("report", 1),
    route("export", 1, { targets }),
  ];
  registry.apply(putItems(change));
  const dropped = { kind: "service", name: "report", version: 9 } as const;
  registry.apply(putItems([route("export", 9)], [dropped]));
  assert.deepEqual(registry.after([]).droppedTargets({ upserts: change }), []);
});
