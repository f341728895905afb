import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationLease } from "./configuration_lease.ts";

const REVOKE_MS = 5_000;
const WALL = 1_000_000;

function at(steady: number, wallShift = 0) {
  return { steady, wall: WALL + steady + wallShift };
}

test("no lease before the first confirmation", () => {
  assert.equal(new ConfigurationLease(REVOKE_MS).isValid(at(0)), false);
});

test("a lease counts from the question and ends before the bound", () => {
  const lease = new ConfigurationLease(REVOKE_MS);
  lease.confirm(at(100));
  assert.equal(lease.isValid(at(4_500)), true);
  assert.equal(lease.isValid(at(4_600)), false);
});

test("an older confirmation that arrives late extends nothing", () => {
  const lease = new ConfigurationLease(REVOKE_MS);
  lease.confirm(at(1_000));
  lease.confirm(at(500));
  assert.equal(lease.ageMs(at(2_000)), 1_000);
});

test("a suspension that the steady clock does not count ends the lease", () => {
  const lease = new ConfigurationLease(REVOKE_MS);
  lease.confirm(at(0));
  assert.equal(lease.isValid(at(100, 6_000)), false);
  lease.confirm(at(200, 6_000));
  assert.equal(lease.isValid(at(300, 6_000)), true);
});

test("a wall clock that jumps back does not extend the lease", () => {
  const lease = new ConfigurationLease(REVOKE_MS);
  lease.confirm(at(0));
  assert.equal(lease.isValid(at(4_000, -60_000)), true);
  assert.equal(lease.isValid(at(4_600, -60_000)), false);
});

test("callers are sent elsewhere before the lease ends", () => {
  const lease = new ConfigurationLease(REVOKE_MS);
  lease.confirm(at(0));
  assert.equal(lease.isEnding(at(2_400)), false);
  assert.equal(lease.isEnding(at(2_600)), true);
  assert.equal(lease.isValid(at(2_600)), true);
});
