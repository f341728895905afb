import assert from "node:assert/strict";
import { test } from "node:test";
import { UNSETTLED } from "#model";
import {
  holderGroupsFor,
  mayStopHolding,
  selectHolders,
  viewMarginMs,
} from "./holders.ts";
import { checkKeyAge, parseKey } from "./keys.ts";
import { entryOf, KEY, TEST_START, viewOf } from "./test_support.ts";

const KEYS: [name: string, key: string, now: number, fault?: string][] = [
  ["a fresh key", KEY, 0],
  ["a key at the end of the window", KEY, 600_000],
  ["an old key", KEY, 600_001, "key_too_old unknown"],
  ["a key 30 s ahead", KEY, -30_000],
  ["a key 31 s ahead", KEY, -31_000, "invalid_request unknown"],
  ["a key ahead of any clock", KEY, -60_001, "invalid_request not-run"],
  ["a UUIDv4", KEY.replace("-7", "-4"), 0, "invalid_request not-run"],
  ["a key that is not a UUID", "order-17", 0, "invalid_request not-run"],
];

for (const [name, key, now, fault] of KEYS) {
  test(`${name} is ${fault ?? "accepted"}`, () => {
    const result = parseKey(key).andThen((k) =>
      checkKeyAge(k, TEST_START + now),
    );
    const found = result.isErr()
      ? `${result.error.code} ${result.error.outcome}`
      : undefined;
    assert.equal(found, fault);
  });
}

test("a key in upper case is the same key", () => {
  const upper = parseKey(KEY.toUpperCase())._unsafeUnwrap();
  assert.equal(upper.text, KEY);
});

test("keys older than the listed views are rejected", () => {
  const key = parseKey(KEY)._unsafeUnwrap();
  const began = TEST_START - viewMarginMs({});
  const view = viewOf(["x"], { epoch: 5, began });
  assert.equal(holderGroupsFor(key, { view, formerViews: [] }), undefined);
  const later = { ...key, created: key.created + 1 };
  assert.equal(holderGroupsFor(later, { view, formerViews: [] })?.length, 1);
  const first = { ...view, epoch: 1 };
  assert.equal(
    holderGroupsFor(key, { view: first, formerViews: [] })?.length,
    1,
  );
});

test("a stopping entry that may exit is not needed by new keys", () => {
  const ids = ["a", "b", "c", "d"];
  const began = TEST_START;
  const all = viewOf(ids, { epoch: 1, began });
  const stopping = (id: string) => ({
    ...all,
    epoch: 2,
    entries: all.entries.map((e) =>
      e.id === id ? { ...e, state: "stopping" as const } : e,
    ),
  });
  const holder = { id: "a", incarnation: all.entries[0]?.incarnation ?? 0 };
  const views = (ended: number) => ({
    view: stopping("a"),
    formerViews: [{ ...all, ended }],
  });
  const ended = TEST_START + 1_000;
  const at = ended + viewMarginMs({});
  assert.equal(
    mayStopHolding(holder, { view: all, formerViews: [] }, at),
    false,
  );
  assert.equal(mayStopHolding(holder, views(UNSETTLED), at + 1), false);
  assert.equal(mayStopHolding(holder, views(ended), at), false);
  assert.equal(mayStopHolding(holder, views(ended), at + 1), true);
  // Keys that are created later do not have it as a holder.
  for (let i = 0; i < 100; i++) {
    const key = { text: `key-${i}`, created: at + 1 };
    const groups = holderGroupsFor(key, views(ended)) ?? [];
    assert.ok(groups.length > 0);
    assert.ok(groups.every((g) => g.holders.every(({ id }) => id !== "a")));
  }
});

test("holders are in different data centres", () => {
  const centres = ["a1", "a2", "a3", "b1", "b2", "c1", "c2"];
  const entries = centres.map((id) =>
    entryOf(id, { dataCentre: id.slice(0, 1) }),
  );
  for (let key = 0; key < 100; key++) {
    const view = { epoch: 1, began: 0, entries };
    const { holders } = selectHolders(`key-${key}`, view);
    const found = holders.map(({ id }) => id.slice(0, 1)).sort();
    assert.deepEqual(found, ["a", "b", "c"]);
  }
});
