import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, test } from "node:test";
import { HEADERS } from "#model";
import { exchange } from "../demo/caller.ts";
import { LocalSite } from "../demo/local_site.ts";
import { until } from "../demo/until.ts";

const SERVERS = 5;
let site: LocalSite;
const agent = new Agent({ keepAlive: true });

before(async () => {
  site = await LocalSite.start({ entries: 3 });
  const service = {
    slots_per_server: 4,
    connections_per_server: 300,
    cold_start_ms: 0,
    retry_budget_percent: 50,
    measuring_budget_percent: 0,
    classes: {
      lookup: { priority: "patient", deadline_ms: 2_000, repeatable: true },
    },
    routes: [{ path: "/", class: "lookup" }],
  };
  await site.configure({ alloc: service });
  for (let i = 0; i < SERVERS; i++) {
    await site.addServer({
      id: `w${i}`,
      service: "alloc",
      dataCentre: "riga-a",
    });
  }
  await site.serversKnown("alloc", SERVERS);
});

after(async () => {
  agent.destroy();
  await site.close();
});

async function call(path: string, entry: number) {
  const address = site.addresses[entry % site.addresses.length];
  assert.ok(address);
  const { headers } = await exchange({
    ...address,
    agent,
    method: "GET",
    path,
    headers: { [HEADERS.service]: "alloc" },
  });
  return {
    outcome: headers[HEADERS.outcome],
    code: headers[HEADERS.error],
  };
}

function crashCount(): number {
  return site.servers.reduce((sum, { counts }) => sum + counts.crashes, 0);
}

test("a request that crashes servers is quarantined at all entries", async () => {
  const crashPath = "/timesheets/7?crash=1";
  let result = await call(crashPath, 0);
  // The caller resends it through one entry after another.
  for (let resend = 1; resend < 12 && result.code !== "quarantined"; resend++) {
    result = await call(crashPath, resend);
  }
  assert.equal(result.code, "quarantined");
  // The evidence may still be on its way to the other entries.
  for (let entry = 0; entry < 3; entry++) {
    await until(
      async () => (await call(crashPath, entry)).code === "quarantined",
      { what: `entry ${entry} has the quarantine` },
    );
  }
  const crashed = crashCount();
  assert.ok(crashed <= 3, `${crashed} of ${SERVERS} servers crashed`);
  for (let entry = 0; entry < 3; entry++) {
    assert.equal((await call(crashPath, entry)).code, "quarantined");
    // Similar requests are still served by the remaining servers.
    const similar = await call(`/timesheets/7?crash=0&n=${entry}`, entry);
    assert.equal(similar.outcome, "answered");
  }
  assert.equal(crashCount(), crashed);
});
