import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HEADERS } from "#model";
import type { StandinServer } from "#standin";
import type { LogFields, Logger } from "#telemetry";
import { exchange } from "../demo/caller.ts";
import { LocalSite } from "../demo/local_site.ts";

const SERVICE = "alloc";
const DATA_CENTRES = ["riga-a", "riga-b"] as const;
const ENTRIES = 3;
const SERVERS = 4;
/** Calls after the crash, and the delay between them. */
const CALLS = 90;
const CALL_INTERVAL_MS = 10;
/** Failed attempts of an entry until it avoids the data centre. */
const MAX_FAILURES = 4;

/** Keeps the attempts that no server has answered. */
class FailureLog implements Logger {
  readonly attempts: { readonly server?: string; readonly end: string }[] = [];
  readonly error = ignore;
  readonly warn = ignore;
  readonly debug = ignore;
  readonly trace = ignore;

  info(message: string, fields: LogFields = {}): void {
    if (message !== "call") return;
    const { attempts = [] } = fields as { attempts?: FailureLog["attempts"] };
    this.attempts.push(...attempts.filter(({ end }) => end !== "answered"));
  }

  with(): Logger {
    return this;
  }
}

function ignore(): void {}

const log = new FailureLog();
const agent = new Agent({ keepAlive: true });
let site: LocalSite;
let servers: StandinServer[];

before(async () => {
  site = await LocalSite.start({
    entries: ENTRIES,
    dataCentres: DATA_CENTRES,
    logger: log,
  });
  const service = {
    slots_per_server: 4,
    connections_per_server: 300,
    cold_start_ms: 0,
    retry_budget_percent: 50,
    measuring_budget_percent: 0,
    classes: {
      lookup: { priority: "patient", deadline_ms: 1500, repeatable: true },
    },
    routes: [{ path: "/", class: "lookup" }],
  };
  await site.configure({ [SERVICE]: service });
  servers = await Promise.all(
    Array.from({ length: SERVERS }, (_, index) => {
      const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? "";
      return site.addServer({ id: `w${index}`, service: SERVICE, dataCentre });
    }),
  );
  await site.serversKnown(SERVICE, SERVERS);
});

after(async () => {
  agent.destroy();
  await site.close();
});

async function call(entry: number): Promise<number> {
  const address = site.addresses[entry];
  assert.ok(address);
  const { status } = await exchange({
    ...address,
    agent,
    method: "GET",
    path: "/timesheets/7",
    headers: { [HEADERS.service]: SERVICE },
  });
  return status;
}

// Guards against calls that go on being sent to the servers of a data centre
// that have all crashed: no server is to blame for a path that has failed.
test("a data centre whose servers have all crashed gets no more calls", async () => {
  const [first, , third] = servers;
  await first?.crash();
  await third?.crash();
  const calls: Promise<number>[] = [];
  for (let sent = 0; sent < CALLS; sent++) {
    calls.push(call(sent % ENTRIES));
    await delay(CALL_INTERVAL_MS);
  }
  const statuses = await Promise.all(calls);
  assert.deepEqual([...new Set(statuses)], [200]);
  const failed = log.attempts.map(({ server, end }) => `${server} ${end}`);
  assert.ok(failed.length <= MAX_FAILURES * ENTRIES, failed.join(", "));
});
