import assert from "node:assert/strict";
import { test } from "node:test";
import { makeServer, TestCluster } from "./test_cluster.ts";

const WORK_MS = 120;

/**
 * A cluster with many servers for few calls, as in a large deployment under low
 * load.
 */
function makeLargeCluster(): TestCluster {
  const servers = Array.from({ length: 40 }, (_, n) => makeServer(`s${n}`));
  const cluster = new TestCluster({ servers });
  cluster.joinAll();
  // Teaches the cluster that calls are long, so that each requests a slot.
  for (let round = 0; round < 10; round++) runCall(cluster);
  return cluster;
}

/** Runs a call from start to end and returns its server. */
function runCall(cluster: TestCluster): string | undefined {
  const call = cluster.submit(cluster.otherEntry);
  cluster.advance(WORK_MS);
  const server = cluster.serverOf(call);
  if (cluster.running.has(call)) {
    cluster.finish(call, { serviceMs: WORK_MS, slowdown: 1 });
  }
  cluster.advance(10);
  return server;
}

// Guards against a new connection for nearly every call, as seen with 121
// entries and 266 servers.
test("calls one after the other use the same few servers", () => {
  const cluster = makeLargeCluster();
  const used = new Set(Array.from({ length: 30 }, () => runCall(cluster)));
  assert.ok(used.size <= 3, `${used.size} servers`);
});

test("a connected server gets no more calls than it runs at full speed", () => {
  const cluster = makeLargeCluster();
  const calls = Array.from({ length: 20 }, () => {
    const call = cluster.submit(cluster.otherEntry);
    cluster.advance(5);
    return call;
  });
  const used = new Set(calls.map((call) => cluster.serverOf(call)));
  assert.equal(used.size, calls.length);
});

test("a connection that was idle for long is not preferred", () => {
  const cluster = makeLargeCluster();
  const first = runCall(cluster);
  const others = new Set<string | undefined>();
  for (let round = 0; round < 6; round++) {
    cluster.advance(5_000);
    others.add(runCall(cluster));
  }
  assert.ok(others.size > 1 || !others.has(first), [...others].join(" "));
});
