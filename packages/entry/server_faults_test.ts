import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { HEADERS } from "#model";
import type { StandinServer } from "#standin";
import { exchange } from "../demo/caller.ts";
import { LocalSite } from "../demo/local_site.ts";
import { until } from "../demo/until.ts";
import { PublishedProtocol } from "./call_protocol.ts";

const CLASSES = {
  booking: { priority: "urgent", deadline_ms: 1500, repeatable: false },
  lookup: { priority: "patient", deadline_ms: 1500, repeatable: true },
};
const ROUTES = [
  { method: "POST", path: "/bookings", class: "booking" },
  { path: "/", class: "lookup" },
];

/** Each test uses a service of its own, so that it has its own servers. */
const SERVICES = Array.from({ length: 16 }, (_, index) => `s${index}`);

let site: LocalSite;
let used = 0;
const agent = new Agent({ keepAlive: true });

before(async () => {
  site = await LocalSite.start({ entries: 3 });
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
  await site.configure(services);
});

after(async () => {
  agent.destroy();
  await site.close();
});

/**
 * Starts the servers of an unused service and waits until all entries know
 * them.
 */
async function startService(
  count: number,
): Promise<{ service: string; servers: StandinServer[] }> {
  const service = SERVICES[used++] ?? "";
  const servers = await Promise.all(
    Array.from({ length: count }, (_, index) =>
      site.addServer({ id: `w${index}`, service, dataCentre: "riga-a" }),
    ),
  );
  await site.serversKnown(service, count);
  return { service, servers };
}

interface CallResult {
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
): Promise<CallResult> {
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

function executionsOf(servers: readonly StandinServer[], key: string): number {
  return servers.reduce(
    (sum, s) => sum + s.executionLog.executionsForKey(key).length,
    0,
  );
}

const LOOKUP_FAULTS: {
  name: string;
  injectFault: (server: StandinServer) => unknown;
}[] = [
  { name: "is killed", injectFault: (server) => server.crash() },
  {
    name: "sheds load",
    injectFault: (server) => server.setBehaviour({ shedding: true }),
  },
  {
    name: "resets in the middle of the body",
    injectFault: (server) => server.setBehaviour({ resetMidBody: true }),
  },
];

for (const { name, injectFault } of LOOKUP_FAULTS) {
  test(`lookups are answered while one of three servers ${name}`, async () => {
    const { service, servers } = await startService(3);
    const [first] = servers;
    assert.ok(first);
    await injectFault(first);
    for (let i = 0; i < 30; i++) {
      const result = await call(service, { entry: i % 3 });
      assert.equal(result.outcome, "answered", `call ${i}: ${result.code}`);
      assert.equal(JSON.parse(result.body).request_id, result.requestId);
    }
  });
}

test("the outcome is unknown if an attempt before a rejected one may have run", async () => {
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
  const result = await call(service);
  assert.equal(server.counts.started, 1);
  assert.equal(result.outcome, "unknown", result.code);
});

const BOOKING_FAULTS: {
  name: string;
  injectFault: (server: StandinServer) => unknown;
  outcomes: readonly string[];
  runs: number;
}[] = [
  {
    name: "sheds load",
    injectFault: (server) => server.setBehaviour({ shedding: true }),
    outcomes: ["not-run"],
    runs: 0,
  },
  {
    name: "resets in the middle of the body",
    injectFault: (server) => server.setBehaviour({ resetMidBody: true }),
    outcomes: ["unknown"],
    runs: 1,
  },
  {
    name: "is frozen",
    injectFault: (server) => server.freeze(),
    outcomes: ["unknown"],
    runs: 0,
  },
  {
    name: "has been killed",
    injectFault: (server) => server.crash(),
    outcomes: ["not-run", "unknown"],
    runs: 0,
  },
];

for (const { name, injectFault, outcomes, runs } of BOOKING_FAULTS) {
  test(`a booking gets a correct outcome when its only server ${name}`, async () => {
    const { service, servers } = await startService(1);
    const [server] = servers;
    assert.ok(server);
    await injectFault(server);
    const key = uuidv7();
    const result = await call(service, { key });
    assert.ok(
      outcomes.includes(result.outcome),
      `${result.outcome} (${result.code})`,
    );
    assert.equal(executionsOf(servers, key), runs);
    // The caller resends it through another entry.
    const again = await call(service, { key, entry: 1 });
    if (result.outcome === "unknown") assert.notEqual(again.outcome, "not-run");
    assert.ok(executionsOf(servers, key) <= 1, "ran twice");
  });
}

for (const key of [undefined, uuidv7()]) {
  const name = key ? "booking" : "lookup";
  // Guards against a caller that is told "not run" of a request that a server has
  // answered, as the entry has an internal error after it.
  test(`an internal error after a ${name} was sent is unknown`, async (t) => {
    const { service, servers } = await startService(1);
    t.mock.method(PublishedProtocol.prototype, "responseHeaders", () => {
      throw new TypeError("planted");
    });
    const result = await call(service, key === undefined ? {} : { key });
    t.mock.restoreAll();
    assert.deepEqual([result.status, result.outcome], [502, "unknown"]);
    if (key) assert.equal(executionsOf(servers, key), 1);
  });
}

test("a booking that provably did not start can be resent", async () => {
  const { service, servers } = await startService(1);
  const [server] = servers;
  assert.ok(server);
  server.setBehaviour({ shedding: true });
  const key = uuidv7();
  const refused = await call(service, { key });
  assert.equal(refused.outcome, "not-run");
  // Without a retry delay, callers retried at once or not at all.
  assert.ok(refused.retryAfterMs > 0, `${refused.retryAfterMs}`);
  server.setBehaviour({ shedding: false });
  let result = await call(service, { key, entry: 1 });
  await until(
    async () => {
      if (result.outcome === "answered") return true;
      assert.equal(result.outcome, "not-run", result.code);
      result = await call(service, { key, entry: 1 });
      return result.outcome === "answered";
    },
    { what: "the booking is answered" },
  );
  assert.equal(executionsOf(servers, key), 1);
});

test("a server that fails fast does not attract more calls", async () => {
  const { service, servers } = await startService(3);
  const [failing] = servers;
  failing?.setBehaviour({ failStatus: 500 });
  let failed = 0;
  for (let i = 0; i < 200; i++) {
    const result = await call(service, { entry: i % 3 });
    if (result.status === 500) failed += 1;
  }
  // Random balancing would send a third there, least-load balancing nearly all.
  assert.ok(failed < 40, `${failed} of 200 calls failed`);
});

test("a leaving server gets no new calls from any entry", async () => {
  const { service, servers } = await startService(2);
  const [leaving] = servers;
  assert.ok(leaving);
  await leaving.leave();
  await site.serversKnown(service, 1);
  const before = leaving.counts.started;
  for (let i = 0; i < 30; i++) {
    const result = await call(service, { entry: i % 3 });
    assert.equal(result.outcome, "answered");
  }
  assert.equal(leaving.counts.started, before);
});

test("a call in progress on a leaving server is completed", async () => {
  const { service, servers } = await startService(1);
  const [server] = servers;
  assert.ok(server);
  server.setBehaviour({ serviceMs: () => 400 });
  const running = call(service);
  await until(() => server.inFlight === 1, { what: "the call runs" });
  await server.stop();
  assert.equal((await running).outcome, "answered");
});

test("a caller that disconnects frees the slot at the server", async () => {
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
