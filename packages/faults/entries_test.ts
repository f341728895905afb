import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { CONFIRMED_FOR_MS } from "#configuration";
import type { HostId } from "#model";
import { StandinServer } from "#standin";
import { until } from "../demo/until.ts";
import { FaultSite, WITHIN_MS } from "./fault_site.ts";

const CALL = { service: "alloc", path: "/timesheets/7" };

// Guards against a loss of control that stops the service, against an entry
// that serves without knowing whether it is up to date, and against a restarted
// entry that takes its peers' word for a confirmed read.
test("entries confirm each other while control is lost", async (t) => {
  const site = await FaultSite.start(t, { entries: 4 });
  await startServers(t, site);
  const [alone = "", second = "", third = "", restarted = ""] = site.entryIds;
  await Promise.all(site.controlIds.map((id) => site.kill(id)));
  site.mesh.isolate(alone);
  await answers(site, alone, "not_ready");
  assert.equal((await site.call(alone, CALL)).outcome, "not-run");
  // Control's last confirmation must have run out at the others.
  await sleep(2 * CONFIRMED_FOR_MS);
  await Promise.all(
    [second, third, restarted].map((id) => answers(site, id, undefined)),
  );
  // Two of four are no majority.
  site.mesh.heal();
  site.mesh.isolate(alone, second);
  await Promise.all(site.entryIds.map((id) => answers(site, id, "not_ready")));
  site.mesh.heal();
  await Promise.all(site.entryIds.map((id) => answers(site, id, undefined)));

  const { version } = (await site.entryStatus(third)).status;
  await site.kill(restarted);
  site.restart(restarted);
  await answers(site, restarted, "not_ready");
  const codes = new Set<string | undefined>();
  for (const end = Date.now() + CONFIRMED_FOR_MS; Date.now() < end; ) {
    codes.add((await site.call(restarted, CALL)).code);
    await sleep(20);
  }
  assert.deepEqual([...codes], ["not_ready"]);
  await answers(site, third, undefined);
  for (const id of site.controlIds) site.restart(id);
  await answers(site, restarted, undefined);
  const report = await site.entryStatus(restarted);
  assert.ok(report.status.version >= version);
});

// Guards against an entry that goes back to serving with a configuration that
// was replaced while it was cut off.
test("entry that was cut off returns with the new document", async (t) => {
  const site = await FaultSite.start(t, { entries: 4 });
  await startServers(t, site);
  const [alone = "", ...others] = site.entryIds;
  site.mesh.isolate(alone);
  const text = site.processes
    .sectionText("alloc")
    .replace("path: /, class: lookup", "path: /, class: booking");
  const change = { text, revision: 1, changeId: uuidv7() };
  const put = await site.operator("allocation").put("alloc", change);
  assert.ok(put.isOk());
  // Under the new document the same call needs a key.
  await Promise.all(others.map((id) => answers(site, id, "key_required")));
  const seen: (string | undefined)[] = [];
  const observe = (code: string) => async () => {
    const reply = await site.call(alone, CALL);
    if (seen.at(-1) !== reply.code || seen.length === 0) seen.push(reply.code);
    return reply.code === code;
  };
  await until(observe("not_ready"), { what: "refusal", withinMs: WITHIN_MS });
  for (let count = 0; count < 50; count++) {
    await observe("not_ready")();
    await sleep(10);
  }
  site.mesh.heal();
  await until(observe("key_required"), {
    what: "the new document is in force",
    withinMs: WITHIN_MS,
  });
  for (let count = 0; count < 50; count++) await observe("key_required")();
  const orders = [
    [undefined, "not_ready", "key_required"],
    ["not_ready", "key_required"],
  ];
  assert.ok(
    orders.some((order) => order.join() === seen.join()),
    `answers were ${seen.join(", ")}`,
  );
});

/** Waits until a call ends with this code; undefined for an answered call. */
async function answers(
  site: FaultSite,
  entry: HostId,
  code: string | undefined,
): Promise<void> {
  const what = `${entry} gives ${code ?? "an answer"}`;
  let last = "";
  const holds = async () => {
    const reply = await site.call(entry, CALL);
    last = JSON.stringify(reply);
    return reply.status > 0 && reply.code === code;
  };
  await until(holds, { what, withinMs: WITHIN_MS }).catch(async (error) => {
    const report = JSON.stringify(await site.entryStatus(entry));
    throw new Error(`${what}, not ${last}; its report: ${report}`, {
      cause: error,
    });
  });
}

async function startServers(
  t: { after(close: () => Promise<void>): void },
  site: FaultSite,
): Promise<void> {
  const registrations = site.entryIds.length;
  const entries = () => site.processes.seeds;
  for (const dataCentre of ["riga-a", "riga-b"]) {
    const id = `alloc-${dataCentre}`;
    const service = "alloc";
    const options = { id, service, dataCentre, entries, registrations };
    const server = new StandinServer(options);
    await server.start();
    t.after(() => server.crash());
  }
  const known = async () => {
    const reports = await Promise.all(
      site.entryIds.map((id) => site.entryStatus(id)),
    );
    return reports.every(({ status }) => status.servers.alloc === 2);
  };
  await until(known, { what: "servers are known", withinMs: WITHIN_MS });
}
