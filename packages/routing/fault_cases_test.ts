import assert from "node:assert/strict";
import { test } from "node:test";
import { Dispatcher } from "./dispatcher.ts";
import { SequenceNumbers } from "./sequence_numbers.ts";
import {
  type FaultCase,
  fullCluster,
  makeServer,
  makeView,
  SERVICE,
  TestCluster,
} from "./test_cluster.ts";

const CASES: FaultCase[] = [
  {
    name: "the dispatcher dies",
    guards: "waiting calls hang although servers have free slots",
    run() {
      const cluster = fullCluster();
      const { otherEntry, dispatcher } = cluster;
      cluster.deliveryMode = (from) =>
        from === dispatcher ? "drop" : "deliver";
      const [call = ""] = cluster.running.keys();
      const waiting = cluster.submit(otherEntry, { exclude: new Set(["s9"]) });
      cluster.finish(call);
      cluster.kill(dispatcher);
      assert.ok(cluster.serverOf(waiting), "not assigned at once");
      const next = cluster.submit(otherEntry);
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      assert.ok(cluster.serverOf(next), "not assigned without dispatcher");
    },
  },
  {
    name: "the dispatcher freezes and recovers",
    guards: "a silent dispatcher blocks an entry, or is never used again",
    run() {
      const cluster = new TestCluster();
      cluster.joinAll();
      const { otherEntry, dispatcher } = cluster;
      cluster.frozenEntries.add(dispatcher);
      const calls = Array.from({ length: 4 }, () => cluster.submit(otherEntry));
      cluster.advance(45);
      for (const id of calls) assert.ok(cluster.serverOf(id), `${id} waits`);
      assert.notEqual(
        cluster.router(otherEntry).dispatcherLinkState("alloc"),
        "attached",
      );
      cluster.frozenEntries.delete(dispatcher);
      cluster.releaseHeld();
      cluster.advance(250);
      assert.equal(
        cluster.router(otherEntry).dispatcherLinkState("alloc"),
        "attached",
      );
      assert.equal(cluster.slotsInUse(), 4);
    },
  },
  {
    name: "the dispatcher is cut off while calls wait",
    guards: "an acknowledged call waits for a grant that never comes",
    run() {
      const cluster = fullCluster();
      const { otherEntry, dispatcher } = cluster;
      const waiting = cluster.submit(otherEntry);
      cluster.advance(8);
      cluster.deliveryMode = (from, { to }) =>
        from === dispatcher || to === dispatcher ? "drop" : "deliver";
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(50);
      assert.ok(cluster.serverOf(waiting));
    },
  },
  {
    name: "the dispatcher is cut off while others' calls run",
    guards: "servers are found slow by calls whose end could not be reported",
    run() {
      const slots = 6;
      const ids = ["s0", "s1", "s2", "s3", "s4"];
      const servers = ids.map((id) => makeServer(id, { slots }));
      const cluster = new TestCluster({ servers });
      cluster.joinAll();
      const { otherEntry, dispatcher } = cluster;
      for (let call = 0; call < 30; call++) cluster.submit(otherEntry);
      cluster.advance(10);
      assert.equal(cluster.running.size, 30);
      cluster.deliveryMode = () => "drop";
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(400);
      // The dispatcher hears from the entry again, but before its next report.
      cluster.deliveryMode = () => "deliver";
      cluster.submit(otherEntry);
      cluster.advance(30);
      const table = cluster.router(dispatcher).dispatcher("alloc")?.slots;
      for (const { record, health } of table?.servers() ?? []) {
        assert.equal(health.status, "good", record.id);
      }
    },
  },
  {
    name: "the entries are cut off from a dispatcher with calls of its own",
    guards: "its calls wait for slots that the others no longer use",
    run() {
      const cluster = fullCluster();
      const { dispatcher } = cluster;
      cluster.deliveryMode = () => "drop";
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      const waiting = cluster.submit(dispatcher);
      cluster.advance(800);
      assert.ok(cluster.serverOf(waiting));
    },
  },
  {
    name: "messages of an old epoch arrive",
    guards: "an old dispatcher or view changes what is granted",
    run() {
      const cluster = new TestCluster();
      cluster.joinAll();
      const { otherEntry, dispatcher } = cluster;
      cluster.deliveryMode = (_, { kind }) =>
        kind === "dispatch_update" || kind === "dispatch_grant"
          ? "hold"
          : "deliver";
      cluster.submit(otherEntry);
      cluster.advance(5);
      assert.ok(cluster.heldMessages.length > 0);
      cluster.deliveryMode = () => "deliver";
      cluster.setView({ ...cluster.view, epoch: 2 });
      cluster.advance(30);
      const before = cluster.slotsInUseByServer();
      cluster.releaseHeld();
      assert.deepEqual(cluster.slotsInUseByServer(), before);
      const old = cluster.router(dispatcher).receive(
        otherEntry,
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
      assert.deepEqual(cluster.slotsInUseByServer(), before);
    },
  },
  {
    name: "an entry stops with granted slots",
    guards: "slots of a stopped entry leak",
    run() {
      const cluster = fullCluster();
      assert.equal(cluster.slotsInUse(), 4);
      cluster.kill(cluster.otherEntry);
      assert.equal(cluster.slotsInUse(), 0);
    },
  },
  {
    name: "an entry disappears silently with granted slots",
    guards: "slots leak until the lost connection is detected",
    run() {
      const cluster = fullCluster();
      const { otherEntry } = cluster;
      cluster.routers.delete(otherEntry);
      cluster.advance(3_000);
      assert.equal(cluster.slotsInUse(), 0);
    },
  },
  {
    name: "a restarted entry sends messages before its lost connection is detected",
    guards: "its low sequence numbers are taken for duplicates forever",
    run() {
      const cluster = fullCluster();
      const { otherEntry } = cluster;
      const entries = cluster.view.entries.map((entry) =>
        entry.id === otherEntry ? { ...entry, incarnation: 2 } : entry,
      );
      cluster.routers.delete(otherEntry);
      cluster.setView({ ...cluster.view, entries, epoch: 2 });
      assert.equal(cluster.slotsInUse(), 0);
    },
  },
  {
    name: "releases are lost",
    guards: "a slot stays in use at the dispatcher forever",
    run() {
      const cluster = fullCluster();
      cluster.deliveryMode = (_, { kind }) =>
        kind === "dispatch_update" ? "drop" : "deliver";
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(10);
      cluster.deliveryMode = () => "deliver";
      assert.equal(cluster.slotsInUse(), 4);
      cluster.advance(600);
      assert.equal(cluster.slotsInUse(), 0);
    },
  },
  {
    name: "messages arrive twice, the second time late",
    guards: "a duplicate takes, frees or assigns a slot a second time",
    run() {
      const cluster = new TestCluster();
      // A duplicate of a release would undo the duplicate of the take before
      // it.
      cluster.deliveryMode = (_, { kind, payload }) =>
        kind === "dispatch_update" && payload.released.length > 0
          ? "deliver"
          : "duplicate";
      cluster.joinAll();
      const { otherEntry } = cluster;
      const calls = Array.from({ length: 8 }, () => cluster.submit(otherEntry));
      while (cluster.running.size > 0) {
        cluster.advance(5);
        const [id = ""] = cluster.running.keys();
        cluster.finish(id);
      }
      // Well before the next report, which would correct the count.
      cluster.advance(40);
      assert.equal(cluster.slotsInUse(), 0);
      for (const id of calls) {
        assert.equal(cluster.decisions.get(id)?.length, 1);
      }
    },
  },
  {
    name: "a report crosses a grant",
    guards: "the granted slot counts as free while its call runs",
    run() {
      const view = makeView(["e1"]);
      const members = new Map(view.entries.map((entry) => [entry.id, entry]));
      const dispatcher = new Dispatcher({
        service: SERVICE,
        view: { epoch: 1, members },
        sequenceNumbers: new SequenceNumbers(),
        now: 0,
      });
      dispatcher.setServers([makeServer("s1")], 0);
      dispatcher.tick(100);
      const wanted = {
        ticket: 7,
        priority: "urgent",
        class: "booking",
        remainingMs: 1_000,
        waitedMs: 0,
      } as const;
      const header = { service: "alloc", epoch: 1, taken: [], credits: [] };
      const used = () => [...dispatcher.slots.servers()][0]?.inUse;
      const old = { ...header, sequence: 1, seen: 0, wanted: [wanted] };
      const [answer] = dispatcher.handleReport("e1", old, 100);
      assert.equal(used(), 1);
      const [again] = dispatcher.handleReport(
        "e1",
        { ...old, sequence: 2 },
        101,
      );
      assert.equal(used(), 1);
      assert.ok(again?.kind === "dispatch_grant");
      assert.deepEqual(again.payload.grants, [], "granted twice");
      const seen = answer?.payload.sequence ?? 0;
      const idle = { ...header, sequence: 3, seen, wanted: [] };
      dispatcher.handleReport("e1", idle, 102);
      assert.equal(used(), 0);
    },
  },
  {
    name: "a server leaves while its slots are granted",
    guards: "new calls on a leaving server, or slots counted below zero",
    run() {
      const cluster = fullCluster();
      const { otherEntry } = cluster;
      cluster.setServers([makeServer("s1", { state: "leaving" })]);
      const waiting = cluster.submit(otherEntry, {
        deadline: cluster.now + 200,
      });
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(100);
      assert.equal(cluster.serverOf(waiting), undefined);
      assert.equal(cluster.slotsInUse(), 0);
    },
  },
  {
    name: "a grant names a server that the entry knows to be leaving",
    guards: "new calls to a leaving server until presence reports it",
    run() {
      const cluster = fullCluster();
      const { otherEntry } = cluster;
      const leaving = [...cluster.running].filter(
        ([, run]) => run.server === "s1",
      );
      const waiting = Array.from({ length: 2 }, () =>
        cluster.submit(otherEntry),
      );
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
    name: "another server answers at the address of a wrong record",
    guards: "a server unused for good once its own address is back",
    run() {
      const own = ["s1", "s2"].map((id) => makeServer(id));
      const address = { host: "127.0.0.1", port: 2 };
      const wrong = own.map((server) => ({ ...server, address }));
      const cluster = new TestCluster({ servers: wrong });
      cluster.joinAll();
      const { otherEntry } = cluster;
      const calls = Array.from({ length: 4 }, () => cluster.submit(otherEntry));
      cluster.advance(20);
      for (const id of calls) cluster.finish(id, { leaving: true });
      cluster.advance(20);
      cluster.setServers(own);
      const call = cluster.submit(otherEntry);
      cluster.advance(20);
      assert.ok(cluster.serverOf(call));
    },
  },
  {
    name: "a new dispatcher takes over",
    guards: "it grants slots that calls of the previous one still use",
    run() {
      const cluster = fullCluster();
      const { dispatcher, otherEntry } = cluster;
      const rest = cluster.view.entries.filter(({ id }) => id !== dispatcher);
      cluster.setView({ ...cluster.view, entries: rest, epoch: 2 });
      cluster.routers.delete(dispatcher);
      const waiting = cluster.submit(otherEntry);
      cluster.advance(40);
      assert.equal(cluster.slotsInUse(), 4);
      assert.equal(
        cluster.router(otherEntry).dispatcherLinkState("alloc"),
        "attached",
      );
      for (const id of [...cluster.running.keys()]) cluster.finish(id);
      cluster.advance(5);
      assert.ok(cluster.serverOf(waiting));
    },
  },
  {
    name: "the dispatcher knows no servers yet",
    guards:
      "calls wait for it until their deadline although entries know servers",
    run() {
      const cluster = new TestCluster();
      cluster.joinAll();
      const { otherEntry, dispatcher } = cluster;
      cluster.router(dispatcher).setServers("alloc", [], cluster.now);
      const calls = Array.from({ length: 4 }, () => cluster.submit(otherEntry));
      cluster.advance(50);
      for (const id of calls) assert.ok(cluster.serverOf(id));
    },
  },
];

for (const { name, guards, run } of CASES) {
  test(`${name}; guards against: ${guards}`, run);
}
