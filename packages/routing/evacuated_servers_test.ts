import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, SeededRandomness } from "#model";
import { Router } from "./index.ts";
import {
  makeCall,
  makeServer,
  makeView,
  NORMAL_CHECK,
  SERVICE,
  TestCluster,
} from "./test_cluster.ts";

// Load pattern: steady calls while one of two data centres is evacuated, so that its
// servers are no longer among those that may get calls.

const LEFT = ["a1", "a2"].map((id) => makeServer(id));
const EVACUATED = ["b1", "b2"].map((id) =>
  makeServer(id, { dataCentre: "riga-b" }),
);
const EVACUATED_IDS = new Set(EVACUATED.map(({ id }) => id));

function createCluster(): TestCluster {
  const cluster = new TestCluster({ servers: [...LEFT, ...EVACUATED] });
  cluster.joinAll();
  return cluster;
}

function setServers(
  cluster: TestCluster,
  entry: string,
  servers: readonly BackendServer[],
): void {
  const router = cluster.router(entry);
  cluster.apply(entry, router.setServers("alloc", servers, cluster.now));
}

/** Starts to record the calls, checks and probes sent to evacuated servers. */
function watchRequests(cluster: TestCluster): () => string[] {
  const { assignments, checks, probes } = cluster;
  const sent = () => [assignments, checks, probes];
  const before = sent().map(({ length }) => length);
  return () =>
    sent()
      .flatMap((requests, index) => requests.slice(before[index]))
      .flatMap(({ server }) => (EVACUATED_IDS.has(server) ? [server] : []));
}

/** Submits calls at each entry, faster than the servers that are left work. */
function loadAll(cluster: TestCluster, rounds: number): void {
  for (let round = 0; round < rounds; round++) {
    for (const entry of cluster.routers.keys()) cluster.submit(entry);
    cluster.advance(10);
    for (const call of [...cluster.running.keys()].slice(0, 3)) {
      cluster.finish(call);
    }
  }
}

// Guards against credits, slots that become free, waiting calls and retries that
// still lead to servers of an evacuated data centre.
test("no call is sent to a server once each entry knows of the evacuation", () => {
  const cluster = createCluster();
  loadAll(cluster, 20);
  cluster.setServers(LEFT);
  const before = cluster.assignments.length;
  const sentThere = watchRequests(cluster);
  loadAll(cluster, 100);
  assert.ok(cluster.assignments.length > before + 100);
  assert.deepEqual(sentThere(), []);
});

// Guards against a dispatcher without the newest configuration, whose grants and
// credits an entry would use.
test("an entry declines slots that a dispatcher grants it there", () => {
  const cluster = createCluster();
  const { otherEntry } = cluster;
  setServers(cluster, otherEntry, LEFT);
  const before = cluster.assignments.length;
  loadAll(cluster, 100);
  const sent = cluster.assignments.slice(before);
  const ofEntry = sent.filter(({ entry }) => entry === otherEntry);
  assert.ok(ofEntry.length > 20);
  assert.ok(ofEntry.every(({ server }) => !EVACUATED_IDS.has(server)));
  assert.ok(sent.some(({ server }) => EVACUATED_IDS.has(server)));
});

// Guards against a grant in transit, which arrives after the configuration.
test("a grant that arrives late leads to no evacuated server", () => {
  const cluster = createCluster();
  const { otherEntry } = cluster;
  cluster.setServers(EVACUATED);
  cluster.deliveryMode = (_, { kind }) =>
    kind === "dispatch_grant" ? "hold" : "deliver";
  const calls = Array.from({ length: 4 }, () => cluster.submit(otherEntry));
  cluster.advance(5);
  const sentThere = watchRequests(cluster);
  cluster.setServers(LEFT);
  cluster.deliveryMode = () => "deliver";
  cluster.releaseHeld();
  cluster.advance(100);
  assert.deepEqual(sentThere(), []);
  assert.ok(calls.every((call) => cluster.decisions.get(call)?.length === 1));
});

test("with all servers evacuated, calls are refused with a time to retry", () => {
  const cluster = createCluster();
  const { otherEntry } = cluster;
  const waiting = Array.from({ length: 12 }, () => cluster.submit(otherEntry));
  cluster.advance(5);
  cluster.setServers([]);
  const late = cluster.submit(otherEntry);
  const decisions = cluster.decisions.get(late);
  assert.ok(decisions?.[0]?.type === "reject");
  assert.ok((decisions[0].fault.retryAfterMs ?? 0) > 0);
  cluster.advance(20);
  for (const call of waiting) {
    assert.equal(cluster.decisions.get(call)?.length, 1, call);
  }
});

// Guards against a call whose server was found fit just before the evacuation.
test("a call is not sent to a server that was evacuated during its check", () => {
  const router = new Router({
    self: "e0",
    dataCentre: "riga-a",
    random: new SeededRandomness(1),
    serversReportSpeed: true,
  });
  router.setServers("alloc", EVACUATED, 0);
  router.configure([SERVICE], makeView(["e1"]), 0);
  const effects = router.submit(makeCall("c", 0), { now: 0 });
  assert.deepEqual(
    effects.map(({ type }) => type),
    ["check"],
  );
  router.setServers("alloc", LEFT, 1);
  const after = router.handleCheckResult("c", NORMAL_CHECK, 2);
  const [next] = after;
  assert.ok(next?.type === "check" || next?.type === "assign");
  assert.ok(!EVACUATED_IDS.has(next.server.id));
});
