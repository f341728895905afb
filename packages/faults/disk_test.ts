import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { rmSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { until } from "../demo/until.ts";
import { FaultSite, WAIT_TIMEOUT_MS } from "./fault_site.ts";
import { exampleWriters, SectionWriter } from "./section_writer.ts";

// Guards against a host with a lost disk that still counts as the old member:
// committed changes would have fewer copies than the log assumes, and the next
// lost host would lose them. Also guards against member removals that leave no
// majority of live voters.
test("a host that lost its data folder is replaced before the next loss", async (t) => {
  const site = await FaultSite.start(t);
  const [alloc] = exampleWriters(site);
  for (let count = 0; count < 10; count++) await alloc.write();
  const leader = await site.waitForLeader();
  const followers = site.controlIds.filter((id) => id !== leader);
  const [lost = "", kept = ""] = followers;
  await site.kill(lost);
  deleteDataFolder(site, lost);
  const unsafeRemoval = await refusalOfRemoval(site, kept);
  assert.match(unsafeRemoval, /quorum_at_risk.*"live":1.*"needed":2/);
  for (const id of [leader, kept]) await waitUntilLost(site, { id, lost });
  for (let count = 0; count < 5; count++) await alloc.write([leader, kept]);
  site.restart(lost);
  await until(async () => (await addMember(site, lost)) === 0, {
    what: "the replacement is a member",
    withinMs: WAIT_TIMEOUT_MS,
  });
  await until(async () => (await voters(site)).length === 3, {
    what: "all control hosts vote",
    withinMs: WAIT_TIMEOUT_MS,
  });

  await site.kill(leader);
  deleteDataFolder(site, leader);
  const remaining = [kept, lost];
  assert.equal((await alloc.read(remaining)).revision, alloc.revision);
  const ids = (await alloc.history(remaining)).map((r) => r.change_id);
  for (const { changeId } of alloc.sent) assert.ok(ids.includes(changeId));
  await alloc.write(remaining);
  const refused = await refusalOfRemoval(site, kept);
  assert.match(refused, /quorum_at_risk/);
});

// Guards against a restart of all control hosts that loses or reverts changes,
// whether they are in a snapshot or in the log after it.
test("restart of all control hosts keeps the document", async (t) => {
  const site = await FaultSite.start(t);
  const sections = await addSections(site);
  const leader = await site.waitForLeader();
  await Promise.all(sections.map((writer) => writeMany(writer, leader)));
  const path = "/v1/document";
  const before = await site.requestControl(leader, { path });
  const state = JSON.parse(before.body) as { version: number };
  await Promise.all(site.controlIds.map((id) => site.kill(id)));
  for (const id of site.controlIds) site.restart(id);
  await site.waitForLeader();
  for (const id of site.controlIds) {
    const read = await site.operatorClient("system", [id]).read(["document"]);
    const { document, version } = read._unsafeUnwrap() as typeof state & {
      document: unknown;
    };
    const expected = state as unknown as { document: unknown };
    assert.deepEqual(document, expected.document);
    assert.ok(version >= state.version);
  }
  for (const writer of sections) {
    assert.equal((await writer.read()).revision, writer.revision);
    const last = writer.sent.at(-1);
    const put = last && (await writer.operator.put(writer.section, last));
    assert.deepEqual(put?._unsafeUnwrap(), last?.accepted);
    await writer.write();
  }
  const newest = Math.max(
    ...sections.map((writer) => writer.sent.at(-1)?.accepted.version ?? 0),
  );
  const entriesUpToDate = async () => {
    const reports = await Promise.all(
      site.entryIds.map((id) => site.entryStatus(id)),
    );
    return reports.every((r) => r.ready && r.status.version >= newest);
  };
  await until(entriesUpToDate, {
    what: "entries follow",
    withinMs: WAIT_TIMEOUT_MS,
  });
});

/** Number of sections that are changed concurrently. */
const SECTION_COUNT = 10;
const CHANGES_PER_SECTION = 30;

async function writeMany(writer: SectionWriter, host: string): Promise<void> {
  for (let count = 0; count < CHANGES_PER_SECTION; count++)
    await writer.write([host]);
}

/** Adds sections to the document, each with one service. */
async function addSections(site: FaultSite): Promise<SectionWriter[]> {
  const team = "allocation";
  const [template = ""] = site.processes.sectionText("alloc").split("stops:");
  const names = Array.from(
    { length: SECTION_COUNT },
    (_, i) => `extra-${i + 1}`,
  );
  const owners = names.map((name) => `  ${name}: ${team}\n`).join("");
  const system = `${site.processes.sectionText("system").trimEnd()}\n${owners}`;
  const change = { text: system, revision: 1, changeId: uuidv7() };
  const put = await site.operatorClient("system").put("system", change);
  assert.ok(put.isOk());
  return names.map((section) => {
    const text = template.replace("alloc:", `${section}:`);
    return new SectionWriter(site, { section, team, text, revision: 0 });
  });
}

function deleteDataFolder(site: FaultSite, id: string): void {
  rmSync(join(site.folder, "data", id), { recursive: true });
}

/** Waits until a control host reports another one as lost. */
async function waitUntilLost(
  site: FaultSite,
  { id, lost }: { id: string; lost: string },
): Promise<void> {
  const isLost = async () => {
    const read = await site.operatorClient("system", [id]).read(["hosts"]);
    const { hosts } = read._unsafeUnwrap() as {
      hosts: { id: string; state: string }[];
    };
    return hosts.some((host) => host.id === lost && host.state === "lost");
  };
  await until(isLost, { what: `${lost} is lost`, withinMs: WAIT_TIMEOUT_MS });
}

/** Requests the removal of a member; returns why it is refused. */
async function refusalOfRemoval(site: FaultSite, id: string): Promise<string> {
  const removed = await site.operatorClient("system").removeMember(id);
  const fault = removed._unsafeUnwrapErr();
  assert.ok(fault.type === "refused");
  assert.equal(fault.code, "member_change_refused");
  return fault.message;
}

/** Ids of the voting members. */
async function voters(site: FaultSite): Promise<string[]> {
  const read = await site.operatorClient("system").read(["members"]);
  const { members } = read._unsafeUnwrap() as {
    members: { id: string; role: string }[];
  };
  return members
    .filter(({ role }) => role === "voter")
    .map(({ id }) => id)
    .sort();
}

/** Runs `mangobank members add`; returns its exit code. */
function addMember(site: FaultSite, id: string): Promise<number> {
  const control = site.processes.controls.find((c) => c.id === id);
  const { host = "", port = 0 } = control?.peer ?? {};
  const controlFlags = site.processes.controls
    .filter((c) => c.id !== id)
    .flatMap(({ http }) => ["--control", `${http.host}:${http.port}`]);
  const credential = join(site.folder, "credentials", "system.key");
  const args = [
    ...[site.mangobank, "members", "add", id, `${host}:${port}`],
    ...[...controlFlags, "--credential-file", credential],
  ];
  return new Promise((resolve) => {
    const child = execFile(process.execPath, args);
    child.once("exit", (code) => resolve(code ?? -1));
  });
}
