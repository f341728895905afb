import assert from "node:assert/strict";
import { createServer, request } from "node:http";
import { type TestContext, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Address } from "#model";
import type { AnnouncementBody } from "./announcer.ts";
import { type StandinOptions, StandinServer } from "./standin_server.ts";

interface Reply {
  status: number;
  headers: Record<string, unknown>;
  body: string;
}

async function startServer(
  t: TestContext,
  options: Partial<StandinOptions> = {},
) {
  const server = new StandinServer({
    id: "w-1",
    service: "alloc",
    dataCentre: "riga-a",
    slots: 1,
    ...options,
  });
  await server.start();
  t.after(() => server.crash());
  return server;
}

function call(
  { host, port }: Address,
  options: {
    path?: string;
    headers?: Record<string, string>;
    signal?: AbortSignal;
  } = {},
): Promise<Reply> {
  const { path = "/", headers = {}, signal } = options;
  return new Promise((resolve, reject) => {
    const method = path.startsWith("/.") ? "GET" : "POST";
    const sent = request({ host, port, path, method, headers, signal }, (r) => {
      let body = "";
      r.on("data", (chunk) => {
        body += chunk;
      });
      r.on("error", reject);
      r.on("end", () =>
        resolve({ status: r.statusCode ?? 0, headers: r.headers, body }),
      );
    });
    sent.on("error", reject);
    sent.end(method === "POST" ? "text" : undefined);
  });
}

/** Starts a fake entry that records announcements and replies as given. */
async function startEntry(
  t: TestContext,
  replyTo: (body: AnnouncementBody) => [number, object],
) {
  const received: { method: string; url: string; body: AnnouncementBody }[] =
    [];
  const server = createServer((req, res) => {
    let text = "";
    req.on("data", (chunk) => {
      text += chunk;
    });
    req.on("end", () => {
      const body = text ? JSON.parse(text) : undefined;
      received.push({ method: req.method ?? "", url: req.url ?? "", body });
      const [status, reply] =
        req.method === "DELETE" ? [204, undefined] : replyTo(body);
      res.writeHead(status).end(reply ? JSON.stringify(reply) : undefined);
    });
  });
  await new Promise<void>((r) => server.listen(0, "127.0.0.1", r));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const bound = server.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  return { received, address: { host: "127.0.0.1", port } };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !condition(); i++) await sleep(10);
  assert.ok(condition());
}

test("a response echoes its request and the execution is logged", async (t) => {
  const server = await startServer(t);
  const headers = { "mangobank-request-id": "r-1", "idempotency-key": "k" };
  const reply = await call(server.address, { headers });
  const body = JSON.parse(reply.body);
  assert.deepEqual(
    [reply.status, body.request_id, body.echo],
    [200, "r-1", "text"],
  );
  assert.equal(reply.headers["mangobank-in-flight"], "1");
  await call(server.address, { headers });
  assert.equal(server.executionLog.executionsForKey("k").length, 2);
  assert.deepEqual(server.executionLog.keysExecutedMoreThanOnce(), ["k"]);
});

test("a request beyond the queue limit is rejected as not started and not run", async (t) => {
  const behaviour = { serviceMs: () => 200 };
  const server = await startServer(t, { queueLimit: 1, behaviour });
  const calls = ["a", "b", "c"].map((id) =>
    call(server.address, { headers: { "mangobank-request-id": id } }),
  );
  const replies = await Promise.all(calls);
  const refused = replies.filter(({ status }) => status === 503);
  assert.equal(refused.length, 1);
  assert.equal(refused[0]?.headers["mangobank-not-started"], "true");
  assert.equal(server.counts.started, 2);
});

test("a request that expires while it runs is not reported as not started", async (t) => {
  const server = await startServer(t, {
    behaviour: { serviceMs: () => 5_000 },
  });
  const headers = { "mangobank-deadline-ms": "60" };
  const reply = await call(server.address, { headers });
  assert.equal(reply.status, 504);
  assert.equal(reply.headers["mangobank-not-started"], undefined);
  assert.deepEqual([server.counts.started, server.inFlight], [1, 0]);
});

test("a request that expires in the queue is reported as not started", async (t) => {
  const behaviour = { serviceMs: () => 300 };
  const server = await startServer(t, { queueLimit: 1, behaviour });
  const running = call(server.address);
  await waitUntil(() => server.inFlight === 1);
  const headers = { "mangobank-deadline-ms": "60" };
  const reply = await call(server.address, { headers });
  assert.equal(reply.status, 504);
  assert.equal(reply.headers["mangobank-not-started"], "true");
  assert.equal((await running).status, 200);
  assert.equal(server.counts.started, 1);
});

test("closing the connection cancels the call and frees the slot", async (t) => {
  const server = await startServer(t, {
    behaviour: { serviceMs: () => 5_000 },
  });
  const controller = new AbortController();
  const aborted = call(server.address, { signal: controller.signal });
  await waitUntil(() => server.inFlight === 1);
  controller.abort();
  await assert.rejects(aborted);
  await waitUntil(() => server.inFlight === 0);
  assert.equal(server.counts.cancelled, 1);
});

test("a crash request crashes the server, which restarts as a new incarnation", async (t) => {
  const server = await startServer(t);
  const first = server.incarnation;
  const headers = { "standin-crash": "true", "mangobank-request-id": "bad" };
  await assert.rejects(call(server.address, { headers }));
  assert.equal(server.executionLog.executionsForRequest("bad").length, 1);
  await server.start();
  assert.ok(server.incarnation > first);
  assert.equal((await call(server.address)).status, 200);
});

for (const [name, behaviour, expected] of [
  [
    "fails fast",
    { failStatus: 500 },
    { status: 500, notStarted: undefined, ran: 1 },
  ],
  ["sheds", { shedding: true }, { status: 503, notStarted: "true", ran: 0 }],
] as const) {
  test(`a server that ${name} reports correctly whether the request ran`, async (t) => {
    const server = await startServer(t, { behaviour });
    const { status, headers } = await call(server.address);
    const notStarted = headers["mangobank-not-started"];
    assert.deepEqual(
      { status, notStarted, ran: server.counts.started },
      expected,
    );
  });
}

test("a reset in the middle of a body fails the request", async (t) => {
  const server = await startServer(t, { behaviour: { resetMidBody: true } });
  const headers = { "standin-body-bytes": "100000" };
  await assert.rejects(call(server.address, { headers }));
});

test("a frozen server answers neither calls nor probes until unfrozen", async (t) => {
  const server = await startServer(t);
  server.freeze();
  const probe = call(server.address, { path: "/.mangobank/load" });
  assert.equal(await Promise.race([probe, sleep(80, "silent")]), "silent");
  server.unfreeze();
  assert.deepEqual(JSON.parse((await probe).body), {
    in_flight: 0,
    slots: 1,
    state: "ready",
  });
});

test("a false load figure appears in probes and announcements alike", async (t) => {
  const { address, received } = await startEntry(t, () => [
    200,
    { renew_ms: 1_000 },
  ]);
  const behaviour = { claimedInFlight: 0, serviceMs: () => 300 };
  const server = await startServer(t, { behaviour, entries: () => [address] });
  const busy = call(server.address);
  await waitUntil(() => server.inFlight === 1);
  const probe = await call(server.address, { path: "/.mangobank/load" });
  assert.equal(JSON.parse(probe.body).in_flight, 0);
  assert.equal(received.at(-1)?.body.in_flight, 0);
  await busy;
});

test("a cold server is slower", async (t) => {
  const behaviour = {
    serviceMs: () => 10,
    coldStartMs: 60_000,
    coldSlowness: 20,
  };
  const server = await startServer(t, { behaviour });
  const startedAt = performance.now();
  await call(server.address);
  assert.ok(performance.now() - startedAt > 150);
});

test("a leaving server announces it and rejects requests as not started", async (t) => {
  const { address, received } = await startEntry(t, () => [
    200,
    { renew_ms: 1_000 },
  ]);
  const server = await startServer(t, { entries: () => [address] });
  await waitUntil(() => received.length === 1);
  assert.ok(await server.leave());
  const { method, url } = received.at(-1) ?? {};
  assert.equal(method, "DELETE");
  assert.match(url ?? "", new RegExp(`incarnation=${server.incarnation}`));
  const { status, headers } = await call(server.address);
  assert.deepEqual(
    [
      status,
      headers["mangobank-not-started"],
      headers["mangobank-server-state"],
    ],
    [503, "true", "leaving"],
  );
});

test("renewals have rising sequences and skip a failing entry", async (t) => {
  const broken = await startEntry(t, () => [503, { error: "not_ready" }]);
  const good = await startEntry(t, () => [
    200,
    { lease_ms: 900, renew_ms: 30 },
  ]);
  const entries = () => [broken.address, good.address];
  const server = await startServer(t, { entries });
  await waitUntil(() => good.received.length >= 3);
  const sequences = good.received.map(({ body }) => body.sequence);
  assert.deepEqual(
    sequences,
    [...new Set(sequences)].sort((a, b) => a - b),
  );
  assert.equal(broken.received.length, 1);
  assert.equal(good.received[0]?.body.incarnation, server.incarnation);
});

test("an incarnation older than the known one is replaced by a newer one", async (t) => {
  const known = Date.now() + 1_000_000;
  const { address, received } = await startEntry(t, ({ incarnation }) =>
    incarnation > known
      ? [200, { renew_ms: 1_000 }]
      : [409, { error: "older_incarnation", known }],
  );
  const server = await startServer(t, { entries: () => [address] });
  await waitUntil(() => received.length >= 2);
  assert.equal(server.incarnation, known + 1);
});
