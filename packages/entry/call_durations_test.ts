import assert from "node:assert/strict";
import { test } from "node:test";
import { CallDurations } from "./call_durations.ts";

const OBJECTIVE_MS = 500;

test("the objective stands for durations that are not known", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 5; i++) durations.recordWork(2_000, i);
  const expected = { totalMs: OBJECTIVE_MS, workMs: OBJECTIVE_MS };
  assert.deepEqual(durations.expected(OBJECTIVE_MS, 10), expected);
});

// Guards against calls that are taken on for the mean duration of their class.
test("the expected durations are those of slow calls", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 90; i++) durations.recordWork(100, i);
  for (let i = 0; i < 10; i++) durations.recordWork(4_000, i);
  const { workMs } = durations.expected(OBJECTIVE_MS, 100);
  assert.ok(Math.abs(workMs - 4_000) < 400, String(workMs));
});

test("the wait for a server counts in the total only", () => {
  const durations = new CallDurations();
  for (let i = 0; i < 20; i++) {
    durations.recordWork(100, i);
    durations.recordTotal(3_000, i);
  }
  const { totalMs, workMs } = durations.expected(OBJECTIVE_MS, 100);
  assert.ok(workMs < 200 && totalMs > 2_700, `${workMs} ${totalMs}`);
});
