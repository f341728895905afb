import assert from "node:assert/strict";
import { test } from "node:test";
import { ColdPeriod } from "./cold_period.ts";
import { StatementRun, type StatementRunOptions } from "./statement_run.ts";
import {
  makeServer,
  makeView,
  NORMAL_CHECK,
  TestCluster,
} from "./test_cluster.ts";

// Load pattern: three data centres serve a steady load of short calls; one of them has
// been away and returns with all of its servers cold, or servers become cold again.

const DATA_CENTRES = ["riga-a", "riga-b", "jelgava"];
const RETURNING = "jelgava";
const COLD_PER_S = 4;
const WARM_UP_MS = 12_000;
const SITE: StatementRunOptions = {
  seed: 1,
  entries: 12,
  servers: 12,
  callsPerS: 130,
  serviceMs: 120,
  slots: 3,
  dataCentres: DATA_CENTRES,
  service: { coldRequestsPerS: COLD_PER_S, coldStartMs: 0 },
};
/** Share of the load of each server once all are warm, in requests a second. */
const FULL_SHARE = SITE.callsPerS / SITE.servers;

/** Most requests that a cold server may get in a second: the page's bound. */
function bound(coldPerS = COLD_PER_S): number {
  return coldPerS * 1.5 + 8;
}

/** Most requests to a server in any second of a period; checks and probes count. */
function worstSecond(run: StatementRun, id: string, [from, to]: number[]) {
  const times = run.requests
    .filter(({ server }) => server === id)
    .map(({ at }) => at)
    .filter((at) => at >= (from ?? 0) && at < (to ?? Number.POSITIVE_INFINITY));
  let first = 0;
  let worst = 0;
  for (const [last, at] of times.entries()) {
    while (at - (times[first] ?? at) >= 1_000) first += 1;
    worst = Math.max(worst, last - first + 1);
  }
  return worst;
}

/** Sets the servers so that those of some data centres are cold from now on. */
function setCold(
  run: StatementRun,
  options: { present: readonly string[]; cold: readonly string[] },
): void {
  const { present, cold } = options;
  run.cluster.setServers(
    run.servers
      .filter(({ dataCentre }) => present.includes(dataCentre))
      .map((server) =>
        cold.includes(server.dataCentre)
          ? { ...server, warmUpRemainingMs: WARM_UP_MS }
          : server,
      ),
  );
}

/** A run in which a data centre returns cold after 2 s. */
function returnCold(changes: Partial<StatementRunOptions> = {}) {
  const run = new StatementRun({ ...SITE, ...changes });
  const others = DATA_CENTRES.filter((name) => name !== RETURNING);
  setCold(run, { present: others, cold: [] });
  run.run(2_000);
  setCold(run, { present: DATA_CENTRES, cold: [RETURNING] });
  const returnedAt = run.cluster.now;
  const ids = run.servers
    .filter(({ dataCentre }) => dataCentre === RETURNING)
    .map(({ id }) => id);
  return { run, returnedAt, ids, coldUntil: returnedAt + WARM_UP_MS };
}

function worstOf(run: StatementRun, ids: readonly string[], period: number[]) {
  return Math.max(...ids.map((id) => worstSecond(run, id, period)));
}

/** Requests a second to each of some servers on average. */
function rateOf(
  run: StatementRun,
  ids: readonly string[],
  [from, to]: number[],
) {
  const count = run.requests.filter(
    ({ server, at }) =>
      ids.includes(server) && at >= (from ?? 0) && at < (to ?? 0),
  ).length;
  return (count * 1_000) / ((to ?? 0) - (from ?? 0)) / ids.length;
}

// Guards against a data centre whose servers crash as they return, and against one
// that stays unused for as long as they are cold, or longer.
test("a data centre that returns cold is used as fast as the bound allows", () => {
  for (const seed of [1, 2, 3]) {
    const { run, returnedAt, ids, coldUntil } = returnCold({ seed });
    run.run(WARM_UP_MS + 4_000);
    const worst = worstOf(run, ids, [returnedAt, coldUntil]);
    assert.ok(worst <= bound(), `seed ${seed}: ${worst} in a second`);
    const first = rateOf(run, ids, [returnedAt, returnedAt + 1_000]);
    assert.ok(first >= 0.8 * COLD_PER_S, `${first} in the first second`);
    const cold = rateOf(run, ids, [returnedAt, coldUntil]);
    assert.ok(cold >= 0.8 * COLD_PER_S, `${cold} a second while cold`);
    const warm = rateOf(run, ids, [coldUntil + 1_000, coldUntil + 4_000]);
    assert.ok(warm >= 0.7 * FULL_SHARE, `${warm} a second once warm`);
    assert.equal(run.refusals.length, 0);
  }
});

// The baseline of the test above: what a balancer sends that ignores cold servers.
test("without a rate for cold servers nothing changes, and the bound is exceeded", () => {
  const service = { coldStartMs: 0 };
  const { run, returnedAt, ids, coldUntil } = returnCold({ service });
  run.run(2_000);
  const worst = worstOf(run, ids, [returnedAt, coldUntil]);
  assert.ok(worst > bound(), `${worst} in a second`);
  const first = rateOf(run, ids, [returnedAt, returnedAt + 1_000]);
  assert.ok(first >= FULL_SHARE, `${first} in the first second`);
});

// Guards against a new dispatcher that repeats the burst of the former one, and against
// entries that choose cold servers themselves in between.
test("the bound holds over 100 entries while the dispatcher is replaced", () => {
  for (const seed of [1, 2]) {
    const entries = 100;
    const { run, returnedAt, ids, coldUntil } = returnCold({ seed, entries });
    const { cluster } = run;
    run.run(1_000);
    for (let epoch = 2; epoch <= 4; epoch++) {
      cluster.kill(cluster.dispatcher);
      const lostAt = cluster.now;
      run.run(epoch === 2 ? 20 : 900);
      const sent = rateOf(run, ids, [lostAt + 10, cluster.now]);
      assert.equal(sent, 0, "requests without a dispatcher");
      const left = [...cluster.routers.keys()];
      cluster.setView(makeView(left, epoch, DATA_CENTRES));
      run.run(1_500);
    }
    const worst = worstOf(run, ids, [returnedAt, coldUntil]);
    assert.ok(worst <= bound(), `seed ${seed}: ${worst} in a second`);
  }
});

// Guards against entries that are cut off with their dispatcher and use the whole rate
// once more, beside the dispatcher of the others.
test("the bound holds with a second dispatcher that control has not confirmed", () => {
  const coldPerS = 30;
  const { run, ids, coldUntil } = returnCold({
    callsPerS: 700,
    slots: 8,
    service: { coldRequestsPerS: coldPerS, coldStartMs: 0 },
  });
  const { cluster } = run;
  run.run(1_000);
  const { dispatcher } = cluster;
  const all = [...cluster.routers.keys()];
  const cutOff = [
    dispatcher,
    ...all.filter((id) => id !== dispatcher).slice(0, 5),
  ];
  const others = all.filter((id) => !cutOff.includes(id));
  cluster.deliveryMode = (from, { to }) =>
    cutOff.includes(from) === cutOff.includes(to) ? "deliver" : "drop";
  for (const id of cutOff) cluster.unconfirmedEntries.add(id);
  const view = makeView(others, 2, DATA_CENTRES);
  for (const id of others) {
    const { service, now } = cluster;
    cluster.apply(id, cluster.router(id).configure([service], view, now));
  }
  run.run(100);
  const { now } = cluster;
  run.run(5_000);
  const rates = [cutOff, others].map((entries) => {
    const sent = run.requests.filter(
      ({ server, entry, at }) =>
        ids.includes(server) && entries.includes(entry) && at >= now,
    );
    return sent.length / 5 / ids.length;
  });
  assert.ok(
    rates.every((rate) => rate > 0.3 * coldPerS),
    `${rates} a second`,
  );
  const worst = worstOf(run, ids, [now, coldUntil]);
  assert.ok(worst <= bound(coldPerS), `${worst} in a second`);
});

test("with all servers cold and no dispatcher, few calls go out, within the bound", () => {
  for (const seed of [1, 2]) {
    const run = new StatementRun({ ...SITE, seed, entries: 100 });
    run.run(1_000);
    const { cluster } = run;
    setCold(run, { present: DATA_CENTRES, cold: DATA_CENTRES });
    const coldFrom = cluster.now;
    run.run(1_000);
    cluster.kill(cluster.dispatcher);
    const lostAt = cluster.now;
    run.run(3_000);
    const ids = run.servers.map(({ id }) => id);
    const alone = rateOf(run, ids, [lostAt + 10, cluster.now]);
    assert.ok(alone > 0, "no request without a dispatcher");
    assert.ok(alone <= COLD_PER_S, `${alone} a second`);
    const left = [...cluster.routers.keys()];
    cluster.setView(makeView(left, 2, DATA_CENTRES));
    run.run(3_000);
    const worst = worstOf(run, ids, [coldFrom, cluster.now]);
    assert.ok(worst <= bound(), `seed ${seed}: ${worst} in a second`);
    const again = rateOf(run, ids, [cluster.now - 2_000, cluster.now]);
    assert.ok(again >= 0.8 * COLD_PER_S, `${again} a second afterwards`);
  }
});

// Guards against a server that is cold again, which its next heartbeat tells late.
test("a check that finds a server cold again stops the calls of all entries", () => {
  const run = new StatementRun(SITE);
  run.run(2_000);
  const answer = { ...NORMAL_CHECK, warmUpMs: 5_000 };
  run.cluster.checkResults.set("s0", answer);
  const { now } = run.cluster;
  run.run(5_000);
  const worst = worstSecond(run, "s0", [now, now + 5_000]);
  assert.ok(worst <= bound(), `${worst} in a second`);
  assert.ok(run.requestsSince("s0", now) >= 5, "it is still used");
  run.cluster.checkResults.delete("s0");
  const warmAt = run.cluster.now + 500;
  run.run(3_500);
  assert.ok(rateOf(run, ["s0"], [warmAt, warmAt + 3_000]) > 2 * COLD_PER_S);
});

// Guards against a limit that a cold server names and its higher rate hides.
test("of a named limit and the rate of cold servers the lower one counts", () => {
  const { run, returnedAt, ids, coldUntil } = returnCold();
  const [id = ""] = ids;
  run.setLimit(id, 1);
  run.run(8_000);
  const rate = rateOf(run, [id], [returnedAt + 3_000, run.cluster.now]);
  assert.ok(rate <= 1.5, `${rate} a second`);
  assert.ok(run.cluster.now < coldUntil);
});

test("an announcement that was sent earlier does not end what an answer says", () => {
  const cold = new ColdPeriod();
  cold.recordAnnouncement(1_000, 0);
  assert.ok(cold.isCold(1_000));
  cold.recordAnswer(5_000, 500);
  cold.recordAnnouncement(undefined, 600);
  assert.ok(cold.isCold(5_000));
  assert.ok(!cold.isCold(6_000));
  cold.recordAnnouncement(2_000, 6_000);
  cold.recordAnnouncement(undefined, 7_000);
  assert.ok(!cold.isCold(7_000));
});

// Guards against a server that stays at its cold rate for ever, as its records no
// longer tell of a warm-up shortly before the process takes it to be over.
test("the pacing of a server ends with its warm-up", () => {
  const warm = makeServer("s1", { slots: 3 });
  const cluster = new TestCluster({
    servers: [{ ...warm, warmUpRemainingMs: 1_000 }],
    service: { coldRequestsPerS: COLD_PER_S, coldStartMs: 0 },
  });
  const slots = () =>
    cluster.routers.get(cluster.dispatcher)?.dispatcher("alloc")?.slots;
  cluster.advance(100);
  cluster.submit(cluster.otherEntry);
  cluster.advance(20);
  assert.equal(slots()?.get("s1")?.isPaced, true);
  cluster.advance(1_000);
  cluster.setServers([warm]);
  cluster.advance(2_000);
  assert.equal(slots()?.get("s1")?.isPaced, false);
});
