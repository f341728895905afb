import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { type Address, HEADERS } from "#model";
import { exchange } from "../demo/caller.ts";
import { LocalSite } from "../demo/local_site.ts";
import { HANDOVER_HEADERS } from "./handover_protocol.ts";

const SERVICE = "alloc";

let site: LocalSite;
let handover: Address;
const agent = new Agent({ keepAlive: true });

before(async () => {
  site = await LocalSite.start({ entries: 2 });
  const service = {
    slots_per_server: 4,
    connections_per_server: 300,
    cold_start_ms: 0,
    retry_budget_percent: 50,
    measuring_budget_percent: 0,
    classes: {
      booking: { priority: "urgent", deadline_ms: 1500, repeatable: false },
      lookup: { priority: "patient", deadline_ms: 1500, repeatable: true },
    },
    routes: [
      { method: "POST", path: "/bookings", class: "booking" },
      { path: "/", class: "lookup" },
    ],
  };
  await site.configure({ [SERVICE]: service });
  const options = { id: "w0", service: SERVICE, dataCentre: "riga-a" };
  await site.addServer(options);
  await site.serversKnown(SERVICE, 1);
  const [first] = site.handoverAddresses;
  assert.ok(first);
  handover = first;
});

after(async () => {
  agent.destroy();
  await site.close();
});

function origin(version = 1): Record<string, string> {
  return {
    [HANDOVER_HEADERS.cluster]: "local",
    [HANDOVER_HEADERS.entry]: "entry-2",
    [HANDOVER_HEADERS.call]: "entry-2-1",
    [HANDOVER_HEADERS.version]: String(version),
  };
}

function send(
  address: Address,
  headers: Record<string, string>,
  key?: string,
): ReturnType<typeof exchange> {
  return exchange({
    ...address,
    agent,
    method: key ? "POST" : "GET",
    path: key ? "/bookings" : "/timesheets/7",
    headers: {
      [HEADERS.service]: SERVICE,
      ...headers,
      ...(key !== undefined && { [HEADERS.key]: key }),
    },
    ...(key !== undefined && { body: "{}" }),
  });
}

test("a handed-over call is answered with its outcome", async () => {
  const { status, headers } = await send(handover, origin());
  assert.equal(status, 200);
  assert.equal(headers[HANDOVER_HEADERS.outcome], "answered");
  assert.equal(headers[HEADERS.outcome], "answered");
  assert.equal(headers[HANDOVER_HEADERS.refused], undefined);
});

// Guards against a key that is claimed at one entry and free at another.
test("a handed-over call claims its key as any other does", async () => {
  const key = uuidv7();
  const [server] = site.servers;
  assert.ok(server);
  const before = server.counts.started;
  const first = await send(handover, origin(), key);
  assert.equal(first.status, 200);
  const [, other] = site.addresses;
  assert.ok(other);
  const again = await send(other, {}, key);
  assert.equal(again.status, 200);
  assert.equal(String(again.body), String(first.body));
  assert.equal(server.counts.started, before + 1);
});

// Guards against a host that seems to go back to an older configuration.
test("a call of an entry with a newer configuration is refused", async () => {
  const { status, headers } = await send(handover, origin(1_000_000));
  assert.equal(status, 503);
  assert.equal(headers[HANDOVER_HEADERS.refused], "older_configuration");
  assert.equal(headers[HEADERS.outcome], "not-run");
});

for (const [what, headers] of [
  ["another deployment", { ...origin(), [HANDOVER_HEADERS.cluster]: "other" }],
  ["no headers of an entry", {}],
  ["no version", { ...origin(), [HANDOVER_HEADERS.version]: "-1" }],
] as const) {
  test(`a handed-over call with ${what} is refused with a reason`, async () => {
    const { status, body } = await send(handover, headers);
    assert.equal(status, 400);
    assert.match(String(body), /invalid_request/);
  });
}

// Guards against callers that pose as entries.
test("callers may not send the headers of handed-over calls", async () => {
  const [caller] = site.addresses;
  assert.ok(caller);
  const { status, body } = await send(caller, origin());
  assert.equal(status, 400);
  assert.match(String(body), /mangobank-handover-cluster is reserved/);
});

/** Calls until the answer has this code. */
async function untilCode(
  code: string,
  call: () => ReturnType<typeof send>,
): ReturnType<typeof send> {
  for (;;) {
    const answer = await call();
    if (answer.headers[HEADERS.error] === code) return answer;
  }
}

// Guards against calls that go round between entries that reach no server, and
// against a key that is told as not run although an earlier send may have run.
test("calls that no entry can serve are refused at once", async () => {
  const [caller] = site.addresses;
  const [server] = site.servers;
  assert.ok(caller && server);
  await server.crash();
  const startedAt = performance.now();
  const lookup = await untilCode("no_server", () => send(caller, {}));
  assert.ok(performance.now() - startedAt < 3_000);
  assert.equal(lookup.headers[HEADERS.outcome], "not-run");
  assert.ok(Number(lookup.headers[HEADERS.retryAfterMs]) > 0);
  const booking = await send(caller, {}, uuidv7());
  assert.equal(booking.headers[HEADERS.error], "no_server");
  assert.equal(booking.headers[HEADERS.outcome], "unknown");
});
