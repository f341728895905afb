import assert from "node:assert/strict";
import { test } from "node:test";
import { makeServer, makeView, TestCluster } from "./test_cluster.ts";

interface FaultCase {
  readonly name: string;
  /** The failure that the case guards against. */
  readonly guards: string;
  readonly run: () => void;
}

/** A cluster of two servers with two slots whose slots are all in use. */
function fullCluster(): TestCluster {
  const cluster = new TestCluster();
  cluster.join();
  const { other } = cluster;
  for (let call = 0; call < 4; call++) cluster.submit(other);
  cluster.advance(10);
  assert.equal(cluster.running.size, 4);
  return cluster;
}

const CASES: FaultCase[] = [
  {
    name: "the dispatcher dies",
    guards: "waiting calls hang although servers have free slots",
    run() {
      const cluster = fullCluster();
      const { other, dispatcher } = cluster;
      cluster.fate = (from) => (from === dispatcher ? "drop" : "deliver");
      const [call = ""] = cluster.running.keys();
      const waiting = cluster.submit(other, { exclude: new Set(["s9"]) });
      cluster.finish(call);
      cluster.kill(dispatcher);
      assert.ok(cluster.serverOf(waiting), "not assigned at once");
      const next = cluster.submit(other);
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      assert.ok(cluster.serverOf(next), "not assigned without dispatcher");
    },
  },
  {
    name: "the dispatcher freezes and thaws",
    guards: "a silent dispatcher stops an entry, or is never used again",
    run() {
      const cluster = new TestCluster();
      cluster.join();
      const { other, dispatcher } = cluster;
      cluster.frozen.add(dispatcher);
      const calls = Array.from({ length: 4 }, () => cluster.submit(other));
      cluster.advance(45);
      for (const id of calls) assert.ok(cluster.serverOf(id), `${id} waits`);
      assert.notEqual(cluster.router(other).dispatching("alloc"), "attached");
      cluster.frozen.delete(dispatcher);
      cluster.release();
      cluster.advance(250);
      assert.equal(cluster.router(other).dispatching("alloc"), "attached");
      assert.equal(cluster.used(), 4);
    },
  },
  {
    name: "the dispatcher is cut off while calls wait",
    guards: "an acknowledged call waits for a grant that never comes",
    run() {
      const cluster = fullCluster();
      const { other, dispatcher } = cluster;
      const waiting = cluster.submit(other);
      cluster.advance(8);
      cluster.fate = (from, { to }) =>
        from === dispatcher || to === dispatcher ? "drop" : "deliver";
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(50);
      assert.ok(cluster.serverOf(waiting));
    },
  },
  {
    name: "messages of an old epoch arrive",
    guards: "a former dispatcher or view changes what is granted",
    run() {
      const cluster = new TestCluster();
      cluster.join();
      const { other, dispatcher } = cluster;
      cluster.fate = (_, { kind }) =>
        kind === "dispatch_update" || kind === "dispatch_grant"
          ? "hold"
          : "deliver";
      cluster.submit(other);
      cluster.advance(5);
      assert.ok(cluster.held.length > 0);
      cluster.fate = () => "deliver";
      cluster.setView({ ...cluster.view, epoch: 2 });
      cluster.advance(30);
      const before = cluster.usage();
      cluster.release();
      assert.deepEqual(cluster.usage(), before);
      const old = cluster.router(dispatcher).receive(
        other,
        {
          kind: "dispatch_report",
          payload: {
            service: "alloc",
            epoch: 1,
            sequence: 1_000_000,
            seen: 0,
            taken: [],
            wanted: [],
            credits: [],
          },
        },
        cluster.now,
      );
      assert.deepEqual(old, []);
      assert.deepEqual(cluster.usage(), before);
    },
  },
  {
    name: "an entry dies with granted slots",
    guards: "slots of a dead entry leak",
    run() {
      const cluster = fullCluster();
      assert.equal(cluster.used(), 4);
      cluster.kill(cluster.other);
      assert.equal(cluster.used(), 0);
    },
  },
  {
    name: "an entry disappears silently with granted slots",
    guards: "slots leak until a connection is found dead",
    run() {
      const cluster = fullCluster();
      const { other } = cluster;
      cluster.routers.delete(other);
      cluster.advance(3_000);
      assert.equal(cluster.used(), 0);
    },
  },
  {
    name: "a restarted entry talks before its connection is found dead",
    guards: "its low sequence numbers are taken for duplicates for ever",
    run() {
      const cluster = fullCluster();
      const { other } = cluster;
      const entries = cluster.view.entries.map((entry) =>
        entry.id === other ? { ...entry, incarnation: 2 } : entry,
      );
      cluster.routers.delete(other);
      cluster.setView({ ...cluster.view, entries, epoch: 2 });
      assert.equal(cluster.used(), 0);
    },
  },
  {
    name: "releases are lost",
    guards: "a slot stays in use at the dispatcher for ever",
    run() {
      const cluster = fullCluster();
      cluster.fate = (_, { kind }) =>
        kind === "dispatch_update" ? "drop" : "deliver";
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(10);
      cluster.fate = () => "deliver";
      assert.equal(cluster.used(), 4);
      cluster.advance(600);
      assert.equal(cluster.used(), 0);
    },
  },
  {
    name: "every message arrives twice",
    guards: "a duplicate takes, frees or assigns a second time",
    run() {
      const cluster = new TestCluster();
      cluster.fate = () => "duplicate";
      cluster.join();
      const { other } = cluster;
      const calls = Array.from({ length: 8 }, () => cluster.submit(other));
      cluster.advance(20);
      assert.equal(cluster.used(), cluster.running.size);
      while (cluster.running.size > 0) {
        const [id = ""] = cluster.running.keys();
        cluster.finish(id);
        cluster.advance(5);
      }
      cluster.advance(10);
      for (const id of calls) {
        assert.equal(cluster.decisions.get(id)?.length, 1);
      }
      assert.equal(cluster.used(), 0);
    },
  },
  {
    name: "a server leaves with grants out",
    guards: "new calls on a leaving server, or slots counted below zero",
    run() {
      const cluster = fullCluster();
      const { other } = cluster;
      cluster.setServers([makeServer("s1", { state: "leaving" })]);
      const waiting = cluster.submit(other, { deadline: cluster.now + 200 });
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(100);
      assert.equal(cluster.serverOf(waiting), undefined);
      assert.equal(cluster.used(), 0);
    },
  },
  {
    name: "a grant names a server that the entry knows to be leaving",
    guards: "new work for a leaving server while presence lags",
    run() {
      const cluster = fullCluster();
      const { other } = cluster;
      const leaving = [...cluster.running].filter(
        ([, run]) => run.server === "s1",
      );
      const waiting = Array.from({ length: 2 }, () => cluster.submit(other));
      cluster.advance(5);
      for (const [id] of leaving) cluster.finish(id, { leaving: true });
      cluster.advance(20);
      for (const id of waiting) assert.notEqual(cluster.serverOf(id), "s1");
      for (const [id] of [...cluster.running]) cluster.finish(id);
      cluster.advance(20);
      for (const id of waiting) assert.equal(cluster.serverOf(id), "s2");
    },
  },
  {
    name: "a new dispatcher takes over",
    guards: "it grants slots that calls of the last one still use",
    run() {
      const cluster = fullCluster();
      const { dispatcher, other } = cluster;
      const rest = cluster.view.entries.filter(({ id }) => id !== dispatcher);
      cluster.setView({ ...cluster.view, entries: rest, epoch: 2 });
      cluster.routers.delete(dispatcher);
      const waiting = cluster.submit(other);
      cluster.advance(40);
      assert.equal(cluster.used(), 4);
      assert.equal(cluster.router(other).dispatching("alloc"), "attached");
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(5);
      assert.ok(cluster.serverOf(waiting));
    },
  },
  {
    name: "the dispatcher knows no servers yet",
    guards: "entries that know servers wait for it until their deadline",
    run() {
      const cluster = new TestCluster();
      cluster.join();
      const { other, dispatcher } = cluster;
      cluster.router(dispatcher).setServers("alloc", [], cluster.now);
      const calls = Array.from({ length: 4 }, () => cluster.submit(other));
      cluster.advance(50);
      for (const id of calls) assert.ok(cluster.serverOf(id));
    },
  },
  {
    name: "a cancelled call had a slot",
    guards: "a caller that disconnects keeps its slot",
    run() {
      const cluster = fullCluster();
      const { other } = cluster;
      const waiting = cluster.submit(other);
      const given = cluster.submit(other);
      cluster.advance(5);
      const [running = ""] = cluster.running.keys();
      cluster.cancel(other, given);
      cluster.cancel(other, running);
      cluster.advance(5);
      assert.ok(cluster.serverOf(waiting));
      assert.deepEqual(cluster.decisions.get(given), []);
    },
  },
  {
    name: "the queue is full",
    guards: "an unbounded queue, or a rejection without a time to come back",
    run() {
      const cluster = new TestCluster({ service: { queueLength: 3 } });
      cluster.join();
      const { other } = cluster;
      const calls = Array.from({ length: 20 }, () => cluster.submit(other));
      cluster.advance(20);
      const rejects = calls
        .map((id) => cluster.decisions.get(id)?.[0])
        .filter((decision) => decision?.type === "reject");
      // Four slots, one over-granted per server, three waiting.
      assert.ok(rejects.length >= 11 && rejects.length <= 13);
      for (const reject of rejects) {
        assert.ok(reject.fault.code === "queue_full");
        assert.ok((reject.fault.retryAfterMs ?? 0) > 0);
      }
    },
  },
  {
    name: "an urgent call finds a queue full of patient ones",
    guards: "patient calls displace urgent ones",
    run() {
      const cluster = new TestCluster({ service: { queueLength: 3 } });
      cluster.join();
      const { other } = cluster;
      const patient = { priority: "patient" } as const;
      for (let n = 0; n < 12; n++) cluster.submit(other, patient);
      const urgent = cluster.submit(other);
      cluster.advance(5);
      assert.deepEqual(cluster.decisions.get(urgent), []);
      const [running = ""] = cluster.running.keys();
      cluster.finish(running);
      cluster.advance(5);
      assert.ok(cluster.serverOf(urgent));
    },
  },
  {
    name: "a call cannot make its deadline",
    guards: "it is held in the queue although its fate is known",
    run() {
      const cluster = fullCluster();
      const { other } = cluster;
      for (let n = 0; n < 40; n++) cluster.submit(other);
      cluster.advance(5);
      const late = cluster.submit(other, { deadline: cluster.now + 60 });
      cluster.advance(5);
      const decision = cluster.decisions.get(late)?.[0];
      assert.ok(decision?.type === "reject");
      assert.ok((decision.fault.retryAfterMs ?? 0) > 0);
    },
  },
  {
    name: "urgent calls never end",
    guards: "patient calls starve",
    run() {
      const cluster = fullCluster();
      const { other } = cluster;
      const patient = cluster.submit(other, { priority: "patient" });
      let finished = 0;
      while (!cluster.serverOf(patient) && finished < 100) {
        while (cluster.decisions.size < finished + 40) cluster.submit(other);
        const [running = ""] = cluster.running.keys();
        cluster.finish(running);
        finished += 1;
        cluster.advance(3);
      }
      assert.ok(finished <= 20, `${finished} urgent calls went first`);
    },
  },
  {
    name: "entries know views of different sizes",
    guards: "the probe budget is exceeded while a view spreads",
    run() {
      const cluster = new TestCluster({ entries: 4 });
      const ids = [...cluster.routers.keys()];
      // Every entry believes itself alone, one after the other.
      cluster.fate = () => "drop";
      cluster.advance(6_000);
      for (const [index, id] of ids.entries()) {
        const view = makeView([id], 10 + index);
        const router = cluster.router(id);
        cluster.apply(id, router.configure([cluster.service], view, 6_000));
      }
      for (let second = 0; second < 4; second++) {
        for (const id of ids) cluster.submit(id);
        cluster.advance(1_000);
      }
      // 1% of four slots is 40 ms per second: 6.7 probes per second.
      const perSecond = cluster.probes.length / 10;
      assert.ok(perSecond <= 6.7, `${perSecond} probes per second`);
    },
  },
  {
    name: "a new entry joins",
    guards: "it probes before the others have made room in the budget",
    run() {
      const cluster = new TestCluster({ entries: 2 });
      const { dispatcher } = cluster;
      for (let second = 0; second < 4; second++) {
        for (const id of cluster.routers.keys()) cluster.submit(id);
        cluster.advance(1_000);
      }
      assert.equal(cluster.probes.length, 0);
      cluster.advance(4_000);
      const { length } = cluster.probes;
      assert.ok(length > 0, "quiet servers are never probed");
      assert.ok(cluster.probes.every(({ entry }) => entry === dispatcher));
    },
  },
];

for (const { name, guards, run } of CASES) {
  test(`${name}; guards against: ${guards}`, run);
}
