import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { HEADERS } from "#model";
import type { StandinServer } from "#standin";
import { exchange } from "../demo/caller.ts";
import { LocalSite, systemSection } from "../demo/local_site.ts";
import { until } from "../demo/until.ts";

const CLASSES = {
  booking: { priority: "urgent", deadline_ms: 1500, repeatable: false },
  lookup: { priority: "patient", deadline_ms: 1500, repeatable: true },
};
const ROUTES = [
  { method: "POST", path: "/bookings", class: "booking" },
  { path: "/", class: "lookup" },
];

/** One service for each test, so that their servers do not mix. */
const SERVICES = Array.from({ length: 14 }, (_, index) => `s${index}`);

let site: LocalSite;
let used = 0;
const agent = new Agent({ keepAlive: true });

before(async () => {
  site = await LocalSite.start({ entries: 3 });
  await until(() => site.hasLeader(), { what: "control has a leader" });
  await site.put("system", systemSection(["riga-a"], ["all"]));
  const service = {
    slots_per_server: 4,
    connections_per_server: 300,
    cold_start_ms: 0,
    retry_budget_percent: 50,
    measuring_budget_percent: 0,
    classes: CLASSES,
    routes: ROUTES,
  };
  const services = Object.fromEntries(SERVICES.map((s) => [s, service]));
  await site.put("all", JSON.stringify({ services }));
  await until(() => site.entries.every((e) => e.ready), { what: "ready" });
});

after(async () => {
  agent.destroy();
  await site.close();
});

/** A service of its own with this many servers, known to all entries. */
async function startService(
  count: number,
): Promise<{ service: string; servers: StandinServer[] }> {
  const service = SERVICES[used++] ?? "";
  const servers = await Promise.all(
    Array.from({ length: count }, (_, index) =>
      site.addServer({ id: `w${index}`, service, dataCentre: "riga-a" }),
    ),
  );
  await serversKnown(service, count);
  return { service, servers };
}

function serversKnown(service: string, count: number): Promise<void> {
  return until(
    () => site.entries.every((e) => e.serverCount(service) === count),
    { what: `${count} servers of ${service} are known` },
  );
}

interface Seen {
  readonly status: number;
  readonly outcome: string;
  readonly code: string | undefined;
  readonly body: string;
  readonly requestId: string;
  readonly retryAfterMs: number;
}

async function call(
  service: string,
  options: { entry?: number; key?: string; path?: string } = {},
): Promise<Seen> {
  const { entry = 0, key, path } = options;
  const address = site.addresses[entry];
  assert.ok(address);
  const { status, headers, body } = await exchange({
    ...address,
    agent,
    method: key ? "POST" : "GET",
    path: path ?? (key ? "/bookings" : "/timesheets/7"),
    headers: {
      [HEADERS.service]: service,
      ...(key !== undefined && { [HEADERS.key]: key }),
    },
    ...(key !== undefined && { body: "{}" }),
  });
  return {
    status,
    outcome: String(headers[HEADERS.outcome]),
    code: headers[HEADERS.error] as string | undefined,
    body,
    requestId: String(headers[HEADERS.requestId]),
    retryAfterMs: Number(headers[HEADERS.retryAfterMs]),
  };
}

function runsOf(servers: readonly StandinServer[], key: string): number {
  return servers.reduce(
    (sum, s) => sum + s.executionLog.executionsForKey(key).length,
    0,
  );
}

const LOOKUP_FAULTS: {
  name: string;
  fault: (server: StandinServer) => unknown;
}[] = [
  { name: "is killed", fault: (server) => server.crash() },
  { name: "sheds", fault: (server) => server.setBehaviour({ shedding: true }) },
  {
    name: "resets in mid-body",
    fault: (server) => server.setBehaviour({ resetMidBody: true }),
  },
];

for (const { name, fault } of LOOKUP_FAULTS) {
  test(`lookups are answered while one of three servers ${name}`, async () => {
    const { service, servers } = await startService(3);
    const [first] = servers;
    assert.ok(first);
    await fault(first);
    for (let i = 0; i < 30; i++) {
      const seen = await call(service, { entry: i % 3 });
      assert.equal(seen.outcome, "answered", `call ${i}: ${seen.code}`);
      assert.equal(JSON.parse(seen.body).request_id, seen.requestId);
    }
  });
}

test("a later refusal does not hide that an earlier attempt may have run", async () => {
  const { service, servers } = await startService(1);
  const [server] = servers;
  assert.ok(server);
  server.setBehaviour({
    resetMidBody: true,
    serviceMs: () => {
      server.setBehaviour({ shedding: true });
      return 1;
    },
  });
  const seen = await call(service);
  assert.equal(server.counts.started, 1);
  assert.equal(seen.outcome, "unknown", seen.code);
});

const BOOKING_FAULTS: {
  name: string;
  fault: (server: StandinServer) => unknown;
  outcomes: readonly string[];
  runs: number;
}[] = [
  {
    name: "sheds",
    fault: (server) => server.setBehaviour({ shedding: true }),
    outcomes: ["not-run"],
    runs: 0,
  },
  {
    name: "resets in mid-body",
    fault: (server) => server.setBehaviour({ resetMidBody: true }),
    outcomes: ["unknown"],
    runs: 1,
  },
  {
    name: "is frozen",
    fault: (server) => server.freeze(),
    outcomes: ["unknown"],
    runs: 0,
  },
  {
    name: "has been killed",
    fault: (server) => server.crash(),
    outcomes: ["not-run", "unknown"],
    runs: 0,
  },
];

for (const { name, fault, outcomes, runs } of BOOKING_FAULTS) {
  test(`a booking's outcome is true when its only server ${name}`, async () => {
    const { service, servers } = await startService(1);
    const [server] = servers;
    assert.ok(server);
    await fault(server);
    const key = uuidv7();
    const seen = await call(service, { key });
    assert.ok(
      outcomes.includes(seen.outcome),
      `${seen.outcome} (${seen.code})`,
    );
    assert.equal(runsOf(servers, key), runs);
    // The caller sends it again through another entry.
    const again = await call(service, { key, entry: 1 });
    if (seen.outcome === "unknown") assert.notEqual(again.outcome, "not-run");
    assert.ok(runsOf(servers, key) <= 1, "ran twice");
  });
}

test("a booking that was proved not started runs when it is sent again", async () => {
  const { service, servers } = await startService(1);
  const [server] = servers;
  assert.ok(server);
  server.setBehaviour({ shedding: true });
  const key = uuidv7();
  const refused = await call(service, { key });
  assert.equal(refused.outcome, "not-run");
  // Without a time, callers came back at once or not at all.
  assert.ok(refused.retryAfterMs > 0, `${refused.retryAfterMs}`);
  server.setBehaviour({ shedding: false });
  let seen = await call(service, { key, entry: 1 });
  await until(
    async () => {
      if (seen.outcome === "answered") return true;
      assert.equal(seen.outcome, "not-run", seen.code);
      seen = await call(service, { key, entry: 1 });
      return seen.outcome === "answered";
    },
    { what: "the booking is answered" },
  );
  assert.equal(runsOf(servers, key), 1);
});

test("a server that fails fast does not attract the calls", async () => {
  const { service, servers } = await startService(3);
  const [failing] = servers;
  failing?.setBehaviour({ failStatus: 500 });
  let failed = 0;
  for (let i = 0; i < 200; i++) {
    const seen = await call(service, { entry: i % 3 });
    if (seen.status === 500) failed += 1;
  }
  // A third would go there by chance, nearly all by least load alone.
  assert.ok(failed < 40, `${failed} of 200 calls failed`);
});

test("a leaving server gets no new work from any entry", async () => {
  const { service, servers } = await startService(2);
  const [leaving] = servers;
  assert.ok(leaving);
  await leaving.leave();
  await serversKnown(service, 1);
  const before = leaving.counts.started;
  for (let i = 0; i < 30; i++) {
    const seen = await call(service, { entry: i % 3 });
    assert.equal(seen.outcome, "answered");
  }
  assert.equal(leaving.counts.started, before);
});

test("a call on a leaving server is not cut off", async () => {
  const { service, servers } = await startService(1);
  const [server] = servers;
  assert.ok(server);
  server.setBehaviour({ serviceMs: () => 400 });
  const running = call(service);
  await until(() => server.inFlight === 1, { what: "the call runs" });
  await server.stop();
  assert.equal((await running).outcome, "answered");
});

test("a caller that goes away frees the slot at the server", async () => {
  const { service, servers } = await startService(1);
  const [server] = servers;
  const [address] = site.addresses;
  assert.ok(server && address);
  server.setBehaviour({ serviceMs: () => 60_000 });
  const own = new Agent();
  const gone = exchange({
    ...address,
    agent: own,
    method: "GET",
    path: "/timesheets/7",
    headers: { [HEADERS.service]: service },
  });
  await until(() => server.inFlight === 1, { what: "the call runs" });
  own.destroy();
  await assert.rejects(gone);
  await until(() => server.inFlight === 0, { what: "the slot is free" });
});
