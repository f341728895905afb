import assert from "node:assert/strict";
import { test } from "node:test";
import { CallDurations } from "./call_durations.ts";

const LIMIT_MS = 5_000;

// Guards against calls that a stop cuts since nothing was known of their class
// but its objective.
test("the time that a call has stands for durations that are not known", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 5; i++) durations.recordWork(2_000, i);
  const expected = { totalMs: LIMIT_MS, workMs: LIMIT_MS };
  assert.deepEqual(durations.expected(LIMIT_MS, 10), expected);
});

// Guards against a stop that cuts one call of twenty.
test("one slow call of a hundred is expected again", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 99; i++) durations.recordWork(100, i);
  durations.recordWork(4_000, 99);
  const { workMs } = durations.expected(LIMIT_MS, 100);
  assert.ok(workMs >= 4_000 && workMs < 4_400, String(workMs));
});

test("no call is expected to last longer than it has time", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 20; i++) durations.recordTotal(9_000, i);
  assert.equal(durations.expected(LIMIT_MS, 100).totalMs, LIMIT_MS);
});

// Guards against calls that are taken on for the mean duration of their class.
test("the expected durations are those of slow calls", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 90; i++) durations.recordWork(100, i);
  for (let i = 0; i < 10; i++) durations.recordWork(4_000, i);
  const { workMs } = durations.expected(LIMIT_MS, 100);
  assert.ok(Math.abs(workMs - 4_000) < 400, String(workMs));
});

test("the wait for a server counts in the total only", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 20; i++) {
    durations.recordWork(100, i);
    durations.recordTotal(3_000, i);
  }
  const { totalMs, workMs } = durations.expected(LIMIT_MS, 100);
  assert.ok(workMs < 200 && totalMs > 2_700, `${workMs} ${totalMs}`);
});
