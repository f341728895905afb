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

/** An entry's announcement endpoint in front of the real presence. */
async function entry(t: TestContext) {
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
    const answer = handle(request.method ?? "", url, text);
    statuses.push(answer.status);
    response.statusCode = answer.status;
    response.end(answer.body ? JSON.stringify(answer.body) : undefined);
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

async function until(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !condition(); i++) await sleep(10);
  assert.ok(condition());
}

test("presence accepts what a stand-in announces, from start to leave", async (t) => {
  const { address, servers, statuses } = await entry(t);
  const server = new StandinServer({
    id: "w-1",
    service: "alloc",
    dataCentre: "riga-a",
    entries: () => [address],
  });
  const listening = await server.start();
  t.after(() => server.crash());
  await until(() => servers().length === 1);
  assert.deepEqual(servers()[0]?.address, listening);
  server.behave({ unhealthy: true });
  await until(() => servers()[0]?.state === "unhealthy");
  server.behave({ unhealthy: false });
  await until(() => servers()[0]?.state === "ready");
  const before = server.incarnation;
  await server.crash();
  await server.start();
  await until(() => (servers()[0]?.incarnation ?? 0) > before);
  assert.ok(await server.leave());
  assert.equal(servers().length, 0);
  assert.deepEqual(statuses, [200, 200, 200, 200, 204]);
});
