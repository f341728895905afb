import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { after, before, test } from "node:test";
import { v7 as uuidv7 } from "uuid";
import { HEADERS } from "#model";
import { RawBackend } from "#standin";
import { exchange } from "../demo/caller.ts";
import { LocalSite } from "../demo/local_site.ts";
import { until } from "../demo/until.ts";

const SERVICE = "alloc";
const REFUSAL =
  "HTTP/1.1 503 Service Unavailable\r\n" +
  `${HEADERS.notStarted}: true\r\nContent-Length: 0\r\n\r\n`;
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran";

let site: LocalSite;
const agent = new Agent({ keepAlive: true });

before(async () => {
  site = await LocalSite.start({ entries: 1 });
  await site.configure({
    [SERVICE]: {
      slots_per_server: 6,
      connections_per_server: 300,
      cold_start_ms: 0,
      retry_budget_percent: 0,
      measuring_budget_percent: 0,
      classes: {
        booking: { priority: "urgent", deadline_ms: 2_000, repeatable: false },
      },
      routes: [{ path: "/", class: "booking" }],
    },
  });
});

after(async () => {
  agent.destroy();
  await site.close();
});

// The caller was told "not run", or the call ran a second time, as the refusal of
// its first attempt was taken for that of the next one.
test("a refusal that is written twice does not answer the call's next attempt", async () => {
  const refused = new Set<Socket>();
  let runs = 0;
  const backend = new RawBackend({
    id: "w1",
    service: SERVICE,
    dataCentre: "riga-a",
    entries: () => site.addresses,
    respond: (socket) => {
      if (refused.size === 0) {
        refused.add(socket);
        socket.write(REFUSAL);
        return;
      }
      runs += 1;
      // Once more, on the connection that was kept, while the request runs.
      if (refused.has(socket)) socket.write(REFUSAL);
      setTimeout(() => socket.write(ANSWER), 50);
    },
  });
  await backend.start();
  after(() => backend.close());
  await until(() => site.entries[0]?.serverCount(SERVICE) === 1, {
    what: "the server is known",
  });
  const [address] = site.addresses;
  assert.ok(address);
  const { status, headers, body } = await exchange({
    ...address,
    agent,
    method: "POST",
    path: "/bookings",
    headers: { [HEADERS.service]: SERVICE, [HEADERS.key]: uuidv7() },
    body: "",
  });
  assert.equal(headers[HEADERS.outcome], "answered");
  assert.equal(status, 200);
  assert.equal(body, "ran");
  assert.equal(runs, 1);
});
