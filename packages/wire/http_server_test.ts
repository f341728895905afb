import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { ManualClock, SystemClock } from "#model";
import type { TrackedResponse } from "./http_connections.ts";
import { HttpServer } from "./http_server.ts";

const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/** A server that leaves its first request to the test. */
async function openServer() {
  let take: (response: TrackedResponse) => void = () => undefined;
  const taken = new Promise<TrackedResponse>((resolve) => {
    take = resolve;
  });
  const server = new HttpServer({}, (request, response) => {
    request.resume();
    take(response);
  });
  const listening = await server.listen({ host: "127.0.0.1", port: 0 });
  const { port } = listening._unsafeUnwrap();
  const socket = connect({ host: "127.0.0.1", port });
  let text = "";
  socket.on("data", (chunk) => {
    text += chunk.toString("latin1");
  });
  socket.on("error", () => undefined);
  const received = once(socket, "close").then(() => text);
  return { server, socket, taken, received };
}

// Guards against a stop that closes connections with requests in progress, as
// the control role's did.
test("a close answers the requests in progress", async () => {
  const { server, socket, taken, received } = await openServer();
  socket.write(REQUEST);
  const response = await taken;
  const closed = server.close(new SystemClock(), 60_000);
  response.end("whole");
  await closed;
  const text = await received;
  assert.match(text, /connection: close/i);
  assert.match(text, /whole/);
});

test("a close does not wait for connections without requests", async () => {
  const { server, socket, received } = await openServer();
  await once(socket, "connect");
  await server.close(new SystemClock(), 60_000);
  assert.equal(await received, "");
});

test("a close ends when its time is over", async () => {
  const { server, socket, taken, received } = await openServer();
  socket.write(REQUEST);
  await taken;
  await server.close(new ManualClock(), 0);
  assert.equal(await received, "");
});

/** A server that answers all requests, and clients that are connected to it. */
async function openAnsweringServer(clients: number) {
  const server = new HttpServer({}, (request, response) => {
    request.resume();
    response.end("whole");
  });
  const listening = await server.listen({ host: "127.0.0.1", port: 0 });
  const { port } = listening._unsafeUnwrap();
  const sockets = Array.from({ length: clients }, () =>
    connect({ host: "127.0.0.1", port }),
  );
  const texts = sockets.map(async (socket) => {
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
    });
    socket.on("error", () => undefined);
    await new Promise((resolve) => socket.once("close", resolve));
    return text;
  });
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  return { server, sockets, texts };
}

// Guards against a stop that ends a kept connection whose next request is in the
// kernel's buffer, as after a time in which the process did not run.
test("a close answers a request that has arrived and was not read", async () => {
  const { server, sockets, texts } = await openAnsweringServer(1);
  const [socket] = sockets;
  socket?.write(REQUEST);
  if (socket) await once(socket, "data");
  socket?.write(REQUEST);
  await server.close(new SystemClock(), 60_000);
  const answers = (await Promise.all(texts)).join("").match(/whole/g);
  assert.equal(answers?.length, 2);
});

// Guards against a stop that resets connections in the listen queue, from which
// Node takes one in each round of the event loop.
test("a close answers requests on connections in the listen queue", async () => {
  const { server, sockets, texts } = await openAnsweringServer(20);
  for (const socket of sockets) socket.write(REQUEST);
  await server.close(new SystemClock(), 60_000);
  const answers = (await Promise.all(texts)).join("").match(/whole/g);
  assert.equal(answers?.length, sockets.length);
});
