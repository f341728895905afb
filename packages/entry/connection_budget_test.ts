import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionBudget } from "./connection_budget.ts";

/** Uses connections until there is no room, and returns their number. */
function fill(budget: ConnectionBudget, service: string): number {
  let count = 0;
  for (; budget.hasRoom(service); count++) budget.acquire(service);
  return count;
}

// Guards against a service whose servers do not answer and that takes the connections
// of all others.
test("one service leaves connections to others, which leave some again", () => {
  const budget = new ConnectionBudget(350);
  assert.equal(fill(budget, "a"), 234);
  assert.equal(fill(budget, "b"), 78);
  assert.equal(fill(budget, "c"), 26);
});

test("the connections of many services stay within the bound", () => {
  const budget = new ConnectionBudget(350);
  const counts = Array.from({ length: 400 }, (_, index) =>
    fill(budget, `s${index}`),
  );
  const total = counts.reduce((sum, count) => sum + count, 0);
  assert.equal(total, 350);
});

// Guards against a budget that shrinks with each request.
test("the room returns when requests have ended", () => {
  const budget = new ConnectionBudget(6);
  for (let round = 0; round < 10; round++) {
    const count = fill(budget, "a");
    assert.equal(count, 4);
    for (let ended = 0; ended < count; ended++) budget.release("a");
  }
});

test("without a bound there is always room", () => {
  const budget = new ConnectionBudget(Number.POSITIVE_INFINITY);
  for (let count = 0; count < 1_000; count++) budget.acquire("a");
  assert.ok(budget.hasRoom("a"));
});
