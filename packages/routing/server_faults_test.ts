import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, SeededRandomness } from "#model";
import type { CallResultKind } from "./index.ts";
import { SequenceNumbers } from "./sequence_numbers.ts";
import { ServiceRouter } from "./service_router.ts";
import { makeCall, makeServer, SERVICE, TestCluster } from "./test_cluster.ts";

interface Behaviour {
  readonly kind?: CallResultKind;
  readonly meanMs?: number;
  readonly inFlight?: number;
  /** The server does not answer; its calls end at their deadline. */
  readonly expiresAfterMs?: number;
}

/**
 * Submits calls at a rate; returns the number of calls and the greatest
 * concurrency of each server.
 */
function drive(
  cluster: TestCluster,
  options: {
    ms: number;
    callsPerMs: number;
    seed?: number;
    behaviour: (server: string) => Behaviour;
    entries?: readonly string[];
  },
): { counts: Record<string, number>; maxInFlight: Record<string, number> } {
  const random = new SeededRandomness(options.seed ?? 1);
  const ids = options.entries ?? [...cluster.routers.keys()];
  const counts: Record<string, number> = {};
  const maxInFlight: Record<string, number> = {};
  const ends = new Map<string, { at: number; started: number }>();
  for (let ms = 0; ms < options.ms; ms++) {
    if (random.next() < options.callsPerMs) {
      const priority = random.next() < 0.5 ? "urgent" : "patient";
      cluster.submit(ids[random.below(ids.length)] ?? "", { priority });
    }
    cluster.advance(1);
    const inFlight: Record<string, number> = {};
    for (const [call, { server }] of [...cluster.running]) {
      inFlight[server] = (inFlight[server] ?? 0) + 1;
      const running = inFlight[server] ?? 0;
      maxInFlight[server] = Math.max(maxInFlight[server] ?? 0, running);
      const behaviour = options.behaviour(server);
      const known = ends.get(call);
      if (!known) {
        counts[server] = (counts[server] ?? 0) + 1;
        const mean = behaviour.meanMs ?? 20;
        const ms =
          behaviour.expiresAfterMs ?? -Math.log(1 - random.next()) * mean;
        ends.set(call, { at: cluster.now + ms, started: cluster.now });
      } else if (known.at <= cluster.now) {
        const serviceMs = cluster.now - known.started;
        const usualKind = behaviour.expiresAfterMs ? "expired" : "answered";
        const { kind = usualKind, inFlight: load } = behaviour;
        cluster.finish(call, { kind, serviceMs, inFlight: load });
      }
    }
  }
  return { counts, maxInFlight };
}

function servers(count: number, options: Partial<BackendServer> = {}) {
  return Array.from({ length: count }, (_, n) => makeServer(`s${n}`, options));
}

/** Stops the dispatcher, so that the entries choose servers locally. */
function cutDispatcher(cluster: TestCluster): string[] {
  const { dispatcher } = cluster;
  cluster.kill(dispatcher);
  return [...cluster.routers.keys()];
}

function share(counts: Record<string, number>, server: string): number {
  const all = Object.values(counts).reduce((a, b) => a + b, 0);
  return (counts[server] ?? 0) / all;
}

for (const mode of ["dispatched", "local"] as const) {
  test(`a server that fails fast attracts no calls (${mode})`, () => {
    const cluster = new TestCluster({ servers: servers(10) });
    cluster.joinAll();
    const entries = mode === "local" ? cutDispatcher(cluster) : undefined;
    const { counts } = drive(cluster, {
      ms: 3_000,
      callsPerMs: 0.5,
      entries,
      behaviour: (server) =>
        server === "s0" ? { kind: "failed", meanMs: 1 } : {},
    });
    assert.ok(share(counts, "s0") < 0.02, `${share(counts, "s0")}`);
  });

  test(`a server that sheds every call attracts no calls (${mode})`, () => {
    const cluster = new TestCluster({ servers: servers(10) });
    cluster.joinAll();
    const entries = mode === "local" ? cutDispatcher(cluster) : undefined;
    const { counts } = drive(cluster, {
      ms: 3_000,
      callsPerMs: 0.5,
      entries,
      behaviour: (server) =>
        server === "s0" ? { kind: "not_started", meanMs: 1 } : {},
    });
    assert.ok(share(counts, "s0") < 0.1, `${share(counts, "s0")}`);
  });

  // Guards against a server that accepts calls and never answers, and that an
  // entry prefers because it knows no service time of it.
  test(`a new server that never answers gets few calls (${mode})`, () => {
    for (const seed of [1, 2, 3]) {
      const all = servers(7, { slots: 6 });
      const cluster = new TestCluster({ entries: 5, servers: all.slice(1) });
      cluster.joinAll();
      const entries = mode === "local" ? cutDispatcher(cluster) : undefined;
      const options = { callsPerMs: 0.15, entries, seed };
      drive(cluster, { ...options, ms: 2_000, behaviour: () => ({}) });
      cluster.setServers(all);
      const { counts } = drive(cluster, {
        ...options,
        ms: 6_000,
        behaviour: (server) =>
          server === "s0" ? { expiresAfterMs: 3_000 } : {},
      });
      assert.ok(share(counts, "s0") < 0.04, `${share(counts, "s0")}`);
    }
  });

  test(`a wrong load report neither floods nor starves a server (${mode})`, () => {
    const cluster = new TestCluster({ servers: servers(4) });
    cluster.joinAll();
    const entries = mode === "local" ? cutDispatcher(cluster) : undefined;
    const { counts, maxInFlight } = drive(cluster, {
      ms: 4_000,
      callsPerMs: 0.2,
      entries,
      behaviour: (server) => {
        if (server === "s0") return { inFlight: 0 };
        return server === "s1" ? { inFlight: 1e9 } : { inFlight: 1 };
      },
    });
    assert.ok(share(counts, "s0") < 0.5, `flooded: ${share(counts, "s0")}`);
    assert.ok(share(counts, "s1") > 0.05, `starved: ${share(counts, "s1")}`);
    const bound = mode === "local" ? 4 : 3;
    assert.ok((maxInFlight.s0 ?? 0) <= bound, `${maxInFlight.s0} at once`);
  });
}

test("a slow server is avoided, and used again once it is fast", () => {
  const cluster = new TestCluster({ servers: servers(10) });
  cluster.joinAll();
  const run = (ms: number, meanMs: number) =>
    drive(cluster, {
      ms,
      callsPerMs: 0.7,
      behaviour: (server) => (server === "s0" ? { meanMs } : {}),
    });
  run(2_000, 100);
  const slow = run(2_000, 100);
  assert.ok(share(slow.counts, "s0") < 0.02, `${share(slow.counts, "s0")}`);
  run(12_000, 20);
  const fast = run(2_000, 20);
  assert.ok(share(fast.counts, "s0") > 0.05, `${share(fast.counts, "s0")}`);
});

// Guards against an entry without a dispatcher that spares a server for good
// which was slow for a time.
test("a server that was slow is used again once it is fast (local)", () => {
  for (const callsPerMs of [0.4, 0.8]) {
    const cluster = new TestCluster({ servers: servers(10) });
    cluster.joinAll();
    const entries = cutDispatcher(cluster);
    const run = (ms: number, meanMs: number) =>
      drive(cluster, {
        ms,
        callsPerMs,
        entries,
        behaviour: (server) => (server === "s0" ? { meanMs } : {}),
      });
    run(6_000, 100);
    run(12_000, 20);
    const fast = run(2_000, 20);
    assert.ok(share(fast.counts, "s0") > 0.03, `${share(fast.counts, "s0")}`);
  }
});

// Guards against servers that count as slow since this process got no processor
// time and has not read their answers.
test("a pause of the entry makes no server slow (local)", () => {
  const router = new ServiceRouter(SERVICE, {
    self: "e0",
    dataCentre: "riga-a",
    random: new SeededRandomness(1),
    sequenceNumbers: new SequenceNumbers(),
  });
  router.setServers(servers(4, { slots: 6 }), 0);
  let now = 0;
  const submit = (count: number) =>
    Array.from({ length: count }, (_, index) => {
      const call = makeCall(`c${now}-${index}`, now);
      router.submit(call, { exclude: new Set(), now });
      return call.id;
    });
  const advance = (ms: number) => {
    for (let i = 0; i < ms; i++) router.tick(++now);
  };
  const slowCount = () =>
    [...router.servers.servers()].filter(
      ({ health }) => health.status === "slow",
    ).length;
  for (let round = 0; round < 10; round++) {
    const ids = submit(8);
    advance(20);
    const result = { kind: "answered", serviceMs: 20 } as const;
    for (const id of ids) router.finish(id, result, now);
  }
  submit(20);
  now += 1_000;
  router.tick(now);
  assert.equal(slowCount(), 0, "judged before any answer is read");
  advance(60);
  assert.ok(slowCount() > 0, "no answers came either");
});

test("a slowdown of all servers ejects none", () => {
  const cluster = new TestCluster({ servers: servers(5) });
  cluster.joinAll();
  drive(cluster, { ms: 1_000, callsPerMs: 0.1, behaviour: () => ({}) });
  const { counts } = drive(cluster, {
    ms: 4_000,
    callsPerMs: 0.06,
    behaviour: () => ({ meanMs: 100 }),
  });
  for (let n = 0; n < 5; n++) {
    assert.ok(share(counts, `s${n}`) > 0.1, `s${n}: ${JSON.stringify(counts)}`);
  }
});

test("ejections never remove more than the configured share of capacity", () => {
  const cluster = new TestCluster({ servers: servers(10) });
  cluster.joinAll();
  const failing = new Set(["s0", "s1", "s2", "s3", "s4"]);
  drive(cluster, {
    ms: 2_000,
    callsPerMs: 0.5,
    behaviour: (server) => (failing.has(server) ? { kind: "failed" } : {}),
  });
  const { dispatcher } = cluster;
  const { slots } = cluster.router(dispatcher).dispatcher("alloc") ?? {};
  const out = [...(slots?.servers() ?? [])].filter(({ limit }) => limit === 0);
  assert.ok(out.length > 0, "nothing ejected");
  assert.ok(out.length <= 3, `${out.length} of 10 ejected, cap is 30%`);
});

test("a cold server gets few calls until it is warm", () => {
  const cold = makeServer("s0", { slots: 6, startedMsAgo: 0 });
  const warm = [1, 2, 3].map((n) => makeServer(`s${n}`, { slots: 6 }));
  const cluster = new TestCluster({ servers: [cold, ...warm] });
  cluster.joinAll();
  const options = { callsPerMs: 0.8, behaviour: () => ({}) };
  const first = drive(cluster, { ...options, ms: 1_500 });
  assert.ok(
    (first.maxInFlight.s0 ?? 0) <= 2,
    `${first.maxInFlight.s0} at once`,
  );
  drive(cluster, { ...options, ms: 9_000 });
  const later = drive(cluster, { ...options, ms: 1_500 });
  assert.ok(
    (later.maxInFlight.s0 ?? 0) >= 4,
    `${later.maxInFlight.s0} at once`,
  );
});

test("a service whose servers are all new keeps most of its slots", () => {
  const cold = [0, 1, 2, 3].map((n) =>
    makeServer(`s${n}`, { slots: 6, startedMsAgo: 0 }),
  );
  const cluster = new TestCluster({ servers: cold });
  cluster.joinAll();
  const { dispatcher } = cluster;
  const { slots } = cluster.router(dispatcher).dispatcher("alloc") ?? {};
  // At most 30% of the 24 slots are held back, and limits are rounded down.
  assert.ok((slots?.limit ?? 0) >= 16, `${slots?.limit} of 24 slots`);
});

test("near servers are preferred, and far ones used before near ones fill", () => {
  const near = servers(2, { dataCentre: "riga-a" });
  const far = [2, 3].map((n) => makeServer(`s${n}`, { dataCentre: "jelgava" }));
  const run = (callsPerMs: number) => {
    const cluster = new TestCluster({ servers: [...near, ...far] });
    cluster.joinAll();
    const behaviour = () => ({});
    const { counts } = drive(cluster, { ms: 3_000, callsPerMs, behaviour });
    return share(counts, "s0") + share(counts, "s1");
  };
  const idle = run(0.02);
  const busy = run(0.3);
  assert.ok(idle > 0.8, `near share when idle: ${idle}`);
  assert.ok(busy < 0.6, `near share when busy: ${busy}`);
});

test("the loss of a data centre does not overload the others", () => {
  const kept = servers(4, { dataCentre: "riga-a" });
  const lost = [4, 5].map((n) =>
    makeServer(`s${n}`, { dataCentre: "jelgava" }),
  );
  const cluster = new TestCluster({
    servers: [...kept, ...lost],
    service: { queueLength: 10 },
  });
  cluster.joinAll();
  const { maxInFlight } = drive(cluster, {
    ms: 3_000,
    callsPerMs: 0.5,
    behaviour: (server) =>
      server === "s4" || server === "s5" ? { meanMs: 1e9 } : {},
  });
  for (let n = 0; n < 6; n++) {
    // Two slots, one call above them, and one by a credit whose revocation came
    // too late.
    assert.ok((maxInFlight[`s${n}`] ?? 0) <= 4, JSON.stringify(maxInFlight));
  }
});
