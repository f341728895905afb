import assert from "node:assert/strict";
import { test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { until } from "../demo/until.ts";
import { FaultSite, type Reply, WAIT_TIMEOUT_MS } from "./fault_site.ts";
import {
  type AcceptedChange,
  exampleWriters,
  type SectionWriter,
  writerOfSection,
} from "./section_writer.ts";

// Guards against a leader that loses its majority, doesn't notice because no
// connection closes, and still confirms reads or accepts changes.
test("a leader behind a silent partition answers no_quorum", async (t) => {
  const site = await FaultSite.start(t);
  const cutOff = await site.waitForLeader();
  const others = site.controlIds.filter((id) => id !== cutOff);
  const [alloc] = exampleWriters(site);
  await alloc.write();
  site.mesh.isolate(cutOff);
  const path = "/v1/sections/alloc";
  const { team } = alloc;
  const late = {
    text: alloc.nextText(),
    revision: alloc.revision,
    changeId: uuidv7(),
  };
  const pendingPut = site.requestControl(cutOff, { path, put: late, team });
  const steppedDown = async () =>
    (await site.requestControl(cutOff, { path })).code === "no_quorum";
  await until(steppedDown, { what: "no_quorum", withinMs: WAIT_TIMEOUT_MS });
  const refused = await pendingPut;
  assert.ok(["no_quorum", "result_unknown"].includes(refused.code ?? ""));
  const stale = await site.requestControl(cutOff, {
    path: `${path}?stale=true`,
  });
  assert.equal(stale.status, 200);

  await site.waitForLeader({ except: [cutOff] });
  for (let count = 0; count < 5; count++) await alloc.write(others);
  assert.equal((await site.requestControl(cutOff, { path })).code, "no_quorum");
  site.mesh.heal();
  assert.equal((await alloc.read([cutOff])).revision, alloc.revision);
  const again = await site.operatorClient(team, [cutOff]).put("alloc", late);
  const fault = again._unsafeUnwrapErr();
  assert.equal(fault.type === "refused" && fault.code, "conflict");
});

// Guards against two accepted changes to the same revision, and against a
// conflict response that doesn't contain the winning text.
test("one of two concurrent edits is accepted", async (t) => {
  const site = await FaultSite.start(t);
  const [first, second] = competingWriters(site);
  const [one = "", two = ""] = site.controlIds;
  for (let round = 0; round < 20; round++) {
    const revision = first.revision;
    const texts = [first.nextText(), second.nextText()] as const;
    const replies = await Promise.all([
      send(site, { control: one, text: texts[0], revision }),
      send(site, { control: two, text: texts[1], revision }),
    ]);
    const winner = replies.findIndex(({ status }) => status === 200);
    const loser = replies[1 - winner];
    assert.equal(loser?.code, "conflict");
    const { error } = JSON.parse(loser.body) as {
      error: { text: string; revision: number };
    };
    assert.equal(error.text, texts[winner]);
    assert.equal(error.revision, revision + 1);
    first.setRevision(revision + 1);
  }
  assert.equal((await first.read()).revision, first.revision);
});

// Guards against half of the control hosts acting as a majority.
test("an even split accepts no change until it heals", async (t) => {
  const site = await FaultSite.start(t, { controls: 4 });
  const [first, second] = competingWriters(site);
  const [one = "", two = "", three = ""] = site.controlIds;
  await first.write();
  const { revision } = first;
  site.mesh.isolate(one, two, ...site.entryIds.slice(0, 1));
  const changes = [
    { control: one, text: first.nextText(), revision, changeId: uuidv7() },
    { control: three, text: second.nextText(), revision, changeId: uuidv7() },
  ];
  const split = await Promise.all(changes.map((c) => send(site, c)));
  for (const { code } of split) {
    assert.ok(["no_quorum", "result_unknown"].includes(code ?? ""));
  }
  for (const id of site.controlIds) {
    const path = "/v1/sections/alloc";
    const refused = async () =>
      (await site.requestControl(id, { path })).code === "no_quorum";
    await until(refused, { what: `${id} refuses`, withinMs: WAIT_TIMEOUT_MS });
  }
  site.mesh.heal();
  const answers = await Promise.all(
    changes.map(({ control, ...change }) =>
      site.operatorClient("allocation", [control]).put("alloc", change),
    ),
  );
  const accepted = answers.filter((answer) => answer.isOk());
  assert.equal(accepted.length, 1);
  const reply = accepted[0]?._unsafeUnwrap() as AcceptedChange;
  assert.equal(reply.section_revision, revision + 1);
  const fault = answers.find((answer) => answer.isErr())?._unsafeUnwrapErr();
  assert.ok(fault?.type === "refused" && fault.code === "conflict");
  const winner = changes[answers.findIndex((answer) => answer.isOk())];
  assert.equal(fault.details.text, winner?.text);
  const kept = await first.history();
  assert.deepEqual(
    kept.filter((r) => r.revision > revision).map((r) => r.change_id),
    [winner?.changeId],
  );
});

/** Two writers of the same section, whose texts always differ. */
function competingWriters(site: FaultSite): [SectionWriter, SectionWriter] {
  const second = writerOfSection(site, "alloc", "allocation");
  second.skipTexts(50_000);
  return [writerOfSection(site, "alloc", "allocation"), second];
}

/** Sends a change to one control host, without retries. */
function send(
  site: FaultSite,
  change: {
    control: string;
    text: string;
    revision: number;
    changeId?: string;
  },
): Promise<Reply> {
  const { control, changeId = uuidv7(), ...put } = change;
  const path = "/v1/sections/alloc";
  const team = "allocation";
  return site.requestControl(control, {
    path,
    team,
    put: { ...put, changeId },
  });
}
