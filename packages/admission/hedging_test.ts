import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "#model";
import { HedgedCall, HedgePolicy } from "./hedging.ts";
import { RetryBudget } from "./retry_budget.ts";

function budgetOf(percent: number, clock = new ManualClock()) {
  return new RetryBudget({ percent, clock });
}

test("retries stay within their share of calls", () => {
  const budget = budgetOf(10);
  let retries = 0;
  for (let call = 0; call < 10_000; call++) {
    budget.countCall();
    while (budget.tryTake()) retries++;
  }
  assert.ok(retries >= 999 && retries <= 1_005, `${retries}`);
});

test("a quiet service may retry, but not with a share of 0", () => {
  for (const [percent, earned] of [
    [10, 5],
    [0, 0],
  ] as const) {
    const clock = new ManualClock();
    const budget = budgetOf(percent, clock);
    while (budget.tryTake());
    clock.advance(60_000);
    assert.equal(budget.available, earned);
  }
});

test("a busy hour does not allow a retry storm", () => {
  const budget = budgetOf(10);
  for (let call = 0; call < 100_000; call++) budget.countCall();
  assert.equal(budget.available, 50);
});

function hedgingAfter(latencies: number) {
  const hedging = new HedgePolicy();
  for (let n = 1; n <= latencies; n++) hedging.observe(n, 0);
  return hedging;
}

test("a hedge waits for the quantile of the recent latencies", () => {
  const hedging = hedgingAfter(100);
  const delay = hedging.delayMs(1) ?? 0;
  assert.ok(delay >= 90 && delay <= 105, `${delay}`);
  assert.notEqual(hedging.delayMs(15_001), undefined);
  assert.equal(hedging.delayMs(60_000), undefined);
  // The same without a call in between.
  assert.equal(hedgingAfter(100).delayMs(60_000), undefined);
});

const CALL = { repeatable: true, deadline: 1_000 };
test("no hedge for bookings, near the deadline or on few latencies", () => {
  const hedging = hedgingAfter(100);
  assert.notEqual(hedging.hedgeAt(CALL, 1), undefined);
  assert.equal(hedging.hedgeAt({ ...CALL, repeatable: false }, 1), undefined);
  assert.equal(hedging.hedgeAt({ ...CALL, deadline: 100 }, 1), undefined);
  assert.equal(hedgingAfter(39).hedgeAt(CALL, 1), undefined);
});

test("the first answer wins and the other attempt is cancelled", () => {
  const call = new HedgedCall();
  call.start("first");
  assert.equal(call.tryHedge("hedge", budgetOf(10)), true);
  assert.equal(call.tryHedge("third", budgetOf(10)), false);
  assert.deepEqual(call.end("hedge", true), { final: true, cancel: ["first"] });
  // A second answer must not reach the caller.
  assert.deepEqual(call.end("first", true), { final: false, cancel: [] });
});

test("a failed attempt leaves the call to the other one", () => {
  const call = new HedgedCall();
  call.start("first");
  call.tryHedge("hedge", budgetOf(10));
  assert.deepEqual(call.end("first", false), { final: false, cancel: [] });
  assert.deepEqual(call.end("hedge", false), { final: true, cancel: [] });
});

test("no hedge without budget or after the answer", () => {
  const spent = budgetOf(10);
  while (spent.tryTake());
  const call = new HedgedCall();
  call.start("first");
  assert.equal(call.tryHedge("hedge", spent), false);
  call.end("first", true);
  assert.equal(call.tryHedge("hedge", budgetOf(10)), false);
});
