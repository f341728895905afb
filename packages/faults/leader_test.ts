import assert from "node:assert/strict";
import { test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { until } from "../demo/until.ts";
import { FaultSite, WITHIN_MS } from "./fault_site.ts";
import { type Accepted, writers } from "./section_writer.ts";

// Guards against a change that an operator saw accepted and that the death of
// the leader undoes, and against a second run of a change that is sent again.
test("killed leader loses no accepted change", async (t) => {
  const site = await FaultSite.start(t);
  const leader = await site.leader();
  const others = site.controlIds.filter((id) => id !== leader);
  const [alloc, report] = writers(site);
  let stopped = false;
  const writing = report.writeUntil(() => stopped);
  for (let count = 0; count < 10; count++) await alloc.write();
  const open = {
    text: alloc.nextText(),
    revision: alloc.revision,
    changeId: uuidv7(),
  };
  const path = "/v1/sections/alloc";
  const { team } = alloc;
  const first = site.ask(leader, { path, put: open, team });
  await new Promise((resolve) => setTimeout(resolve, 3));
  await site.kill(leader);
  await first;
  const sent = await site.operator(team, others).put("alloc", open);
  const answer = sent._unsafeUnwrap() as Accepted;
  assert.equal(answer.section_revision, open.revision + 1);
  alloc.follow(answer.section_revision);
  for (let count = 0; count < 10; count++) await alloc.write(others);
  stopped = true;
  await writing;

  for (const id of others) {
    const again = await site.operator(team, [id]).put("alloc", open);
    assert.deepEqual(again._unsafeUnwrap(), answer);
    for (const writer of [alloc, report]) {
      const kept = new Map(
        (await writer.history([id])).map((r) => [r.revision, r.change_id]),
      );
      const latest = writer.sent.slice(-50);
      assert.ok(latest.length >= 10);
      for (const { changeId, accepted } of latest) {
        assert.equal(kept.get(accepted.section_revision), changeId);
      }
      assert.equal((await writer.read([id])).revision, writer.revision);
    }
    for (const change of alloc.sent.slice(8, 13)) {
      const repeated = await site.operator(team, [id]).put("alloc", change);
      assert.deepEqual(repeated._unsafeUnwrap(), change.accepted);
    }
  }
});

// Guards against a leader that was frozen, does not know that it was replaced,
// and accepts a change or confirms an old state when it wakes.
test("frozen leader confirms nothing old when it wakes", async (t) => {
  const site = await FaultSite.start(t);
  const frozen = await site.leader();
  const others = site.controlIds.filter((id) => id !== frozen);
  const [alloc] = writers(site);
  await alloc.write();
  const stale = {
    text: alloc.nextText(),
    revision: alloc.revision,
    changeId: uuidv7(),
  };
  site.processes.signal(frozen, "SIGSTOP");
  // So that no message of the new leader waits for it when it wakes.
  site.mesh.isolate(frozen);
  const path = "/v1/sections/alloc";
  const { team } = alloc;
  // They wait in the sockets until the process wakes.
  const reads = Array.from({ length: 10 }, () => site.ask(frozen, { path }));
  const put = site.ask(frozen, { path, put: stale, team });
  assert.notEqual(await site.leader({ except: [frozen] }), frozen);
  for (let count = 0; count < 5; count++) await alloc.write(others);
  site.processes.signal(frozen, "SIGCONT");

  for (const { code } of await Promise.all(reads)) {
    assert.equal(code, "no_quorum");
  }
  const { code } = await put;
  assert.ok(["no_quorum", "result_unknown"].includes(code ?? ""));
  site.mesh.heal();
  const again = await site.operator(team, [frozen]).put("alloc", stale);
  const fault = again._unsafeUnwrapErr();
  assert.equal(fault.type === "refused" && fault.code, "conflict");
  assert.equal((await alloc.read([frozen])).revision, alloc.revision);
  const ids = (await alloc.history([frozen])).map((r) => r.change_id);
  assert.ok(!ids.includes(stale.changeId));
  const followed = async () => {
    const reports = await Promise.all(
      site.entryIds.map((id) => site.entryStatus(id)),
    );
    const { version } = alloc.sent.at(-1)?.accepted ?? { version: 0 };
    return reports.every((r) => r.ready && r.status.version >= version);
  };
  await until(followed, { what: "entries follow", withinMs: WITHIN_MS });
});
