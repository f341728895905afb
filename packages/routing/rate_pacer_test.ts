import assert from "node:assert/strict";
import { test } from "node:test";
import { RatePacer } from "./rate_pacer.ts";

/** Takes each request as soon as it is ready; returns their times. */
function takeAll(pacer: RatePacer, from: number, until: number): number[] {
  const times: number[] = [];
  for (let now = from; now < until; now++) {
    if (!pacer.isReady(now)) continue;
    pacer.take(now);
    times.push(now);
  }
  return times;
}

// Guards against a new owner of a limit that allows a burst of its own.
test("a pacer starts empty and keeps to its rate", () => {
  const pacer = new RatePacer(2, 1_000);
  assert.equal(pacer.waitMs(1_000), 500);
  const times = takeAll(pacer, 1_000, 11_000);
  assert.equal(times[0], 1_500);
  assert.equal(times.length, 19);
});

test("a pause lets no more than a tenth of a second accrue", () => {
  const pacer = new RatePacer(50, 0);
  assert.equal(takeAll(pacer, 60_000, 60_001).length, 1);
  const burst = new RatePacer(50, 0);
  let taken = 0;
  for (; burst.isReady(60_000); taken++) burst.take(60_000);
  assert.equal(taken, 5);
});

// Guards against a server that is shut out after entries sent without asking.
test("requests that were not paced count, for two seconds at most", () => {
  const pacer = new RatePacer(2, 0);
  for (let i = 0; i < 100; i++) pacer.take(0);
  assert.equal(pacer.waitMs(0), 2_500);
});

// Guards against a new dispatcher that earns requests for the time before it
// started, from the reports of calls that began then.
test("a request that was sent before the start earns nothing", () => {
  const pacer = new RatePacer(2, 10_000);
  pacer.take(7_000);
  assert.equal(pacer.waitMs(10_000), 1_000);
});

test("a server that takes no requests is asked every ten seconds", () => {
  const pacer = new RatePacer(0, 0);
  assert.equal(takeAll(pacer, 0, 60_000).length, 5);
});

test("a changed rate holds from then on", () => {
  const pacer = new RatePacer(100, 0);
  pacer.setRate(1, 5_000);
  assert.ok(takeAll(pacer, 5_000, 10_000).length <= 6);
});
