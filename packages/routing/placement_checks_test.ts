import assert from "node:assert/strict";
import { test } from "node:test";
import type { CheckResult } from "./index.ts";
import { makeServer, NORMAL_CHECK, TestCluster } from "./test_cluster.ts";

const SLOW: CheckResult = { ...NORMAL_CHECK, slowdown: 4 };

/**
 * A cluster of three servers that have reported their speed in earlier answers.
 */
function makeReportingCluster(): TestCluster {
  const servers = ["s1", "s2", "s3"].map((id) => makeServer(id));
  const cluster = new TestCluster({ servers });
  for (const id of cluster.routers.keys()) cluster.submit(id);
  cluster.advance(30);
  for (const call of [...cluster.running.keys()]) {
    cluster.finish(call, { slowdown: 1 });
  }
  cluster.advance(200);
  cluster.checks.length = 0;
  return cluster;
}

// Without checks, a quarter of the calls ran on servers that were temporarily
// four times slower.
test("calls skip servers that report that they are slow", () => {
  const cluster = makeReportingCluster();
  cluster.checkResults.set("s1", SLOW);
  cluster.checkResults.set("s2", SLOW);
  for (let i = 0; i < 4; i++) {
    const call = cluster.submit(cluster.otherEntry);
    cluster.advance(20);
    assert.equal(cluster.serverOf(call), "s3");
    cluster.finish(call, { slowdown: 1 });
    cluster.advance(200);
  }
});

test("a call is sent although every server is slow", () => {
  const cluster = makeReportingCluster();
  for (const id of ["s1", "s2", "s3"]) cluster.checkResults.set(id, SLOW);
  const call = cluster.submit(cluster.otherEntry);
  cluster.advance(400);
  assert.notEqual(cluster.serverOf(call), undefined);
});

test("a call skips a server that does not answer a check", () => {
  const cluster = makeReportingCluster();
  cluster.checkResults.set("s1", { kind: "failed" });
  cluster.checkResults.set("s2", { kind: "shed" });
  const call = cluster.submit(cluster.otherEntry);
  cluster.advance(50);
  assert.equal(cluster.serverOf(call), "s3");
});

test("declined slots are free again at the dispatcher", () => {
  const cluster = makeReportingCluster();
  cluster.checkResults.set("s1", SLOW);
  cluster.checkResults.set("s2", SLOW);
  const call = cluster.submit(cluster.otherEntry);
  cluster.advance(50);
  cluster.finish(call, { slowdown: 1 });
  cluster.advance(300);
  assert.equal(cluster.slotsInUse(), 0);
});

test("servers that never report their speed are not checked", () => {
  const cluster = new TestCluster();
  cluster.joinAll();
  for (let i = 0; i < 3; i++) {
    const call = cluster.submit(cluster.otherEntry);
    cluster.advance(20);
    cluster.finish(call);
  }
  assert.deepEqual(cluster.checks, []);
});

// Guards against an entry that has just started placing its first calls
// blindly, when two in five met a slow server.
test("an entry checks servers for its first call if they may report their speed", () => {
  const servers = ["s1", "s2", "s3"].map((id) => makeServer(id));
  const cluster = new TestCluster({ servers, serversReportSpeed: true });
  for (const id of ["s1", "s2"]) cluster.checkResults.set(id, SLOW);
  const call = cluster.submit(cluster.otherEntry);
  cluster.advance(20);
  assert.equal(cluster.serverOf(call), "s3");
});

test("servers that turn out not to report their speed are not checked again", () => {
  const cluster = new TestCluster({ serversReportSpeed: true });
  const withoutSlowdown = { ...NORMAL_CHECK, slowdown: undefined };
  for (const id of ["s1", "s2"]) cluster.checkResults.set(id, withoutSlowdown);
  for (let i = 0; i < 5; i++) {
    const call = cluster.submit(cluster.otherEntry);
    cluster.advance(20);
    cluster.finish(call);
  }
  assert.equal(cluster.checks.length, 1);
});

test("a recently reported slowdown is used without a check", () => {
  const cluster = makeReportingCluster();
  const first = cluster.submit(cluster.dispatcher);
  cluster.advance(20);
  const asked = cluster.checks.length;
  const server = cluster.serverOf(first);
  cluster.finish(first, { slowdown: 1 });
  const others = ["s1", "s2", "s3"].filter((id) => id !== server);
  const second = cluster.submit(cluster.dispatcher, {
    exclude: new Set(others),
  });
  assert.equal(cluster.serverOf(second), server);
  assert.equal(cluster.checks.length, asked);
});

test("checks stay within their share of the slots' time", () => {
  const cluster = makeReportingCluster();
  const calls = 2_000;
  for (let i = 0; i < calls; i++) {
    const call = cluster.submit(cluster.otherEntry);
    cluster.advance(1);
    if (cluster.running.has(call)) cluster.finish(call, { slowdown: 1 });
  }
  const slotMs = 3 * 2 * (calls + 2_300);
  const bound = (slotMs * 0.05) / 3;
  assert.ok(cluster.checks.length * 6 <= bound, `${cluster.checks.length}`);
});
