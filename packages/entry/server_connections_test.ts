import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, test } from "node:test";
import { HEADERS } from "#model";
import { exchange } from "../demo/caller.ts";
import { LocalSite } from "../demo/local_site.ts";
import { until } from "../demo/until.ts";

const CONNECTIONS = 6;
/** Two thirds of all connections to servers. */
const CONNECTIONS_OF_ONE = 4;
const DEADLINE_MS = 1_500;

let site: LocalSite;
const agent = new Agent({ keepAlive: true });

before(async () => {
  site = await LocalSite.start({ serverConnectionsMax: CONNECTIONS });
  const service = {
    slots_per_server: 20,
    connections_per_server: 300,
    cold_start_ms: 0,
    retry_budget_percent: 0,
    measuring_budget_percent: 0,
    classes: {
      lookup: {
        priority: "patient",
        deadline_ms: DEADLINE_MS,
        repeatable: true,
      },
    },
    routes: [{ path: "/", class: "lookup" }],
  };
  await site.configure({ frozen: service, sound: service });
});

after(async () => {
  agent.destroy();
  await site.close();
});

async function call(service: string) {
  const address = site.addresses[0];
  assert.ok(address);
  const { status, headers } = await exchange({
    ...address,
    agent,
    method: "GET",
    path: "/timesheets/7",
    headers: { [HEADERS.service]: service },
  });
  return {
    status,
    code: headers[HEADERS.error],
    outcome: headers[HEADERS.outcome],
    retryAfterMs: Number(headers[HEADERS.retryAfterMs]),
  };
}

// Guards against an entry that opens more connections than it has descriptors to
// servers that do not answer, and then accepts no caller.
test("calls beyond the connections are refused at once, and other services are served", async () => {
  const [frozen] = await Promise.all(
    ["frozen", "sound"].map((service) =>
      site.addServer({ id: `w-${service}`, service, dataCentre: "riga-a" }),
    ),
  );
  assert.ok(frozen);
  await site.serversKnown("frozen", 1);
  await site.serversKnown("sound", 1);
  await frozen.freeze();
  const results: Awaited<ReturnType<typeof call>>[] = [];
  const calls = Array.from({ length: 3 * CONNECTIONS }, async () => {
    results.push(await call("frozen"));
  });
  await until(() => results.length >= 2 * CONNECTIONS, {
    what: "the calls without a connection are refused",
  });
  assert.equal((await call("sound")).status, 200);
  await Promise.all(calls);
  const refused = results.filter(({ code }) => code === "queue_full");
  // A probe may use a connection too.
  assert.ok(refused.length >= 3 * CONNECTIONS - CONNECTIONS_OF_ONE);
  for (const { status, outcome, retryAfterMs } of refused) {
    assert.equal(status, 503);
    assert.equal(outcome, "not-run");
    assert.ok(retryAfterMs > 0);
  }
});
