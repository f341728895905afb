import assert from "node:assert/strict";
import { test } from "node:test";
import { type Entry, SeededRandomness } from "#model";
import {
  ADDRESS_KEEP_MS,
  type AddressesResponse,
  AddressLookup,
  type LookupState,
  SERVE_AFTER_STOPPING_MS,
} from "./address_lookup.ts";
import type { EntryLoad } from "./presence.ts";
import { LOST_AFTER_MS } from "./timings.ts";

const REGIONS = { latvia: ["riga-a", "riga-b"], colombia: ["bga-norte"] };

type EntryFixture = Partial<EntryLoad> & { dataCentre?: string };

/** A state with one entry per given id. */
function state(given: Readonly<Record<string, EntryFixture>>): LookupState {
  const entries = Object.entries(given).map(
    ([id, { dataCentre = "riga-a" }]): Entry => ({
      id,
      incarnation: 1,
      dataCentre,
      http: { host: id, port: 8080 },
      peer: { host: id, port: 8081 },
      state: "ready",
    }),
  );
  const loads = new Map(
    Object.entries(given).map(([id, values]) => [
      id,
      { load: 0, stopping: false, reachable: true, ...values },
    ]),
  );
  const view = { epoch: 1, began: 0, entries };
  return { view, loads, regions: REGIONS };
}

function lookUp(
  lookupState: LookupState,
  { seed = 1, dataCentre = "riga-a" } = {},
) {
  const lookup = new AddressLookup(new SeededRandomness(seed));
  return lookup.selectAddresses({ dataCentre }, lookupState);
}

function hosts({ addresses }: AddressesResponse): string[] {
  return addresses.map(({ host }) => host).sort();
}

for (const [failure, given, expected] of [
  ["callers sent to a stopping entry", { a: {}, b: { stopping: true } }, "a"],
  ["callers sent to an overloaded entry", { a: {}, b: { load: 97 } }, "a"],
  [
    "callers sent to a lost entry",
    { a: {}, b: {}, c: { reachable: false } },
    "a b",
  ],
  [
    "an empty response: all overloaded",
    { a: { load: 99 }, b: { load: 99 } },
    "a b",
  ],
  ["an empty response: all stopping", { a: { stopping: true } }, "a"],
  [
    "a stopping entry rather than an overloaded one",
    { a: { stopping: true }, b: { load: 99 } },
    "b",
  ],
  [
    "an isolated entry names only itself",
    { a: {}, b: { reachable: false }, c: { reachable: false } },
    "a b c",
  ],
] as const) {
  test(`address lookup: guards against "${failure}"`, () => {
    assert.equal(hosts(lookUp(state(given))).join(" "), expected);
  });
}

test("near entries get all calls and one farther entry is the fallback", () => {
  const otherRegion = { dataCentre: "bga-norte" };
  const given = {
    a: {},
    b: {},
    c: { dataCentre: "riga-b" },
    d: otherRegion,
    e: otherRegion,
  };
  const { addresses } = lookUp(state(given));
  const weights = Object.fromEntries(addresses.map((a) => [a.host, a.weight]));
  assert.deepEqual(weights, { a: 0.5, b: 0.5, c: 0 });
});

test("a busy data centre spills over to an idle one, not to a busy one", () => {
  const sameRegion = { dataCentre: "riga-b" };
  const spilloverWeight = (farLoad: number) => {
    const given = {
      a: { load: 85 },
      b: { load: 85 },
      c: { load: farLoad, ...sameRegion },
    };
    return lookUp(state(given)).addresses.find(({ host }) => host === "c")
      ?.weight;
  };
  assert.deepEqual([spilloverWeight(20), spilloverWeight(85)], [0.5, 0]);
});

test("weights follow spare capacity and callers are spread over all entries", () => {
  const given: Record<string, EntryFixture> = {};
  for (let i = 0; i < 18; i++) given[`e${i}`] = { load: i < 9 ? 20 : 60 };
  const shares = new Map<string, number>();
  const lookup = new AddressLookup(new SeededRandomness(1));
  const lookupState = state(given);
  for (let caller = 0; caller < 3_000; caller++) {
    const { addresses } = lookup.selectAddresses(
      { dataCentre: "riga-a" },
      lookupState,
    );
    for (const { host, weight } of addresses) {
      shares.set(host, (shares.get(host) ?? 0) + weight);
    }
  }
  const groupShares = (from: number) =>
    Array.from({ length: 9 }, (_, i) => shares.get(`e${from + i}`) ?? 0);
  const [idle, busy] = [groupShares(0), groupShares(9)];
  for (const shared of [idle, busy]) {
    assert.ok(Math.max(...shared) < 1.25 * Math.min(...shared));
  }
  const ratio = idle.reduce((a, b) => a + b) / busy.reduce((a, b) => a + b);
  assert.ok(ratio > 1.6 && ratio < 2.4, `ratio ${ratio}`);
});

test("the same seed gives the same response", () => {
  const given: Record<string, EntryFixture> = {};
  for (let i = 0; i < 18; i++) given[`e${i}`] = {};
  const responses = [1, 1, 2].map((seed) => lookUp(state(given), { seed }));
  assert.deepEqual(responses[0], responses[1]);
  assert.notDeepEqual(responses[0], responses[2]);
  assert.equal(responses[0]?.addresses.length, 6);
});

test("a stopping entry serves until every response that names it has expired", () => {
  assert.ok(SERVE_AFTER_STOPPING_MS >= LOST_AFTER_MS + ADDRESS_KEEP_MS);
});

// Guards against lookups that go on naming entries that reach no server, and
// against a data centre whose callers crowd at its last entry.
test("entries that are cut off get no callers unless they are most of them", () => {
  const given = state({ a: {}, b: {}, c: {}, d: { dataCentre: "riga-b" } });
  const near = (cutOff: readonly string[]) =>
    lookUp({ ...given, cutOff: new Set(cutOff) })
      .addresses.filter(({ weight }) => weight > 0)
      .map(({ host }) => host)
      .sort();
  assert.deepEqual(near(["a"]), ["b", "c"]);
  assert.deepEqual(near(["a", "b"]), ["a", "b", "c"]);
  assert.deepEqual(near(["a", "b", "c", "d"]), ["a", "b", "c"]);
});
