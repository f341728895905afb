import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { rmSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { until } from "../demo/until.ts";
import { FaultSite, WITHIN_MS } from "./fault_site.ts";
import { SectionWriter, writers } from "./section_writer.ts";

// Guards against a lost disk that counts as the old member, so that a change
// has fewer copies than the log believes and the next lost host loses it, and
// against member changes after which no majority would answer.
test("lost data folder is repaired before the next loss", async (t) => {
  const site = await FaultSite.start(t);
  const [alloc] = writers(site);
  for (let count = 0; count < 10; count++) await alloc.write();
  const leader = await site.leader();
  const followers = site.controlIds.filter((id) => id !== leader);
  const [lost = "", kept = ""] = followers;
  await site.kill(lost);
  loseDisk(site, lost);
  const unsafe = await remove(site, kept);
  assert.match(unsafe, /quorum_at_risk.*"live":1.*"needed":2/);
  for (const id of [leader, kept]) await countsAsLost(site, { id, lost });
  for (let count = 0; count < 5; count++) await alloc.write([leader, kept]);
  site.restart(lost);
  await until(async () => (await addMember(site, lost)) === 0, {
    what: "the replacement is a member",
    withinMs: WITHIN_MS,
  });
  await until(async () => (await voters(site)).length === 3, {
    what: "all control hosts vote",
    withinMs: WITHIN_MS,
  });

  await site.kill(leader);
  loseDisk(site, leader);
  const left = [kept, lost];
  assert.equal((await alloc.read(left)).revision, alloc.revision);
  const ids = (await alloc.history(left)).map((r) => r.change_id);
  for (const { changeId } of alloc.sent) assert.ok(ids.includes(changeId));
  await alloc.write(left);
  const refused = await remove(site, kept);
  assert.match(refused, /quorum_at_risk/);
});

// Guards against a restart of all control hosts that forgets or undoes changes,
// be they in a snapshot or in the log after it.
test("restart of all control hosts keeps the document", async (t) => {
  const site = await FaultSite.start(t);
  const sections = await manySections(site);
  const leader = await site.leader();
  await Promise.all(sections.map((writer) => writeMany(writer, leader)));
  const path = "/v1/document";
  const before = await site.ask(leader, { path });
  const state = JSON.parse(before.body) as { version: number };
  await Promise.all(site.controlIds.map((id) => site.kill(id)));
  for (const id of site.controlIds) site.restart(id);
  await site.leader();
  for (const id of site.controlIds) {
    const read = await site.operator("system", [id]).read(["document"]);
    const { document, version } = read._unsafeUnwrap() as typeof state & {
      document: unknown;
    };
    const old = state as unknown as { document: unknown };
    assert.deepEqual(document, old.document);
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
  const followed = async () => {
    const reports = await Promise.all(
      site.entryIds.map((id) => site.entryStatus(id)),
    );
    return reports.every((r) => r.ready && r.status.version >= newest);
  };
  await until(followed, { what: "entries follow", withinMs: WITHIN_MS });
});

/** Sections that change at the same time, and the changes of each. */
const SECTIONS = 10;
const CHANGES = 30;

async function writeMany(writer: SectionWriter, host: string): Promise<void> {
  for (let count = 0; count < CHANGES; count++) await writer.write([host]);
}

/** Adds sections with a service of their own to the document. */
async function manySections(site: FaultSite): Promise<SectionWriter[]> {
  const team = "allocation";
  const [template = ""] = site.processes.sectionText("alloc").split("stops:");
  const names = Array.from({ length: SECTIONS }, (_, i) => `extra-${i + 1}`);
  const owners = names.map((name) => `  ${name}: ${team}\n`).join("");
  const system = `${site.processes.sectionText("system").trimEnd()}\n${owners}`;
  const change = { text: system, revision: 1, changeId: uuidv7() };
  const put = await site.operator("system").put("system", change);
  assert.ok(put.isOk());
  return names.map((section) => {
    const text = template.replace("alloc:", `${section}:`);
    return new SectionWriter(site, { section, team, text, revision: 0 });
  });
}

function loseDisk(site: FaultSite, id: string): void {
  rmSync(join(site.folder, "data", id), { recursive: true });
}

/** Waits until a control host shows another one as lost. */
async function countsAsLost(
  site: FaultSite,
  { id, lost }: { id: string; lost: string },
): Promise<void> {
  const isLost = async () => {
    const read = await site.operator("system", [id]).read(["hosts"]);
    const { hosts } = read._unsafeUnwrap() as {
      hosts: { id: string; state: string }[];
    };
    return hosts.some((host) => host.id === lost && host.state === "lost");
  };
  await until(isLost, { what: `${lost} is lost`, withinMs: WITHIN_MS });
}

/** The reason why the removal of a host is refused. */
async function remove(site: FaultSite, id: string): Promise<string> {
  const removed = await site.operator("system").removeMember(id);
  const fault = removed._unsafeUnwrapErr();
  assert.ok(fault.type === "refused");
  assert.equal(fault.code, "member_change_refused");
  return fault.message;
}

async function voters(site: FaultSite): Promise<string[]> {
  const read = await site.operator("system").read(["members"]);
  const { members } = read._unsafeUnwrap() as {
    members: { id: string; role: string }[];
  };
  return members
    .filter(({ role }) => role === "voter")
    .map(({ id }) => id)
    .sort();
}

/** Runs `mangobank members add`; gives the exit code. */
function addMember(site: FaultSite, id: string): Promise<number> {
  const control = site.processes.controls.find((c) => c.id === id);
  const { host = "", port = 0 } = control?.peer ?? {};
  const hosts = site.processes.controls
    .filter((c) => c.id !== id)
    .flatMap(({ http }) => ["--control", `${http.host}:${http.port}`]);
  const credential = join(site.folder, "credentials", "system.key");
  const args = [
    ...[site.mangobank, "members", "add", id, `${host}:${port}`],
    ...[...hosts, "--credential-file", credential],
  ];
  return new Promise((resolve) => {
    const child = execFile(process.execPath, args);
    child.once("exit", (code) => resolve(code ?? -1));
  });
}
