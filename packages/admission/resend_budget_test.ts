import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "#model";
import { ResendBudget } from "./resend_budget.ts";

const LIMIT = { windowMs: 10_000, share: 0.2, extra: 66 };

// Every entry resends whenever it may; no window may exceed the common limit.
test("all entries together stay within the limit in every window", () => {
  const clock = new ManualClock();
  const entries = Array.from(
    { length: 18 },
    () => new ResendBudget({ clock, limit: LIMIT, entries: () => 18 }),
  );
  const calls: number[] = [];
  const resends: number[] = [];
  for (let step = 0; step < 600; step++) {
    clock.advance(50);
    const busy = step % 200 < 100;
    for (const [index, budget] of entries.entries()) {
      if (busy && (step + index) % 3 === 0) {
        budget.countCall();
        calls.push(clock.now());
      }
      while (budget.tryTake()) resends.push(clock.now());
    }
  }
  assert.ok(resends.length > 100);
  for (let end = 0; end <= clock.now(); end += 100) {
    const within = (at: number) => at > end - LIMIT.windowMs && at <= end;
    const allowed = calls.filter(within).length * LIMIT.share + LIMIT.extra;
    const sent = resends.filter(within).length;
    assert.ok(sent <= allowed, `${sent} of ${allowed} at ${end}`);
  }
});

test("an entry with few calls may resend once", () => {
  const clock = new ManualClock();
  const limit = { ...LIMIT, extra: 0 };
  const budget = new ResendBudget({ clock, limit, entries: () => 100 });
  assert.equal(budget.tryTake(), false);
  for (let i = 0; i < 10; i++) budget.countCall();
  assert.equal(budget.tryTake(), true);
  assert.equal(budget.tryTake(), false);
});
