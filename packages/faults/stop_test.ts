import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { StandinServer } from "#standin";
import { until } from "../demo/until.ts";
import { FaultSite, WAIT_TIMEOUT_MS } from "./fault_site.ts";
import type { AcceptedChange } from "./section_writer.ts";

const SERVICE = "report";
const STOP = "riga-a-report";
/** Longer than an election and the start of the drain take together. */
const LONG_CALL_MS = 8_000;

interface Stop {
  readonly name: string;
  readonly phase: string;
  readonly since: string;
}

// Guards against a planned stop that is missed or started twice because the
// leader crashes at the planned time, and against a drain that ends while a
// call runs.
test("a planned stop runs exactly once although the leader is killed", async (t) => {
  const site = await FaultSite.start(t);
  const leaving = await startServer(t, site, "riga-a");
  await waitForServers(site, 1);
  const [entry = ""] = site.entryIds;
  const longCall = site.callEntry(entry, {
    service: SERVICE,
    path: "/exports/audit",
    serviceMs: LONG_CALL_MS,
  });
  await until(() => leaving.inFlight === 1, {
    what: "the long call runs",
    withinMs: WAIT_TIMEOUT_MS,
  });
  const staying = await startServer(t, site, "riga-b");
  await waitForServers(site, 2);

  const leader = await site.waitForLeader();
  const others = site.controlIds.filter((id) => id !== leader);
  const at = Date.now() + 1_500;
  const planned = await planStop(site, at);
  while (Date.now() < at) await sleep(5);
  await site.kill(leader);

  const observedSteps: string[] = [];
  const observePhase = async () => {
    let last = "";
    for (const id of others) {
      const stop = await readStop(site, id);
      const step = `${stop?.phase} ${stop?.since}`;
      if (stop && !observedSteps.includes(step)) observedSteps.push(step);
      if (stop?.phase === "done") assert.equal(leaving.counts.finished, 1);
      last = stop?.phase ?? last;
    }
    return last;
  };
  await until(async () => (await observePhase()) !== "pending", {
    what: "the stop begins",
    withinMs: WAIT_TIMEOUT_MS,
  });
  const entriesUpdated = async () => {
    const reports = await Promise.all(
      site.entryIds.map((id) => site.entryStatus(id)),
    );
    return reports.every((r) => r.status.version > planned.version);
  };
  await until(entriesUpdated, {
    what: "entries know it",
    withinMs: WAIT_TIMEOUT_MS,
  });
  for (const id of site.entryIds) {
    for (let count = 0; count < 5; count++) {
      const path = "/summaries/chemistry";
      const reply = await site.callEntry(id, { service: SERVICE, path });
      assert.equal(reply.status, 200);
    }
  }
  assert.equal(leaving.counts.started, 1);
  assert.equal(staying.counts.started, 15);

  await until(async () => (await observePhase()) === "done", {
    what: "the stop is done",
    withinMs: WAIT_TIMEOUT_MS,
  });
  const reply = await longCall;
  assert.equal(reply.status, 200);
  assert.equal(reply.outcome, "answered");
  assert.equal(leaving.counts.cancelled, 0);
  site.restart(leader);
  await until(async () => (await readStop(site, leader))?.phase === "done", {
    what: "the killed leader knows it",
    withinMs: WAIT_TIMEOUT_MS,
  });
  const again = await readStop(site, leader);
  assert.equal(observedSteps.at(-1), `done ${again?.since}`);
  const phases = observedSteps.map((step) => step.split(" ")[0]);
  assert.deepEqual(
    phases.filter((p) => p !== "pending"),
    ["draining", "done"],
  );
});

async function startServer(
  t: { after(close: () => Promise<void>): void },
  site: FaultSite,
  dataCentre: string,
): Promise<StandinServer> {
  const server = new StandinServer({
    id: `report-${dataCentre}`,
    service: SERVICE,
    dataCentre,
    entries: () => site.processes.seeds,
    registrations: site.entryIds.length,
  });
  await server.start();
  t.after(() => server.crash());
  return server;
}

function waitForServers(site: FaultSite, count: number): Promise<void> {
  return until(
    async () => {
      const reports = await Promise.all(
        site.entryIds.map((id) => site.entryStatus(id)),
      );
      return reports.every(({ status }) => status.servers[SERVICE] === count);
    },
    { what: "servers are known", withinMs: WAIT_TIMEOUT_MS },
  );
}

async function planStop(site: FaultSite, at: number): Promise<AcceptedChange> {
  const text = site.processes
    .sectionText(SERVICE)
    .replace(/at: .*/, `at: ${new Date(at).toISOString()}`)
    .replace(/after: .*/, "after: []");
  const change = { text, revision: 1, changeId: uuidv7() };
  const put = await site.operatorClient("reporting").put(SERVICE, change);
  return put._unsafeUnwrap() as AcceptedChange;
}

async function readStop(
  site: FaultSite,
  control: string,
): Promise<Stop | undefined> {
  const { status, body } = await site.requestControl(control, {
    path: "/v1/stops",
  });
  if (status !== 200) return undefined;
  const { stops } = JSON.parse(body) as { stops: Stop[] };
  return stops.find(({ name }) => name === STOP);
}
