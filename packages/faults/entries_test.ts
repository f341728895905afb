import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { CONFIRMED_FOR_MS } from "#configuration";
import type { HostId } from "#model";
import { StandinServer } from "#standin";
import { until } from "../demo/until.ts";
import { FaultSite, WAIT_TIMEOUT_MS } from "./fault_site.ts";

const CALL = { service: "alloc", path: "/timesheets/7" };

// Guards against an outage of all control hosts that stops the service, against
// an entry that serves without knowing whether its configuration is current,
// and against a restarted entry that accepts its peers' state in place of a
// confirmed read from control.
test("entries confirm each other while all control hosts are down", async (t) => {
  const site = await FaultSite.start(t, { entries: 4 });
  await startServers(t, site);
  const [isolated = "", second = "", third = "", restarted = ""] =
    site.entryIds;
  await Promise.all(site.controlIds.map((id) => site.kill(id)));
  site.mesh.isolate(isolated);
  await waitForCode(site, isolated, "not_ready");
  assert.equal((await site.callEntry(isolated, CALL)).outcome, "not-run");
  // Wait until the last confirmation by control has expired at the others.
  await sleep(2 * CONFIRMED_FOR_MS);
  await Promise.all(
    [second, third, restarted].map((id) => waitForCode(site, id, undefined)),
  );
  // Two of four entries are no majority.
  site.mesh.heal();
  site.mesh.isolate(isolated, second);
  await Promise.all(
    site.entryIds.map((id) => waitForCode(site, id, "not_ready")),
  );
  site.mesh.heal();
  await Promise.all(
    site.entryIds.map((id) => waitForCode(site, id, undefined)),
  );

  const { version } = (await site.entryStatus(third)).status;
  await site.kill(restarted);
  site.restart(restarted);
  await waitForCode(site, restarted, "not_ready");
  const codes = new Set<string | undefined>();
  for (const end = Date.now() + CONFIRMED_FOR_MS; Date.now() < end; ) {
    codes.add((await site.callEntry(restarted, CALL)).code);
    await sleep(20);
  }
  assert.deepEqual([...codes], ["not_ready"]);
  await waitForCode(site, third, undefined);
  for (const id of site.controlIds) site.restart(id);
  await waitForCode(site, restarted, undefined);
  const report = await site.entryStatus(restarted);
  assert.ok(report.status.version >= version);
});

// Guards against an entry that serves again with a configuration that was
// replaced while the entry was partitioned.
test("a partitioned entry returns with the new document", async (t) => {
  const site = await FaultSite.start(t, { entries: 4 });
  await startServers(t, site);
  const [isolated = "", ...others] = site.entryIds;
  site.mesh.isolate(isolated);
  const text = site.processes
    .sectionText("alloc")
    .replace("path: /, class: lookup", "path: /, class: booking");
  const change = { text, revision: 1, changeId: uuidv7() };
  const put = await site.operatorClient("allocation").put("alloc", change);
  assert.ok(put.isOk());
  // The new document requires an idempotency key for the same call.
  await Promise.all(others.map((id) => waitForCode(site, id, "key_required")));
  const observedCodes: (string | undefined)[] = [];
  const callReturns = (code: string) => async () => {
    const reply = await site.callEntry(isolated, CALL);
    if (observedCodes.at(-1) !== reply.code || observedCodes.length === 0)
      observedCodes.push(reply.code);
    return reply.code === code;
  };
  await until(callReturns("not_ready"), {
    what: "refusal",
    withinMs: WAIT_TIMEOUT_MS,
  });
  for (let count = 0; count < 50; count++) {
    await callReturns("not_ready")();
    await sleep(10);
  }
  site.mesh.heal();
  await until(callReturns("key_required"), {
    what: "the new document is in force",
    withinMs: WAIT_TIMEOUT_MS,
  });
  for (let count = 0; count < 50; count++) await callReturns("key_required")();
  const allowedSequences = [
    [undefined, "not_ready", "key_required"],
    ["not_ready", "key_required"],
  ];
  assert.ok(
    allowedSequences.some((codes) => codes.join() === observedCodes.join()),
    `answers were ${observedCodes.join(", ")}`,
  );
});

/** Waits until a call ends with this error code; undefined for success. */
async function waitForCode(
  site: FaultSite,
  entry: HostId,
  code: string | undefined,
): Promise<void> {
  const what = `${entry} gives ${code ?? "an answer"}`;
  let lastReply = "";
  const codeMatches = async () => {
    const reply = await site.callEntry(entry, CALL);
    lastReply = JSON.stringify(reply);
    return reply.status > 0 && reply.code === code;
  };
  await until(codeMatches, { what, withinMs: WAIT_TIMEOUT_MS }).catch(
    async (error) => {
      const report = JSON.stringify(await site.entryStatus(entry));
      throw new Error(`${what}, not ${lastReply}; its report: ${report}`, {
        cause: error,
      });
    },
  );
}

/** Starts two backend servers and waits until all entries know them. */
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
  const serversKnown = async () => {
    const reports = await Promise.all(
      site.entryIds.map((id) => site.entryStatus(id)),
    );
    return reports.every(({ status }) => status.servers.alloc === 2);
  };
  await until(serversKnown, {
    what: "servers are known",
    withinMs: WAIT_TIMEOUT_MS,
  });
}
