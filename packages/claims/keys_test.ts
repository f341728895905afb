import assert from "node:assert/strict";
import { test } from "node:test";
import { groupsFor, holdersOf, VIEW_MARGIN_MS } from "./holders.ts";
import { checkAge, parseKey } from "./keys.ts";
import { EPOCH, entryOf, KEY, viewOf } from "./test_support.ts";

const KEYS: [name: string, key: string, now: number, fault?: string][] = [
  ["a fresh key", KEY, 0],
  ["a key at the end of the window", KEY, 600_000],
  ["an old key", KEY, 600_001, "key_too_old unknown"],
  ["a key 30 s ahead", KEY, -30_000],
  ["a key 31 s ahead", KEY, -31_000, "invalid_request unknown"],
  ["a key that no clock took", KEY, -60_001, "invalid_request not-run"],
  ["a UUIDv4", KEY.replace("-7", "-4"), 0, "invalid_request not-run"],
  ["no UUID", "order-17", 0, "invalid_request not-run"],
];

for (const [name, key, now, fault] of KEYS) {
  test(`${name} is ${fault ?? "taken"}`, () => {
    const result = parseKey(key).andThen((k) => checkAge(k, EPOCH + now));
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

test("views that the configuration no longer lists stop older keys", () => {
  const key = parseKey(KEY)._unsafeUnwrap();
  const began = EPOCH - VIEW_MARGIN_MS;
  const view = viewOf(["x"], { epoch: 5, began });
  assert.equal(groupsFor(key, { view, formerViews: [] }), undefined);
  const later = { ...key, created: key.created + 1 };
  assert.equal(groupsFor(later, { view, formerViews: [] })?.length, 1);
  const first = { ...view, epoch: 1 };
  assert.equal(groupsFor(key, { view: first, formerViews: [] })?.length, 1);
});

test("holders are in different data centres", () => {
  const centres = ["a1", "a2", "a3", "b1", "b2", "c1", "c2"];
  const entries = centres.map((id) =>
    entryOf(id, { dataCentre: id.slice(0, 1) }),
  );
  for (let key = 0; key < 100; key++) {
    const view = { epoch: 1, began: 0, entries };
    const { holders } = holdersOf(`key-${key}`, view);
    const found = holders.map(({ id }) => id.slice(0, 1)).sort();
    assert.deepEqual(found, ["a", "b", "c"]);
  }
});
