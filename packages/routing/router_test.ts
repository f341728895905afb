import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BackendServer,
  type Call,
  EMPTY_VIEW,
  SeededRandomness,
  type Service,
} from "#model";
import { Router } from "./index.ts";
import { makeServer, TestCluster } from "./test_cluster.ts";

const SERVICE: Service = {
  name: "alloc",
  measuringBudgetPercent: 1,
  retryBudgetPercent: 10,
  ejectionMaxPercent: 30,
  drainLimitS: 600,
  coldStartMs: 10_000,
  queueLength: 4,
  slotsPerServer: 2,
  connectionsPerServer: 300,
  classes: [],
  routes: [],
};

function server(id: string): BackendServer {
  return {
    id,
    service: "alloc",
    address: { host: "127.0.0.1", port: 1 },
    dataCentre: "riga-a",
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: 2,
    connections: 300,
    inFlight: 0,
    startedMsAgo: 60_000,
  };
}

function call(id: string, options: Partial<Call> = {}): Call {
  return {
    id,
    service: "alloc",
    class: "booking",
    priority: "urgent",
    repeatable: false,
    arrival: 0,
    deadline: 1_000,
    depth: 0,
    retries: 0,
    ...options,
  };
}

function makeRouter(servers: string[]): Router {
  const random = new SeededRandomness(1);
  const router = new Router({ self: "e1", dataCentre: "riga-a", random });
  router.configure([SERVICE], EMPTY_VIEW, 0);
  router.setServers("alloc", servers.map(server), 0);
  return router;
}

test("calls beyond all slots wait and get the slots that become free", () => {
  const router = makeRouter(["s1"]);
  const first = router.submit(call("c1"), { now: 0 });
  router.submit(call("c2"), { now: 0 });
  assert.equal(first[0]?.type, "assign");
  assert.deepEqual(router.submit(call("c3"), { now: 0 }), []);
  const result = { kind: "answered", serviceMs: 5 } as const;
  const next = router.finish("c1", result, 5);
  assert.equal(next[0]?.type === "assign" && next[0].callId, "c3");
});

test("a call without any server is rejected at once", () => {
  const [effect] = makeRouter([]).submit(call("c1"), { now: 0 });
  assert.equal(effect?.type === "reject" && effect.fault.code, "no_server");
});

test("a waiting call is rejected once its deadline has passed", () => {
  const router = makeRouter(["s1"]);
  for (const id of ["c1", "c2"]) router.submit(call(id), { now: 0 });
  router.submit(call("c3", { deadline: 20 }), { now: 0 });
  const [effect] = router.tick(21);
  const code = effect?.type === "reject" && effect.fault.code;
  assert.equal(code, "deadline_expired");
});

// Guards against calls that a busy entry sends when nobody waits for them, and
// whose outcome is then unknown.
test("a slot that becomes free too late is given to no expired call", () => {
  const router = makeRouter(["s1"]);
  for (const id of ["c1", "c2"]) router.submit(call(id), { now: 0 });
  router.submit(call("c3", { deadline: 20 }), { now: 0 });
  const result = { kind: "answered", serviceMs: 30 } as const;
  const effects = router.finish("c1", result, 30);
  assert.deepEqual(
    effects.map((e) => e.type === "reject" && e.fault.code),
    ["deadline_expired"],
  );
});

// As above, for a grant that an entry reads only after a pause.
test("a grant that comes too late is used for no expired call", () => {
  const cluster = new TestCluster({
    entries: 2,
    servers: [makeServer("s1", { slots: 1 })],
  });
  cluster.joinAll();
  const { dispatcher, otherEntry } = cluster;
  for (let count = 0; count < 4; count++) cluster.submit(dispatcher);
  cluster.advance(5);
  const deadline = cluster.now + 500;
  const late = cluster.submit(otherEntry, { deadline });
  cluster.advance(5);
  assert.equal(cluster.serverOf(late), undefined, "it waits");
  cluster.frozenEntries.add(otherEntry);
  while (cluster.running.size > 0) {
    for (const running of [...cluster.running.keys()]) cluster.finish(running);
    cluster.advance(5);
  }
  assert.ok(cluster.heldMessages.length > 0, "a grant is on its way");
  cluster.clock.advance(500);
  cluster.frozenEntries.clear();
  cluster.releaseHeld();
  const decisions = cluster.decisions.get(late) ?? [];
  assert.deepEqual(
    decisions.map((e) => e.type),
    ["reject"],
  );
});

test("a call above the queue length is rejected with a time to retry", () => {
  const router = makeRouter(["s1"]);
  for (let id = 0; id < 6; id++) router.submit(call(`c${id}`), { now: 0 });
  const [effect] = router.submit(call("c6"), { now: 0 });
  assert.ok(effect?.type === "reject");
  assert.equal(effect.fault.code, "queue_full");
  assert.ok((effect.fault.retryAfterMs ?? 0) > 0);
});
