import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { LocalServers } from "./local_servers.ts";
import { SMALL_SITE, StatementRun } from "./statement_run.ts";
import { makeServer, SERVICE } from "./test_cluster.ts";

const SERVER_RECORDS = Array.from({ length: SMALL_SITE.servers }, (_, index) =>
  makeServer(`s${index}`, { slots: 6 }),
);

// Guards against entries that go on sending to a server that has refused a call
// and named a time to wait, be it calls, checks or probes.
test("an entry sends nothing to a server that asked it to back off", () => {
  for (const seed of [1, 2, 3]) {
    for (const serviceMs of [20, 300]) {
      const run = new StatementRun({ ...SMALL_SITE, seed, serviceMs });
      run.run(3_000);
      run.setBackOff("s0", 2_500);
      run.run(9_000);
      const sent = run.requestsDuringBackOff("s0");
      assert.equal(sent, 0, `seed ${seed}, ${serviceMs} ms`);
    }
  }
});

// Guards against a server that is lost to all entries because of one refusal,
// and against one that is lost for good.
test("a server that asked to back off gets calls again afterwards", () => {
  const run = new StatementRun(SMALL_SITE);
  run.run(3_000);
  run.setBackOff("s0", 1_500);
  run.run(2_000);
  run.setBackOff("s0", undefined);
  run.run(3_000);
  const { now } = run.cluster;
  run.run(4_000);
  assert.ok(run.requestsSince("s0", now) > 4 * 4);
});

test("other servers take the calls while one wants none", () => {
  const run = new StatementRun(SMALL_SITE);
  run.run(3_000);
  run.setBackOff("s0", 3_600_000);
  const before = run.answeredCount;
  run.run(10_000);
  assert.ok(run.answeredCount - before > 0.95 * 10 * SMALL_SITE.callsPerS);
});

// Guards against calls that wait for their deadline, and against slots that are
// granted and declined without end, when no server wants calls.
test("calls are refused at once with a time while all servers back off", () => {
  const run = new StatementRun({ ...SMALL_SITE, entries: 3 });
  run.run(2_000);
  for (let i = 0; i < SMALL_SITE.servers; i++) run.setBackOff(`s${i}`, 4_000);
  run.run(1_500);
  const { now } = run.cluster;
  run.run(2_000);
  const refusals = run.refusals.filter(({ at }) => at >= now);
  assert.ok(refusals.length > 0.9 * 2 * SMALL_SITE.callsPerS);
  for (const { code, waitedMs, retryAfterMs } of refusals) {
    assert.equal(code, "no_server");
    assert.ok(waitedMs < 250, `refused after ${waitedMs} ms`);
    assert.ok(retryAfterMs > 0 && retryAfterMs < 4_500, `${retryAfterMs}`);
  }
  for (let i = 0; i < SMALL_SITE.servers; i++) {
    assert.equal(run.requestsDuringBackOff(`s${i}`), 0, `s${i}`);
  }
});

// Guards against an entry that forgets a time to back off when the server's
// lease expires and is renewed, as it does while control hosts are cut off.
test("a time to back off outlasts an expired lease", () => {
  for (const expiredMs of [0, 300, 1_000]) {
    const run = new StatementRun(SMALL_SITE);
    run.run(3_000);
    run.setBackOff("s0", 4_000);
    run.run(1_500);
    run.cluster.setServers(SERVER_RECORDS.slice(1));
    run.run(expiredMs);
    run.cluster.setServers(SERVER_RECORDS);
    run.run(3_000);
    assert.equal(run.requestsDuringBackOff("s0"), 0, `${expiredMs} ms`);
  }
});

// Guards against a restarted server that is kept waiting for what its former
// incarnation said.
test("a new incarnation after an expired lease need not wait", () => {
  const run = new StatementRun(SMALL_SITE);
  run.run(3_000);
  run.setBackOff("s0", 3_600_000);
  run.run(1_500);
  run.cluster.setServers(SERVER_RECORDS.slice(1));
  run.run(300);
  run.restart("s0");
  const restarted = makeServer("s0", { slots: 6, incarnation: 2 });
  run.cluster.setServers([restarted, ...SERVER_RECORDS.slice(1)]);
  const { now } = run.cluster;
  run.run(4_000);
  assert.ok(run.requestsSince("s0", now) > 4 * 4);
});

// Guards against calls that are refused because a server whose lease has
// expired asks to back off, and against forgetting that it did.
test("a time to back off that comes after an expired lease is kept", () => {
  const dataCentre = "riga-a";
  const random = new SeededRandomness(1);
  const servers = new LocalServers(SERVICE, { dataCentre, random });
  const [expired, other] = [makeServer("s0"), makeServer("s1")];
  servers.setServers([expired, other], 0);
  const server = servers.get("s0");
  assert.ok(server);
  servers.recordStart(server, 10);
  servers.setServers([other], 20);
  const refusal = {
    kind: "not_started",
    serviceMs: 5,
    class: "lookup",
  } as const;
  servers.recordResult(server, { ...refusal, backOffMs: 2_000 }, 30);
  assert.equal(servers.backOffWaitMs(30), 0, "the other server wants calls");
  servers.setServers([expired, other], 40);
  const waitMs = servers.get("s0")?.backOffMs(40) ?? 0;
  assert.ok(waitMs >= 1_990, `${waitMs}`);
});
