import assert from "node:assert/strict";
import { test } from "node:test";
import { ProcessingDelay } from "./processing_delay.ts";

test("a delay counts for some seconds, and the longest of several does", () => {
  const delay = new ProcessingDelay();
  assert.equal(delay.current(0), 0);
  delay.record(800, 1_000);
  delay.record(100, 1_100);
  assert.ok(delay.current(1_100) > 700);
  assert.equal(delay.current(3_000), 400);
  assert.ok(delay.current(21_000) < 1);
});

// Guards against a leader that keeps its role for long after a suspension of its host,
// while the others have elected another one.
test("a suspension counts as the longest delay at most", () => {
  const delay = new ProcessingDelay();
  delay.record(60_000, 100_000);
  assert.equal(delay.current(100_000), 1_500);
});
