import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULT_QUOTA_BOUNDS as bounds, quotaTable } from "./limits.ts";
import type { QuotaAsk, TenantAsk } from "./messages.ts";
import { QuotaOwner } from "./quota_owner.ts";
import { entryRecord } from "./simulated_entry.ts";

const IDS = ["a", "b", "c", "d"];
const VIEW = { epoch: 1, began: 0, entries: IDS.map(entryRecord) };
const INCARNATION = 7;
const tableOf = (ratePerS: number, burst = ratePerS) =>
  quotaTable([{ name: "t", keyHashes: [], ratePerS, burst }], bounds);

function createOwner(ratePerS = 100): QuotaOwner {
  const owner = new QuotaOwner({ incarnation: INCARNATION, bounds });
  owner.configure(tableOf(ratePerS), { view: VIEW, entries: 4, now: 0 });
  return owner;
}

function ask(
  sequence: number,
  options: { stamp?: number; asks?: TenantAsk[]; incarnation?: number } = {},
): QuotaAsk {
  const { stamp, asks = [], incarnation = INCARNATION } = options;
  const votes = { shardCount: 1, shards: [0], entries: 4 };
  return stamp === undefined
    ? { sequence, asks }
    : { sequence, asks, votes, stamp: { incarnation, ms: stamp } };
}

const from = (id: string, incarnation = 1) => ({ id, incarnation });

/** Lets entries vote at a time. */
function vote(owner: QuotaOwner, ids: readonly string[], now: number): void {
  for (const id of ids) {
    owner.receive(from(id), ask(now + 1, { stamp: now }), now);
  }
}

const take = (owner: QuotaOwner, now: number, wanted = 1_000) =>
  owner.receive(from("e"), ask(now + 1, { asks: [["t", wanted]] }), now)
    ?.grants[0]?.[1];

test("an owner grants in proportion to its votes", () => {
  const owner = createOwner();
  assert.equal(take(owner, 0), 0);
  vote(owner, ["a", "b"], 10);
  assert.equal(owner.share(0), 0.5);
  owner.receive(from("c"), ask(1, { asks: [["t", 1_000]] }), 1_010);
  const grant = owner.receive(from("c"), ask(2, { asks: [["t", 99]] }), 1_110);
  // 50 tokens a second: the first question took those of the first second.
  assert.equal(grant?.grants[0]?.[1], 5);
});

// Guards against two full buckets: the one that was left, and that of the new owner.
test("a bucket keeps no more than its share when votes leave", () => {
  const owner = createOwner();
  vote(owner, IDS, 0);
  vote(owner, IDS, 1_000);
  vote(owner, IDS, 2_000);
  vote(owner, ["a"], 3_400);
  owner.tick({ entries: 4, now: 3_600 });
  assert.equal(owner.share(0), 0.25);
  const tokens = take(owner, 3_600);
  // A quarter of the burst and the 12 spare tokens.
  assert.ok(tokens !== undefined && tokens <= 28, `${tokens} tokens`);
});

test("votes with the stamp of a former process or an old one do not count", () => {
  const owner = createOwner();
  owner.receive(from("a"), ask(1, { stamp: 10, incarnation: 6 }), 20);
  owner.receive(from("b"), ask(1, { stamp: 0 }), 1_500);
  owner.receive(from("c"), ask(1, { stamp: 2_000 }), 1_500);
  assert.equal(owner.share(0), 0);
});

test("a vote of an entry that is not in the view does not count", () => {
  const owner = createOwner();
  vote(owner, ["x"], 0);
  assert.equal(owner.share(0), 0);
});

// Guards against a delayed message that brings back a vote that was withdrawn.
test("duplicated and reordered messages change nothing", () => {
  const owner = createOwner();
  const first = ask(1, { stamp: 0, asks: [["t", 1]] });
  assert.ok(owner.receive(from("a"), first, 100));
  assert.equal(owner.receive(from("a"), first, 101), undefined);
  owner.receive(from("a"), ask(3), 200);
  assert.equal(owner.share(0), 0);
  assert.equal(owner.receive(from("a"), ask(2, { stamp: 0 }), 201), undefined);
  assert.equal(owner.share(0), 0);
  // A new process counts its messages from 1.
  assert.ok(owner.receive(from("a", 2), ask(1), 300));
  assert.equal(owner.receive(from("a", 1), ask(9), 301), undefined);
});

test("a lower limit binds at once and a higher one adds no tokens", () => {
  const owner = createOwner();
  for (const now of [0, 1_000, 2_000]) vote(owner, IDS, now);
  owner.configure(tableOf(1), { view: VIEW, entries: 4, now: 2_000 });
  owner.configure(tableOf(100), { view: VIEW, entries: 4, now: 2_001 });
  const tokens = take(owner, 2_001);
  // The burst of the lower limit and the 12 spare tokens.
  assert.ok(tokens !== undefined && tokens <= 13, `${tokens} tokens`);
});

test("entries that are refused get turns one after the other", () => {
  const owner = createOwner(10);
  vote(owner, IDS, 0);
  take(owner, 0);
  const turns = ["b", "c", "d"].map((id) => {
    const question = ask(500, { stamp: 0, asks: [["t", 1]] });
    return owner.receive(from(id), question, 1)?.grants[0]?.[2] ?? 0;
  });
  const [first = 0, second = 0, third = 0] = turns;
  assert.ok(first >= 20 && second >= first + 99 && third >= second + 99);
});

// Guards against refusals as over the quota by a standby that few entries ask.
test("an owner with few votes names no time", () => {
  const owner = createOwner();
  vote(owner, ["a"], 0);
  const question = ask(9, { stamp: 0, asks: [["t", 500]] });
  const grant = owner.receive(from("b"), question, 1)?.grants[0];
  assert.ok(grant && grant[1] < 500);
  assert.equal(owner.share(0), 0.5);
  assert.ok(grant[2] > 0);
  owner.receive(from("b"), ask(10), 2);
  const later = owner.receive(from("b"), ask(11, { asks: [["t", 5]] }), 3);
  assert.equal(later?.grants[0]?.[2], 0);
});
