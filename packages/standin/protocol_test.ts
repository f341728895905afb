import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type TestContext, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock, SystemRandomness } from "#model";
import {
  Presence,
  parseAnnouncement,
  parseLeave,
  refusalResponse,
} from "#presence";
import { StandinServer } from "./standin_server.ts";

/** Starts an HTTP server that passes announcements on to a real `Presence`. */
async function startEntry(t: TestContext) {
  const clock = new SystemClock();
  const presence = new Presence({
    id: "e1",
    incarnation: 1,
    dataCentre: "riga-a",
    randomness: new SystemRandomness(),
  });
  const view = { epoch: 1, entries: [], began: 0 };
  presence.configure({ services: ["alloc"], view }, clock.now());
  const statuses: number[] = [];
  const handle = (method: string, url: URL, body: string) => {
    const id = url.pathname.split("/").at(-1) ?? "";
    const now = clock.now();
    const result =
      method === "PUT"
        ? parseAnnouncement(id, JSON.parse(body)).andThen(
            (server) => presence.announce(server, now).result,
          )
        : parseLeave(id, url.searchParams).andThen(
            (leave) => presence.leave(leave, now).result,
          );
    if (result.isErr()) return refusalResponse(result.error);
    return { status: method === "PUT" ? 200 : 204, body: result.value };
  };
  const server = createServer(async (request, response) => {
    let text = "";
    for await (const chunk of request) text += chunk;
    const url = new URL(request.url ?? "/", "http://entry");
    const reply = handle(request.method ?? "", url, text);
    statuses.push(reply.status);
    response.statusCode = reply.status;
    response.end(reply.body ? JSON.stringify(reply.body) : undefined);
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const bound = server.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  const servers = () => presence.servers("alloc", clock.now());
  return { address: { host: "127.0.0.1", port }, servers, statuses };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !condition(); i++) await sleep(10);
  assert.ok(condition());
}

test("presence accepts the announcements of a stand-in server, from start to leave", async (t) => {
  const { address, servers, statuses } = await startEntry(t);
  const server = new StandinServer({
    id: "w-1",
    service: "alloc",
    dataCentre: "riga-a",
    entries: () => [address],
  });
  const listening = await server.start();
  t.after(() => server.crash());
  await waitUntil(() => servers().length === 1);
  assert.deepEqual(servers()[0]?.address, listening);
  server.setBehaviour({ unhealthy: true });
  await waitUntil(() => servers()[0]?.state === "unhealthy");
  server.setBehaviour({ unhealthy: false });
  await waitUntil(() => servers()[0]?.state === "ready");
  const before = server.incarnation;
  await server.crash();
  await server.start();
  await waitUntil(() => (servers()[0]?.incarnation ?? 0) > before);
  assert.ok(await server.leave());
  assert.equal(servers().length, 0);
  assert.deepEqual(statuses, [200, 200, 200, 200, 204]);
});
