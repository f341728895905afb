import assert from "node:assert/strict";
import { test } from "node:test";
import {
  CONFIGURATION_DECODERS,
  diffConfigurations,
  EMPTY_CONFIGURATION,
} from "#configuration";
import { type HostRoute, MAX_ROUTE_TIMEOUT_MS } from "#model";
import { type Item, Registry } from "#registry";
import { encodeFrame, FrameReader } from "#wire";

const ROUTE: HostRoute = {
  name: "lookup",
  host: "a.example",
  pathPrefix: "/",
  repeatable: true,
  timeoutMs: 1_000,
  targetMs: 600,
  attempts: 1,
  rank: 1,
  targets: [{ service: "alloc", weight: 1 }],
};
const LIMITS = {
  headerMaxBytes: 1,
  bodyMaxBytes: 1,
  headerTimeoutMs: 1,
  idleConnectionMs: 1,
};
const INFINITE = Number.POSITIVE_INFINITY;

/** Items of a service, a route and limits, as an earlier build may hold them. */
function storedItems(route: Partial<HostRoute>, limits: object): Item[] {
  const about = { version: 1, source: "{}" };
  const service = { name: "alloc", healthPath: "/", connectionsPerServer: 1 };
  return [
    {
      ...{ ...about, kind: "service", name: "alloc" },
      content: { kind: "service", service },
    },
    {
      ...{ ...about, kind: "route", name: "lookup" },
      content: { kind: "route", route: { ...ROUTE, ...route } },
    },
    {
      ...{ ...about, kind: "limits", name: "limits" },
      content: { kind: "limits", limits: { ...LIMITS, ...limits } },
    },
  ];
}

// Guards against entries that take no configuration at all, since one value that an
// earlier build has accepted makes them refuse the message.
for (const [name, route, limits] of [
  ["an infinite target", { targetMs: INFINITE }, {}],
  ["a target below 0", { targetMs: -1 }, {}],
  ["an infinite idle time", {}, { idleConnectionMs: INFINITE }],
  ["an idle time below any number", {}, { idleConnectionMs: -INFINITE }],
  ["an infinite header time", {}, { headerTimeoutMs: INFINITE }],
  ["infinite attempts and rank", { attempts: INFINITE, rank: INFINITE }, {}],
] as const) {
  test(`an entry takes up a stored configuration with ${name}`, () => {
    const registry = new Registry();
    const upserts = storedItems(route, limits);
    const command = {
      type: "put_items",
      upserts,
      removals: [],
      at: 1,
    } as const;
    assert.equal(registry.apply(command).type, "items_held");
    const configuration = registry.configuration();
    const change = diffConfigurations(EMPTY_CONFIGURATION, configuration);
    const frame = encodeFrame("state", { version: 1, change, ageMs: 0 });
    const [received] = new FrameReader()
      .push(frame._unsafeUnwrap())
      ._unsafeUnwrap();
    const decoded = CONFIGURATION_DECODERS.state.safeParse(received?.payload);
    assert.ok(decoded.success, decoded.error?.message);
  });
}

// Guards against requests for slots that their dispatcher refuses, together with
// those of other calls in the same message.
test("a route's target is bounded by the longest timeout in its class", () => {
  const registry = new Registry();
  const upserts = storedItems({ targetMs: 1e300 }, {});
  registry.apply({ type: "put_items", upserts, removals: [], at: 1 });
  const [service] = registry.configuration().document.services;
  assert.equal(service?.classes[0]?.targetMs, MAX_ROUTE_TIMEOUT_MS);
});
