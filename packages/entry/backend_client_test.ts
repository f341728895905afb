import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import {
  createServer as createRawServer,
  type Server as RawServer,
  type Socket,
} from "node:net";
import { after, test } from "node:test";
import { writeWithoutEnd } from "#standin";
import { stall } from "../demo/stall.ts";
import { until } from "../demo/until.ts";
import { BackendClient } from "./backend_client.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { EMPTY_BODY } from "./request_body.ts";
import { serverRecord } from "./test_server_record.ts";

const servers: (Server | RawServer)[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    if ("closeAllConnections" in server) server.closeAllConnections();
  }
});

async function listenOnFreePort(server: Server | RawServer): Promise<number> {
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const bound = server.address();
  return typeof bound === "object" && bound ? bound.port : 0;
}

const REQUEST = {
  method: "GET",
  path: "/",
  headers: ["host", "w1"],
  body: EMPTY_BODY,
  requestId: undefined,
  connectTimeoutMs: 1_000,
};

test("retiring a server closes its connections without aborting requests", async () => {
  let connections = 0;
  let finishLate = () => undefined as unknown;
  const server = createServer((request, response) => {
    if (request.url === "/") response.end("ok");
    else finishLate = () => response.end("late");
  });
  server.on("connection", (socket) => {
    connections += 1;
    socket.once("close", () => {
      connections -= 1;
    });
  });
  const target = serverRecord(await listenOnFreePort(server), {
    incarnation: 1,
  });
  const client = new BackendClient(new PublishedProtocol());
  const lateRequest = client.send(target, { ...REQUEST, path: "/late" });
  const first = await client.send(target, REQUEST).result;
  assert.equal(first.type, "answer");
  await until(() => connections === 2, { what: "two connections" });
  client.retire(target);
  await until(() => connections === 1, { what: "the idle one is closed" });
  finishLate();
  const end = await lateRequest.result;
  assert.equal(end.type === "answer" && String(end.response.body), "late");
  await until(() => connections === 0, { what: "the other one is closed" });
  client.close();
});

// Guards against idle connections to many servers that take all descriptors.
test("an idle connection is closed when a further one would exceed the bound", async () => {
  const open = new Set<Socket>();
  let mostOpen = 0;
  const targets = await Promise.all(
    Array.from({ length: 12 }, async (_, index) => {
      const server = createServer((_request, response) => response.end("ok"));
      server.on("connection", (socket) => {
        open.add(socket);
        mostOpen = Math.max(mostOpen, open.size);
        socket.once("close", () => open.delete(socket));
      });
      const id = `w${index}`;
      return serverRecord(await listenOnFreePort(server), { id });
    }),
  );
  const client = new BackendClient(new PublishedProtocol(), {
    connectionsMax: 4,
  });
  for (const target of targets) {
    const { type } = await client.send(target, REQUEST).result;
    assert.equal(type, "answer");
  }
  client.close();
  // A server notices the end of a connection later than the client.
  assert.ok(mostOpen <= 6, `${mostOpen} were open at once`);
});

// An exception of Node's client ended the process (review of 4 December 2026).
for (const { name, ...changes } of [
  { name: "a NUL byte in a header", header: "127.0.0.1\u0000:80" },
  { name: "a header outside of Latin-1", header: "\uff11" },
  { name: "a port above the highest", port: 65_536 },
  { name: "a space in its path", path: "/health check" },
  { name: "a NUL byte in its host", host: "127.0.0.1\u0000" },
]) {
  const usable = { host: "127.0.0.1", port: 9, path: "/", header: "w1" };
  const { host, port, path, header } = { ...usable, ...changes };
  test(`a request with ${name} fails as not connected`, async () => {
    const target = serverRecord(port, { address: { host, port } });
    const client = new BackendClient(new PublishedProtocol());
    const headers = ["host", header];
    const sent = client.send(target, { ...REQUEST, path, headers });
    const result = await sent.result;
    sent.cancel();
    assert.equal(result.type === "fault" && result.fault.type, "not_connected");
    client.close();
  });
}

// Otherwise a request for the head of a long document fails.
test("a response to HEAD may announce more than the longest body", async () => {
  const server = createServer((_request, response) => {
    response.writeHead(200, { "content-length": 1_000 }).end();
  });
  const target = serverRecord(await listenOnFreePort(server), {
    incarnation: 1,
  });
  const limits = { bodyMaxBytes: 100 };
  const client = new BackendClient(new PublishedProtocol(), { limits });
  const head = await client.send(target, { ...REQUEST, method: "HEAD" }).result;
  assert.equal(head.type, "answer");
  const get = await client.send(target, REQUEST).result;
  assert.equal(get.type === "fault" && get.fault.type, "bound_exceeded");
  client.close();
});

/** Resolves when the queue of the current turn is empty; no input is read before. */
async function endOfTurn(): Promise<void> {
  for (let tick = 0; tick < 20; tick += 1) {
    await new Promise<void>((resolve) => process.nextTick(resolve));
  }
}

// Otherwise a server counts as unreachable because this entry had no processor time.
test("a connection that was accepted during a stall is used", async () => {
  const server = createServer((_request, response) => response.end("ok"));
  const target = serverRecord(await listenOnFreePort(server), {
    incarnation: 1,
  });
  const client = new BackendClient(new PublishedProtocol());
  const request = { ...REQUEST, connectTimeoutMs: 50 };
  const { result } = client.send(target, request);
  await endOfTurn();
  stall(200);
  const end = await result;
  client.close();
  assert.equal(end.type, "answer", JSON.stringify(end));
});

// Otherwise a connection that the server refused during a stall holds its request.
test("a connection that was refused during a stall fails", async () => {
  const server = createServer();
  const port = await listenOnFreePort(server);
  await new Promise((resolve) => server.close(resolve));
  const client = new BackendClient(new PublishedProtocol());
  const request = { ...REQUEST, connectTimeoutMs: 50 };
  const { result } = client.send(serverRecord(port), request);
  await endOfTurn();
  stall(200);
  const end = await result;
  client.close();
  assert.equal(end.type === "fault" && end.fault.type, "not_connected");
  assert.match(end.type === "fault" ? end.fault.detail : "", /ECONNREFUSED/);
});

const COMPLETE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Requests get `COMPLETE`, and then what `writeMore` writes. */
async function startRawServer(writeMore: (socket: Socket) => void) {
  const sockets = new Set<Socket>();
  const server = createRawServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
    socket.on("data", () => socket.write(COMPLETE, () => writeMore(socket)));
  });
  const target = serverRecord(await listenOnFreePort(server), {
    incarnation: 1,
  });
  return { target, sockets };
}

const SURPLUS: Record<string, (socket: Socket) => void> = {
  "without end": (socket) => writeWithoutEnd(socket, { piece: "x" }),
  "a byte at a time": (socket) =>
    writeWithoutEnd(socket, { piece: "x", byteIntervalMs: 20 }),
  "as a second response": (socket) => socket.write(COMPLETE),
};

for (const [how, writeMore] of Object.entries(SURPLUS)) {
  // Otherwise an idle connection is read for ever, as it is never idle, and
  // the next request on it gets bytes that belong to no request.
  test(`bytes ${how} after a response close its connection`, async (t) => {
    let mayWrite = () => undefined as unknown;
    const { target, sockets } = await startRawServer((socket) => {
      mayWrite = () => writeMore(socket);
    });
    const client = new BackendClient(new PublishedProtocol());
    t.after(() => {
      client.close();
      for (const socket of sockets) socket.destroy();
    });
    const first = await client.send(target, REQUEST).result;
    assert.equal(first.type === "answer" && String(first.response.body), "ok");
    await until(() => sockets.size === 1, { what: "the connection is idle" });
    mayWrite();
    await until(() => sockets.size === 0, {
      what: "the connection is closed",
      withinMs: 10_000,
    });
    const second = await client.send(target, REQUEST).result;
    assert.equal(
      second.type === "answer" && String(second.response.body),
      "ok",
    );
  });
}

// Otherwise a whole response is lost to bytes that belong to no request.
test("a response is delivered if other bytes follow in the same packet", async (t) => {
  const server = createRawServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.write(`${COMPLETE}no HTTP`));
  });
  const target = serverRecord(await listenOnFreePort(server), {
    incarnation: 1,
  });
  const excesses: string[] = [];
  const client = new BackendClient(new PublishedProtocol(), {
    onBoundExceeded: ({ bound, bytes }) => excesses.push(`${bound} ${bytes}`),
  });
  t.after(() => client.close());
  const { result } = client.send(target, REQUEST);
  const end = await result;
  assert.equal(end.type === "answer" && String(end.response.body), "ok");
  assert.deepEqual(excesses, ["surplus_bytes 7"]);
});
