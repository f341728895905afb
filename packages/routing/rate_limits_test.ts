import assert from "node:assert/strict";
import { test } from "node:test";
import {
  SMALL_SITE,
  StatementRun,
  type StatementRunOptions,
} from "./statement_run.ts";
import { makeServer, makeView, TestCluster } from "./test_cluster.ts";

/** Load at which nearly all slots are in use, so that no server is spared. */
const HIGH_LOAD = { ...SMALL_SITE, callsPerS: 200 };

/** A run in which two servers have named limits for a second. */
function makeLimitedRun(changes: Partial<StatementRunOptions> = {}) {
  const run = new StatementRun({ ...SMALL_SITE, ...changes });
  run.run(3_000);
  run.setLimit("s0", 2.3);
  run.setLimit("s1", 3.6);
  run.run(1_000);
  return run;
}

function assertWithinLimits(run: StatementRun, what: string): void {
  assert.equal(run.excess("s0"), 0, `s0, ${what}`);
  assert.equal(run.excess("s1"), 0, `s1, ${what}`);
}

// Guards against servers that name a limit and get requests as before, of all
// entries together: calls, checks and probes.
test("servers get no more requests than the rate limits that they name", () => {
  for (const site of [SMALL_SITE, HIGH_LOAD]) {
    for (const seed of [1, 2, 3]) {
      const run = new StatementRun({ ...site, seed });
      run.run(3_000);
      run.setLimit("s0", 2.3);
      run.setLimit("s1", 3.6);
      run.run(12_000);
      const what = `seed ${seed}, ${site.callsPerS} calls a second`;
      assertWithinLimits(run, what);
    }
  }
});

// Guards against a server that is shut out because it has named a limit.
test("a server with a rate limit is used up to it when others are full", () => {
  const run = makeLimitedRun(HIGH_LOAD);
  run.run(2_000);
  const { now } = run.cluster;
  run.run(10_000);
  assert.ok(run.requestsSince("s0", now) >= 0.8 * 23);
  assert.ok(run.requestsSince("s1", now) >= 0.8 * 36);
});

// Guards against calls whose server's speed was not checked although a server
// whose speed can be checked had room, and against a limit that never ends.
test("servers with a rate limit are spared while others have room", () => {
  const run = makeLimitedRun();
  run.run(2_000);
  const { now } = run.cluster;
  run.run(10_000);
  for (const server of ["s0", "s1"]) {
    const requests = run.requestsSince(server, now);
    assert.ok(requests >= 3 && requests <= 8, `${server}: ${requests}`);
  }
});

// Guards against slots that entries take without asking, for short calls.
test("rate limits hold for short calls", () => {
  const run = makeLimitedRun({ callsPerS: 600, serviceMs: 20 });
  run.run(8_000);
  assertWithinLimits(run, "short calls");
});

// Guards against entries that choose servers themselves in the meantime, and
// against a new dispatcher that allows the whole limit once more.
test("rate limits hold while the dispatcher is replaced", () => {
  for (const seed of [1, 2, 3, 4]) {
    const run = makeLimitedRun({ ...HIGH_LOAD, seed });
    const { cluster } = run;
    for (let epoch = 2; epoch <= 3; epoch++) {
      cluster.kill(cluster.dispatcher);
      run.run(1_500);
      cluster.setView(makeView([...cluster.routers.keys()], epoch));
      run.run(3_000);
    }
    assertWithinLimits(run, `seed ${seed}`);
  }
});

// Guards against probes, which are requests as well.
test("a server with a rate limit is not probed", () => {
  const servers = ["s0", "s1", "s2"].map((id) => makeServer(id));
  const cluster = new TestCluster({ servers });
  const exclude = new Set(["s0"]);
  const first = cluster.submit("e0", { exclude: new Set(["s1", "s2"]) });
  cluster.advance(20);
  cluster.finish(first, { rateLimit: 1 });
  for (let i = 0; i < 100; i++) {
    const call = cluster.submit("e0", { exclude });
    cluster.advance(60);
    cluster.finish(call, { serviceMs: 60 });
    cluster.advance(40);
  }
  assert.deepEqual(
    cluster.probes.filter(({ server }) => server === "s0"),
    [],
  );
});

// Guards against lists of limits that are sent with each call of an entry that
// joins its dispatcher anew: too much for the links of large sites.
test("an entry is told each change of a limit once", () => {
  const run = makeLimitedRun({ callsPerS: 17 });
  run.run(4_000);
  let listed = 0;
  let messages = 0;
  run.cluster.deliveryMode = (_, { payload }) => {
    messages += 1;
    if ("rateLimits" in payload) listed += 1;
    return "deliver";
  };
  run.run(5_000);
  assert.ok(messages > 100);
  assert.equal(listed, 0);
});

test("a new dispatcher learns the limits with the first reports", () => {
  const run = makeLimitedRun(HIGH_LOAD);
  const { cluster } = run;
  run.run(1_000);
  cluster.kill(cluster.dispatcher);
  cluster.setView(makeView([...cluster.routers.keys()], 2));
  run.run(100);
  const dispatcher = cluster.router(cluster.dispatcher).dispatcher("alloc");
  for (const server of ["s0", "s1"]) {
    assert.ok(dispatcher?.slots.get(server)?.pacer, server);
  }
});

test("entries cut off from the dispatcher keep to rate limits", () => {
  const run = makeLimitedRun();
  const { cluster } = run;
  run.run(1_000);
  const cutOff = [...cluster.routers.keys()].slice(0, 9);
  const { dispatcher } = cluster;
  cluster.deliveryMode = (from, { to }) =>
    cutOff.includes(from) !== cutOff.includes(to) &&
    (from === dispatcher || to === dispatcher)
      ? "drop"
      : "deliver";
  const before = run.answeredCount;
  run.run(8_000);
  assertWithinLimits(run, "cut off");
  assert.ok(run.answeredCount - before > 0.9 * 8 * SMALL_SITE.callsPerS);
});

// Guards against a restarted server that keeps the limit of its former life.
test("a new incarnation of a server has no rate limit", () => {
  const run = makeLimitedRun();
  run.setLimit("s0", undefined);
  const servers = Array.from({ length: SMALL_SITE.servers }, (_, i) =>
    makeServer(`s${i}`, { slots: 6, incarnation: i === 0 ? 2 : 1 }),
  );
  run.cluster.setServers(servers);
  const { now } = run.cluster;
  run.run(4_000);
  assert.ok(run.requestsSince("s0", now) > 4 * 4);
  assertWithinLimits(run, "after the restart of s0");
});

test("a rate limit ends with answers that name none", () => {
  const run = makeLimitedRun();
  run.run(3_000);
  run.setLimit("s0", undefined);
  run.run(3_000);
  const { now } = run.cluster;
  run.run(4_000);
  assert.ok(run.requestsSince("s0", now) > 4 * 4);
});

// Guards against a rate limit that throttles a server below its slots.
test("a rate limit above the load changes nothing", () => {
  const run = new StatementRun(SMALL_SITE);
  for (let i = 0; i < SMALL_SITE.servers; i++) run.setLimit(`s${i}`, 100);
  run.run(8_000);
  assert.ok(run.answeredCount > 0.95 * 7.5 * SMALL_SITE.callsPerS);
});

// Guards against calls that wait until their deadline for a dispatcher that is
// gone, since only it can use servers that limit their rate.
test("calls are refused at once without a dispatcher if all servers limit", () => {
  const run = new StatementRun(SMALL_SITE);
  run.run(2_000);
  for (let i = 0; i < SMALL_SITE.servers; i++) run.setLimit(`s${i}`, 2);
  run.run(2_000);
  const { cluster } = run;
  cluster.kill(cluster.dispatcher);
  const { now } = cluster;
  run.run(2_000);
  const refusals = run.refusals.filter(({ at }) => at > now);
  assert.ok(refusals.length > 0.9 * 2 * SMALL_SITE.callsPerS);
  const waits = refusals.map(({ waitedMs }) => waitedMs).sort((a, b) => a - b);
  const median = waits[Math.floor(waits.length / 2)] ?? 0;
  assert.ok(median <= 10, `half of them waited ${median} ms`);
  cluster.setView(makeView([...cluster.routers.keys()], 2));
  run.run(1_000);
  const before = run.answeredCount;
  run.run(3_000);
  assert.ok(run.answeredCount - before > 0.8 * 3 * 24);
});

// Guards against calls that wait until their deadline although the servers'
// limits leave no room for them. Some wait, late, until urgent ones come first.
test("calls beyond the limits of all servers are refused before their deadline", () => {
  const run = new StatementRun(SMALL_SITE);
  run.run(2_000);
  for (let i = 0; i < SMALL_SITE.servers; i++) run.setLimit(`s${i}`, 2);
  run.run(8_000);
  const refusals = run.refusals.filter(({ at }) => at > 5_000);
  assert.ok(refusals.length > 4 * (SMALL_SITE.callsPerS - 24));
  for (const { code, waitedMs, retryAfterMs } of refusals) {
    assert.equal(code, "queue_full");
    assert.ok(waitedMs < 2_000, `refused after ${waitedMs} ms`);
    assert.ok(retryAfterMs > 0);
  }
  const quick = refusals.filter(({ waitedMs }) => waitedMs < 50).length;
  assert.ok(quick > 0.5 * refusals.length, `${quick} of ${refusals.length}`);
  for (let i = 0; i < SMALL_SITE.servers; i++) {
    assert.equal(run.excess(`s${i}`), 0, `s${i}`);
  }
});
