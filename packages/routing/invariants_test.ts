import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { makeServer, TestCluster } from "./test_cluster.ts";

const KINDS = ["answered", "failed", "not_started", "lost"] as const;
const SERVERS = ["s0", "s1", "s2", "s3"];
const FATES = ["deliver", "deliver", "duplicate", "drop"] as const;

const EVENT = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ type: fc.constant("submit"), n: fc.nat(99) }),
  },
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant("finish"), n: fc.nat(99) }),
  },
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant("advance"), n: fc.nat(60) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant("cancel"), n: fc.nat(99) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("network"), n: fc.nat(3) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("view"), n: fc.nat(7) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("servers"), n: fc.nat(15) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("freeze"), n: fc.nat(2) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("peerDown"), n: fc.nat(8) }),
  },
);

/**
 * A cluster with random events, and the invariants that must hold after each.
 */
class Run {
  readonly cluster = new TestCluster({
    servers: SERVERS.map((id) => makeServer(id)),
    service: { queueLength: 6 },
  });
  /** Number of decisions that each cancelled call had when it was cancelled. */
  readonly cancelled = new Map<string, number>();
  readonly entryOf = new Map<string, string>();

  step(type: string, n: number): void {
    const { cluster } = this;
    const ids = [...cluster.routers.keys()];
    const entry = ids[n % ids.length] ?? "";
    switch (type) {
      case "submit": {
        const priority = n % 3 === 0 ? "patient" : "urgent";
        const deadline = cluster.now + (n % 5 === 0 ? 30 : 3_000);
        const exclude = n % 7 === 0 ? new Set(["s0"]) : undefined;
        const options = { priority, deadline, exclude } as const;
        this.entryOf.set(cluster.submit(entry, options), entry);
        return;
      }
      case "finish": {
        const running = [...cluster.running.keys()];
        const call = running[n % Math.max(1, running.length)];
        if (!call) return;
        const kind = KINDS[n % KINDS.length] ?? "answered";
        cluster.finish(call, { kind, serviceMs: n, leaving: n === 77 });
        return;
      }
      case "cancel": {
        const calls = [...cluster.decisions.keys()];
        const call = calls[n % Math.max(1, calls.length)];
        if (!call || this.cancelled.has(call)) return;
        const count = cluster.decisions.get(call)?.length ?? 0;
        this.cancelled.set(call, count);
        cluster.cancel(this.entryOf.get(call) ?? "", call);
        return;
      }
      case "network": {
        const fate = FATES[n] ?? "deliver";
        cluster.deliveryMode = () => fate;
        return;
      }
      case "view": {
        const { view } = cluster;
        const entries = cluster.view.entries.map((known, index) =>
          n % 3 === index
            ? { ...known, state: "stopping" as const }
            : { ...known, state: "ready" as const },
        );
        cluster.setView({ ...view, entries, epoch: view.epoch + 1 });
        return;
      }
      case "servers": {
        const present = SERVERS.filter((_, bit) => ((n >> bit) & 1) === 1);
        cluster.setServers(present.map((id) => makeServer(id)));
        return;
      }
      case "freeze": {
        if (cluster.frozenEntries.size > 0) cluster.frozenEntries.clear();
        else cluster.frozenEntries.add(entry);
        cluster.releaseHeld();
        return;
      }
      case "peerDown": {
        const lost = ids[Math.floor(n / 3) % ids.length] ?? "";
        const { now } = cluster;
        cluster.apply(entry, cluster.router(entry).peerDown(lost, now));
        return;
      }
      default:
        cluster.advance(n);
    }
  }

  /** Ends all faults and lets all calls end. */
  settle(): void {
    const { cluster } = this;
    cluster.deliveryMode = () => "deliver";
    cluster.frozenEntries.clear();
    cluster.releaseHeld();
    cluster.setServers(SERVERS.map((id) => makeServer(id)));
    for (let round = 0; round < 100; round++) {
      cluster.advance(50);
      for (const call of [...cluster.running.keys()]) cluster.finish(call);
    }
    cluster.advance(3_000);
  }

  check(): void {
    for (const [call, decisions] of this.cluster.decisions) {
      assert.ok(decisions.length <= 1, `${call} decided twice`);
      const before = this.cancelled.get(call);
      if (before === undefined) continue;
      assert.equal(decisions.length, before, `${call} decided when cancelled`);
    }
    for (const router of this.cluster.routers.values()) {
      const { slots } = router.dispatcher("alloc") ?? {};
      let free = 0;
      for (const server of slots?.servers() ?? []) {
        assert.ok(server.inUse >= 0 && server.credits >= 0);
        if (!server.isSlow) free += server.free;
      }
      assert.equal(slots?.free ?? 0, free, "sum of free slots");
    }
  }
}

// Guards against lost calls, calls that run twice, and slots that leak or are
// counted below zero under any mixture of faults.
test("each call gets one decision and all slots are freed", () => {
  fc.assert(
    fc.property(fc.array(EVENT, { maxLength: 120 }), (events) => {
      const run = new Run();
      for (const { type, n } of events) {
        run.step(type, n);
        run.check();
      }
      run.settle();
      run.check();
      for (const [call, decisions] of run.cluster.decisions) {
        if (run.cancelled.has(call)) continue;
        assert.equal(decisions.length, 1, `${call} has no decision`);
      }
      for (const router of run.cluster.routers.values()) {
        for (const server of router.dispatcher("alloc")?.slots.servers() ??
          []) {
          assert.equal(server.inUse, 0, `${server.record.id} leaks`);
          assert.equal(server.credits, 0, `${server.record.id} keeps credits`);
        }
      }
    }),
    { numRuns: Number(process.env.FC_RUNS ?? 60), seed: 20_261_203 },
  );
});
