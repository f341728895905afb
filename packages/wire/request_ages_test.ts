import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "#model";
import { RequestAges, Stalls } from "./request_ages.ts";

test("a connection that is accepted without a stall came just now", () => {
  const stalls = new Stalls(0);
  for (let now = 0; now <= 1_000; now += 100) stalls.noteActivity(now);
  assert.equal(stalls.earliestArrival(1_050), 1_050);
});

// Failure: the first input after a freeze is read before any timer has noticed it.
test("a connection that is accepted as the process wakes may be as old as the stall", () => {
  const stalls = new Stalls(0);
  stalls.noteActivity(100);
  assert.equal(stalls.earliestArrival(4_100), 100);
  assert.equal(stalls.earliestArrival(4_150), 100);
});

// Failure: timers run before the input is read, and a short stall follows the long one.
test("a stall is remembered while the connections of it are accepted", () => {
  const stalls = new Stalls(0);
  stalls.noteActivity(100);
  stalls.noteActivity(4_100);
  stalls.noteActivity(4_190);
  assert.equal(stalls.earliestArrival(4_300), 100);
  assert.equal(stalls.earliestArrival(4_400), 4_400);
});

// Failure: a process on a busy machine takes each order for an old one.
test("short gaps, one after the other, make no connection old", () => {
  const stalls = new Stalls(0);
  for (let now = 0; now <= 5_000; now += 250) {
    assert.equal(stalls.earliestArrival(now), now);
  }
});

// Failure: a sender leaves its connection open, so that only its age shows that the
// order on it was given up; a cut may have held the bytes back.
test("a request is as old as its connection, or as the answer before it", () => {
  const clock = new ManualClock();
  const ages = new RequestAges<object>(clock);
  const connection = {};
  assert.equal(ages.sentAfter(connection), Number.NEGATIVE_INFINITY);
  ages.open(connection);
  const opened = clock.now();
  clock.advance(4_000);
  assert.equal(ages.sentAfter(connection), opened);
  ages.answer(connection);
  assert.equal(ages.sentAfter(connection), clock.now());
  // The process did not note that it ran, so that what is read may have waited.
  assert.equal(ages.arrivedAfter(), opened);
  clock.advance(1_000);
  ages.noteActivity();
  clock.advance(200);
  assert.equal(ages.arrivedAfter(), clock.now() - 1_200);
  clock.advance(200);
  assert.equal(ages.arrivedAfter(), clock.now());
});
