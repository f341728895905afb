import assert from "node:assert/strict";
import { test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { until } from "../demo/until.ts";
import { FaultSite, WAIT_TIMEOUT_MS } from "./fault_site.ts";
import { type AcceptedChange, exampleWriters } from "./section_writer.ts";

// Guards against an accepted change that is lost when the leader crashes, and
// against a resent change that is applied twice.
test("a crash of the leader loses no accepted change", async (t) => {
  const site = await FaultSite.start(t);
  const leader = await site.waitForLeader();
  const others = site.controlIds.filter((id) => id !== leader);
  const [alloc, report] = exampleWriters(site);
  let stopped = false;
  const writing = report.writeUntil(() => stopped);
  for (let count = 0; count < 10; count++) await alloc.write();
  const pending = {
    text: alloc.nextText(),
    revision: alloc.revision,
    changeId: uuidv7(),
  };
  const path = "/v1/sections/alloc";
  const { team } = alloc;
  const lostReply = site.requestControl(leader, { path, put: pending, team });
  await new Promise((resolve) => setTimeout(resolve, 3));
  await site.kill(leader);
  await lostReply;
  const resent = await site.operatorClient(team, others).put("alloc", pending);
  const answer = resent._unsafeUnwrap() as AcceptedChange;
  assert.equal(answer.section_revision, pending.revision + 1);
  alloc.setRevision(answer.section_revision);
  for (let count = 0; count < 10; count++) await alloc.write(others);
  stopped = true;
  await writing;

  for (const id of others) {
    const again = await site.operatorClient(team, [id]).put("alloc", pending);
    assert.deepEqual(again._unsafeUnwrap(), answer);
    for (const writer of [alloc, report]) {
      const changeIds = new Map(
        (await writer.history([id])).map((r) => [r.revision, r.change_id]),
      );
      const latest = writer.sent.slice(-50);
      assert.ok(latest.length >= 10);
      for (const { changeId, accepted } of latest) {
        assert.equal(changeIds.get(accepted.section_revision), changeId);
      }
      assert.equal((await writer.read([id])).revision, writer.revision);
    }
    for (const change of alloc.sent.slice(8, 13)) {
      const repeated = await site
        .operatorClient(team, [id])
        .put("alloc", change);
      assert.deepEqual(repeated._unsafeUnwrap(), change.accepted);
    }
  }
});

// Guards against a frozen leader that resumes without knowing that it was
// replaced, and then accepts a change or confirms an outdated state.
test("a leader that was frozen confirms no outdated state", async (t) => {
  const site = await FaultSite.start(t);
  const frozen = await site.waitForLeader();
  const others = site.controlIds.filter((id) => id !== frozen);
  const [alloc] = exampleWriters(site);
  await alloc.write();
  const stale = {
    text: alloc.nextText(),
    revision: alloc.revision,
    changeId: uuidv7(),
  };
  site.processes.signal(frozen, "SIGSTOP");
  // So that no message of the new leader is waiting when it resumes.
  site.mesh.isolate(frozen);
  const path = "/v1/sections/alloc";
  const { team } = alloc;
  // These requests wait in the sockets until the process resumes.
  const reads = Array.from({ length: 10 }, () =>
    site.requestControl(frozen, { path }),
  );
  const put = site.requestControl(frozen, { path, put: stale, team });
  assert.notEqual(await site.waitForLeader({ except: [frozen] }), frozen);
  for (let count = 0; count < 5; count++) await alloc.write(others);
  site.processes.signal(frozen, "SIGCONT");

  for (const { code } of await Promise.all(reads)) {
    assert.equal(code, "no_quorum");
  }
  const { code } = await put;
  assert.ok(["no_quorum", "result_unknown"].includes(code ?? ""));
  site.mesh.heal();
  const again = await site.operatorClient(team, [frozen]).put("alloc", stale);
  const fault = again._unsafeUnwrapErr();
  assert.equal(fault.type === "refused" && fault.code, "conflict");
  assert.equal((await alloc.read([frozen])).revision, alloc.revision);
  const ids = (await alloc.history([frozen])).map((r) => r.change_id);
  assert.ok(!ids.includes(stale.changeId));
  const entriesUpToDate = async () => {
    const reports = await Promise.all(
      site.entryIds.map((id) => site.entryStatus(id)),
    );
    const { version } = alloc.sent.at(-1)?.accepted ?? { version: 0 };
    return reports.every((r) => r.ready && r.status.version >= version);
  };
  await until(entriesUpToDate, {
    what: "entries follow",
    withinMs: WAIT_TIMEOUT_MS,
  });
});
