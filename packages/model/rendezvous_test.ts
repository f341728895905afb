import assert from "node:assert/strict";
import { test } from "node:test";
import { rendezvousFirst, rendezvousOrder } from "./rendezvous.ts";

const CANDIDATES = ["a", "b", "c", "d", "e"].map((id) => ({ id }));

test("the order does not depend on the input order of candidates", () => {
  const forward = rendezvousOrder("alloc", CANDIDATES);
  const backward = rendezvousOrder("alloc", [...CANDIDATES].reverse());
  assert.deepEqual(forward, backward);
});

test("a lost candidate moves only its own keys", () => {
  const rest = CANDIDATES.filter(({ id }) => id !== "c");
  for (let key = 0; key < 200; key++) {
    const before = rendezvousOrder(`key-${key}`, CANDIDATES);
    const after = rendezvousOrder(`key-${key}`, rest);
    assert.deepEqual(
      after,
      before.filter(({ id }) => id !== "c"),
    );
  }
});

test("rendezvousFirst returns the first candidate of the order", () => {
  for (let key = 0; key < 200; key++) {
    const [first] = rendezvousOrder(`key-${key}`, CANDIDATES);
    assert.equal(rendezvousFirst(`key-${key}`, CANDIDATES), first);
  }
});

test("each of two candidates gets about half of the keys", () => {
  const ids = Array.from({ length: 40 }, (_, i) => ({ id: `entry-${i}` }));
  for (let i = 1; i < ids.length; i++) {
    const pair = ids.slice(i - 1, i + 1);
    let wins = 0;
    for (let key = 0; key < 1_000; key++) {
      if (rendezvousFirst(`s${key}`, pair) === pair[0]) wins++;
    }
    assert.ok(wins > 430 && wins < 570, `${pair[0]?.id} won ${wins} of 1000`);
  }
});

test("keys are distributed over all candidates", () => {
  const counts = new Map<string, number>();
  for (let key = 0; key < 1_000; key++) {
    const first = rendezvousOrder(`key-${key}`, CANDIDATES)[0]?.id ?? "";
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  for (const { id } of CANDIDATES) assert.ok((counts.get(id) ?? 0) > 120);
});
