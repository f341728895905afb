import assert from "node:assert/strict";
import { test } from "node:test";
import { LineLimiter } from "./line_limiter.ts";

// Guards against a heartbeat that is refused twice a second and displaces the
// lines about other servers.
test("lines of one key are limited and counted, others are written", () => {
  const limiter = new LineLimiter();
  const admitted = Array.from({ length: 20 }, (_, index) =>
    limiter.admit("w1", index * 500),
  );
  const written = admitted.filter((omitted) => omitted !== undefined);
  assert.equal(written.length, 5);
  assert.equal(limiter.admit("w2", 9_600), 0);
  assert.equal(limiter.admit("w1", 10_000), 15);
});

// Guards against memory that grows with each id that some program makes up.
test("the oldest keys are forgotten", () => {
  const limiter = new LineLimiter();
  for (let line = 0; line < 6; line++) limiter.admit("w", 0);
  assert.equal(limiter.admit("w", 0), undefined);
  for (let key = 0; key < 1_000; key++) limiter.admit(`made-up-${key}`, 0);
  assert.equal(limiter.admit("w", 0), 0);
});
