import assert from "node:assert/strict";
import { test } from "node:test";
import type { Entry, View } from "#model";
import { CONFIRMED_FOR_MS, FreshnessTracker } from "./freshness_tracker.ts";

const ADDRESS = { host: "127.0.0.1", port: 1 };

function entry(id: string, incarnation = 1): Entry {
  return {
    id,
    incarnation,
    dataCentre: "riga-a",
    http: ADDRESS,
    peer: ADDRESS,
    state: "ready",
  };
}

const VIEW: View = {
  epoch: 3,
  began: 0,
  entries: ["a", "b", "c", "d"].map((id) => entry(id)),
};
const SELF = entry("a");

function startQuery(freshness: FreshnessTracker, now: number): number {
  return freshness.startControlQuery({ steady: now, wall: now });
}

function startPeerQuery(freshness: FreshnessTracker, now: number): number {
  return freshness.startPeerQuery({ view: VIEW, version: 7, self: SELF, now });
}

test("an entry that was never confirmed accepts no calls", () => {
  assert.equal(new FreshnessTracker().isFresh(0), false);
});

test("a slow response does not extend the confirmation", () => {
  const freshness = new FreshnessTracker();
  const sequence = startQuery(freshness, 1_000);
  // However late the response is, the confirmation counts from the query.
  freshness.handleControlResponse({ sequence, version: 7, ownVersion: 7 });
  assert.equal(freshness.isFresh(1_000 + CONFIRMED_FOR_MS), true);
  assert.equal(freshness.isFresh(1_001 + CONFIRMED_FOR_MS), false);
});

// Guards against keys that are never served while control takes longer than 3 s for
// each answer, although the lease on keys lasts longer.
test("a response after 4 s confirms from its query", () => {
  const freshness = new FreshnessTracker();
  const sequence = freshness.startControlQuery({ steady: 1_000, wall: 51_000 });
  for (let steady = 2_000; steady <= 5_000; steady += 1_000)
    freshness.startControlQuery({ steady, wall: 50_000 + steady });
  freshness.handleControlResponse({ sequence, version: 7, ownVersion: 7 });
  const confirmed = { steady: 1_000, wall: 51_000 };
  assert.deepEqual(freshness.controlConfirmedAt, confirmed);
  assert.equal(freshness.isFresh(5_000), false);
});

// Guards against memory that grows while control does not answer.
test("of many queries without a response the first are forgotten", () => {
  const freshness = new FreshnessTracker();
  const first = startQuery(freshness, 0);
  for (let now = 1; now <= 1_000; now++) startQuery(freshness, now);
  const versions = { version: 7, ownVersion: 7 };
  freshness.handleControlResponse({ sequence: first, ...versions });
  assert.equal(freshness.controlConfirmedAt, undefined);
});

test("a response to no query confirms nothing", () => {
  const freshness = new FreshnessTracker();
  const sequence = startQuery(freshness, 0);
  freshness.handleControlResponse({
    sequence: sequence + 1,
    version: 7,
    ownVersion: 7,
  });
  assert.equal(freshness.isFresh(0), false);
});

test("an entry behind control's version is not confirmed", () => {
  const freshness = new FreshnessTracker();
  const sequence = startQuery(freshness, 0);
  freshness.handleControlResponse({ sequence, version: 8, ownVersion: 7 });
  assert.equal(freshness.isFresh(0), false);
});

const PEER_ROUNDS: {
  name: string;
  responses: { id: string; incarnation?: number; version: number }[];
  fresh: boolean;
}[] = [
  {
    name: "half of the view is no majority",
    responses: [{ id: "b", version: 7 }],
    fresh: false,
  },
  {
    name: "a majority at the same version confirms",
    responses: [
      { id: "b", version: 7 },
      { id: "c", version: 7 },
    ],
    fresh: true,
  },
  {
    name: "peers that lag behind still confirm",
    responses: [
      { id: "b", version: 6 },
      { id: "c", version: 2 },
    ],
    fresh: true,
  },
  {
    name: "one peer with a higher version prevents the confirmation",
    responses: [
      { id: "b", version: 8 },
      { id: "c", version: 7 },
      { id: "d", version: 7 },
    ],
    fresh: false,
  },
  {
    name: "a duplicated response counts once",
    responses: [
      { id: "b", version: 7 },
      { id: "b", version: 7 },
    ],
    fresh: false,
  },
  {
    name: "a restarted peer is not a member of the view",
    responses: [
      { id: "b", version: 7 },
      { id: "c", incarnation: 2, version: 7 },
    ],
    fresh: false,
  },
  {
    name: "an entry outside the view has no vote",
    responses: [
      { id: "b", version: 7 },
      { id: "x", version: 7 },
    ],
    fresh: false,
  },
];

for (const { name, responses, fresh } of PEER_ROUNDS) {
  test(`without control, ${name}`, () => {
    const freshness = new FreshnessTracker();
    const round = startPeerQuery(freshness, 0);
    for (const { id, incarnation = 1, version } of responses) {
      freshness.handlePeerResponse({
        peer: { id, incarnation },
        round,
        version,
      });
    }
    assert.equal(freshness.isFresh(0), fresh);
  });
}

test("responses of an earlier round do not count for a later one", () => {
  const freshness = new FreshnessTracker();
  const first = startPeerQuery(freshness, 0);
  startPeerQuery(freshness, 5_000);
  for (const id of ["b", "c", "d"]) {
    const peer = { id, incarnation: 1 };
    freshness.handlePeerResponse({ peer, round: first, version: 7 });
  }
  assert.equal(freshness.isFresh(5_000), false);
});
