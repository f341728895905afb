import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FaultCase,
  fullCluster,
  makeView,
  TestCluster,
} from "./test_cluster.ts";

const CASES: FaultCase[] = [
  {
    name: "a cancelled call had a slot",
    guards: "a caller that disconnects keeps its slot",
    run() {
      const cluster = fullCluster();
      const { otherEntry } = cluster;
      const waiting = cluster.submit(otherEntry);
      const cancelledCall = cluster.submit(otherEntry);
      cluster.advance(5);
      const [running = ""] = cluster.running.keys();
      cluster.cancel(otherEntry, cancelledCall);
      cluster.cancel(otherEntry, running);
      cluster.advance(5);
      assert.ok(cluster.serverOf(waiting));
      assert.deepEqual(cluster.decisions.get(cancelledCall), []);
    },
  },
  {
    name: "the queue is full",
    guards: "an unbounded queue, or a rejection without a time to retry",
    run() {
      const cluster = new TestCluster({ service: { queueLength: 3 } });
      cluster.joinAll();
      const { otherEntry } = cluster;
      const calls = Array.from({ length: 20 }, () =>
        cluster.submit(otherEntry),
      );
      cluster.advance(20);
      const rejects = calls
        .map((id) => cluster.decisions.get(id)?.[0])
        .filter((decision) => decision?.type === "reject");
      // Four slots, one call above the slots per server, three waiting.
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
      cluster.joinAll();
      const { otherEntry } = cluster;
      const patient = { priority: "patient" } as const;
      for (let n = 0; n < 12; n++) cluster.submit(otherEntry, patient);
      const urgent = cluster.submit(otherEntry);
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
    guards: "it is queued although it cannot be answered in time",
    run() {
      const cluster = fullCluster();
      const { otherEntry } = cluster;
      for (let n = 0; n < 40; n++) cluster.submit(otherEntry);
      cluster.advance(5);
      const late = cluster.submit(otherEntry, { deadline: cluster.now + 60 });
      cluster.advance(5);
      const decision = cluster.decisions.get(late)?.[0];
      assert.ok(decision?.type === "reject");
      assert.ok((decision.fault.retryAfterMs ?? 0) > 0);
    },
  },
  {
    name: "urgent calls arrive without end",
    guards: "patient calls starve",
    run() {
      const cluster = fullCluster();
      const { otherEntry } = cluster;
      const patient = cluster.submit(otherEntry, { priority: "patient" });
      let finished = 0;
      while (!cluster.serverOf(patient) && finished < 100) {
        while (cluster.decisions.size < finished + 40)
          cluster.submit(otherEntry);
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
      // One after the other, every entry gets a view with only itself.
      cluster.deliveryMode = () => "drop";
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
    guards:
      "it probes before the others have reduced their share of the budget",
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
