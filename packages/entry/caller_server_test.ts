import assert from "node:assert/strict";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";
import { after, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { SystemClock } from "#model";
import type { TrackedResponse } from "#wire";
import { CallerServer } from "./caller_server.ts";
import { TEST_LIMITS } from "./test_limits.ts";

/** More than the kernel takes of an answer that nobody reads. */
const LONG_ANSWER_BYTES = 16 * 1024 * 1024;
/** Less than the kernel takes, and more than it sends before it is read. */
const SENT_BY_KERNEL_BYTES = 2 * 1024 * 1024;

const servers: CallerServer[] = [];
after(() => {
  for (const server of servers) server.destroy();
});

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: TrackedResponse;
}

/** A server whose requests are answered by the test. */
async function openServer(limits: Partial<typeof TEST_LIMITS> = {}) {
  const exchanges: Exchange[] = [];
  let notify: () => void = () => undefined;
  const server = new CallerServer({
    limits: { ...TEST_LIMITS, ...limits },
    handleApi: undefined,
    handleCall: (request, response) => {
      request.resume();
      exchanges.push({ request, response });
      notify();
    },
  });
  servers.push(server);
  const listening = await server.listen({ host: "127.0.0.1", port: 0 });
  const { port } = listening._unsafeUnwrap();
  /** Resolves with the first requests, in the order in which they were read. */
  const read = async (count: number): Promise<Exchange[]> => {
    while (exchanges.length < count) {
      await new Promise<void>((resolve) => {
        notify = resolve;
      });
    }
    return exchanges;
  };
  return { server, port, read };
}

interface Caller {
  readonly socket: Socket;
  /** All bytes until the connection ends. */
  readonly received: Promise<string>;
}

function openCaller(port: number, { allowHalfOpen = false } = {}): Caller {
  const socket = connect({ host: "127.0.0.1", port, allowHalfOpen });
  const chunks: Buffer[] = [];
  socket.on("data", (chunk) => chunks.push(chunk));
  socket.on("error", () => undefined);
  const received = new Promise<string>((resolve) => {
    socket.once("close", () =>
      resolve(Buffer.concat(chunks).toString("latin1")),
    );
  });
  return { socket, received };
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

function answer(exchange: Exchange | undefined, body: string): void {
  exchange?.response.writeHead(200, { "content-length": body.length });
  exchange?.response.end(body);
}

// Guards against answers that were dropped because an earlier one of the same
// connection closed it (incident LOST).
test("a stop answers all requests of a held connection", async () => {
  const { server, port, read } = await openServer();
  const { socket, received } = openCaller(port);
  server.closeAfterResponses();
  socket.write(get("/1") + get("/2"));
  const [first, second] = await read(2);
  answer(first, "first");
  await once(first?.response ?? socket, "close");
  answer(second, "second");
  const text = await received;
  assert.match(text, /first.*second$/s);
  const heads = text.split("HTTP/1.1").slice(1);
  assert.doesNotMatch(heads[0] ?? "", /connection: close/i);
  assert.match(heads[1] ?? "", /connection: close/i);
});

// Guards against a request that is sent to a server although its connection
// ends with the answer before it.
test("a stop takes on no request behind the last answer", async () => {
  const { server, port, read } = await openServer();
  const { socket, received } = openCaller(port);
  server.closeAfterResponses();
  socket.write(get("/1"));
  const exchanges = await read(1);
  const response = exchanges[0]?.response;
  response?.writeHead(200, { "content-length": 8 });
  response?.write("half");
  await once(socket, "data");
  socket.write(get("/2"));
  // The entry reads the second request before this one, on a later connection.
  const marker = openCaller(port);
  marker.socket.write(get("/marker"));
  await read(2);
  assert.equal(exchanges[1]?.request.url, "/marker");
  response?.end("half");
  assert.match(await received, /halfhalf$/);
  marker.socket.destroy();
});

// Guards against the close of a connection whose answer has ended in the
// program and is still being written to a slow caller.
test("a drain delivers a long answer to a slow caller", async () => {
  const { server, port, read } = await openServer();
  const { socket, received } = openCaller(port);
  socket.pause();
  socket.write(get("/long"));
  const [exchange] = await read(1);
  answer(exchange, "x".repeat(LONG_ANSWER_BYTES));
  const stopped = server.stopListening(
    new SystemClock(),
    Number.POSITIVE_INFINITY,
  );
  assert.equal(server.pendingRequests, 1);
  await stopped;
  assert.equal(server.pendingRequests, 1);
  socket.resume();
  while (server.pendingRequests > 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  server.destroy();
  const text = await received;
  const body = text.slice(text.indexOf("\r\n\r\n") + 4);
  assert.equal(body.length, LONG_ANSWER_BYTES);
});

// Guards against calls that a stop waits for although their caller has left.
test("requests behind an answer end when their caller leaves", async () => {
  const { port, read } = await openServer();
  const { socket } = openCaller(port);
  socket.write(get("/1") + get("/2"));
  const [first, second] = await read(2);
  const closed = [first, second].map((exchange) =>
    once(exchange?.response ?? socket, "close"),
  );
  socket.destroy();
  await Promise.all(closed);
  assert.equal(second?.response.brokenBy, "client");
});

// Guards against a wait for a body of which no more can be read.
test("a malformed body ends its connection", async () => {
  const { port, read } = await openServer();
  const { socket, received } = openCaller(port);
  const head = "POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n";
  socket.write(`${head}\r\nno size\r\n`);
  await read(1);
  assert.equal(await received, "");
});

// Guards against an answer that is broken off by bytes behind its request.
test("malformed bytes break off no answer in progress", async () => {
  const { port, read } = await openServer();
  const { socket, received } = openCaller(port);
  socket.write(`${get("/1")}no request\r\n\r\n`);
  const [first] = await read(1);
  // Lets the server read the malformed bytes before the answer.
  await new Promise((resolve) => setImmediate(resolve));
  answer(first, "first");
  assert.match(await received, /first.*HTTP\/1\.1 400/s);
});

// Guards against a request that is dropped, since the one before it was refused
// before both were read.
test("a stop answers requests that arrive together when it refuses them", async () => {
  const server = new CallerServer({
    limits: TEST_LIMITS,
    handleApi: undefined,
    handleCall: (request, response) => answer({ request, response }, "refused"),
  });
  servers.push(server);
  const listening = await server.listen({ host: "127.0.0.1", port: 0 });
  const { socket, received } = openCaller(listening._unsafeUnwrap().port);
  server.closeAfterResponses();
  socket.write(get("/1") + get("/2"));
  assert.match(await received, /refused.*refused$/s);
});

// Guards against requests that are read and dropped while a long answer is
// being written.
test("a stop answers requests behind an answer in parts", async () => {
  const { server, port, read } = await openServer();
  const { socket, received } = openCaller(port);
  server.closeAfterResponses();
  socket.write(get("/1"));
  const [first] = await read(1);
  if (first) first.response.isStreamed = true;
  first?.response.writeHead(200, { "content-length": 8 });
  first?.response.write("half");
  await once(socket, "data");
  socket.write(get("/2"));
  const [, second] = await read(2);
  first?.response.end("half");
  answer(second, "second");
  assert.match(await received, /halfhalf.*connection: close.*second$/is);
});

// Guards against a reset by unread bytes, at which the kernel drops what it has
// not sent of the answer.
test("a request behind the last answer cuts no part of it", async () => {
  const { server, port, read } = await openServer();
  const { socket, received } = openCaller(port);
  socket.pause();
  server.closeAfterResponses();
  socket.write(get("/1"));
  const [first] = await read(1);
  answer(first, "x".repeat(SENT_BY_KERNEL_BYTES));
  await once(first?.response ?? socket, "close");
  socket.write(get("/2"), () => socket.resume());
  const text = await received;
  const body = text.slice(text.indexOf("\r\n\r\n") + 4);
  assert.equal(body.length, SENT_BY_KERNEL_BYTES);
});

// As above, for the connections that are idle when the stop ends.
test("a request that crosses the end of a stop cuts no answer", async () => {
  const { server, port, read } = await openServer();
  const { socket, received } = openCaller(port);
  socket.pause();
  socket.write(get("/1"));
  const [first] = await read(1);
  answer(first, "x".repeat(SENT_BY_KERNEL_BYTES));
  await once(first?.response ?? socket, "close");
  const ended = server.endIdle(new SystemClock());
  socket.write(get("/2"), () => socket.resume());
  await ended;
  server.destroy();
  const text = await received;
  const body = text.slice(text.indexOf("\r\n\r\n") + 4);
  assert.equal(body.length, SENT_BY_KERNEL_BYTES);
});

// Guards against connections that are held for good after an error response.
for (const [name, bytes] of [
  ["after malformed bytes", "no request\r\n\r\n"],
  ["after a head that takes too long", "GET / HTTP/1.1\r\nhost:"],
] as const) {
  test(`a caller that never closes is closed ${name}`, async () => {
    const { port } = await openServer({ headerTimeoutMs: 100 });
    const { socket, received } = openCaller(port, { allowHalfOpen: true });
    socket.write(bytes);
    await once(socket, "end");
    // A write fails only when the server has closed the connection.
    const probe = setInterval(() => socket.write("x"), 50);
    const text = await received;
    clearInterval(probe);
    assert.match(text, /^HTTP\/1.1 4/);
  });
}

// Guards against an answer that is cut since the body behind its request can't
// be read.
for (const [name, head, body] of [
  ["malformed", "transfer-encoding: chunked", "no size\r\n"],
  ["slow", "content-length: 10", "12"],
] as const) {
  test(`a ${name} body behind a whole request cuts no answer`, async () => {
    const limits = { headerTimeoutMs: 100, bodyTimeoutMs: 100 };
    const { port, read } = await openServer(limits);
    const { socket, received } = openCaller(port);
    const post = `POST /2 HTTP/1.1\r\nhost: a\r\n${head}\r\n\r\n${body}`;
    socket.write(get("/1") + post);
    const [first] = await read(2);
    // The entry gives up both bodies in the same check of its requests.
    const marker = openCaller(port);
    marker.socket.write(post);
    await marker.received;
    answer(first, "first");
    assert.match(await received, /first$/);
  });
}

/** Idle times that a configuration item of some build may hold. */
const IDLE_TIMES: Record<string, number | null> = {
  "below 0": -2_000,
  "without an end": Number.POSITIVE_INFINITY,
  // JSON has no infinity, so a snapshot holds null for it.
  "without an end, after a snapshot": null,
  "that is no number": Number.NaN,
  "of a year": 366 * 86_400_000,
  "beyond all timers": 1e300,
  "of 0": 0,
};

for (const [name, ms] of Object.entries(IDLE_TIMES)) {
  // Failure: the entry ends at its first answer, or writes a warning for each.
  test(`an idle time ${name} ends neither the process nor a connection`, async () => {
    const warnings: string[] = [];
    const collect = (warning: Error) => warnings.push(warning.message);
    process.on("warning", collect);
    const { server, port, read } = await openServer();
    server.setIdleConnectionMs(ms as number);
    const { socket, received } = openCaller(port);
    for (let count = 1; count <= 3; count++) {
      socket.write(get(`/${count}`));
      answer((await read(count)).at(-1), `answer-${count};`);
      await delay(20);
    }
    socket.end();
    const text = await received;
    process.off("warning", collect);
    for (const count of [1, 2, 3]) {
      assert.ok(text.includes(`answer-${count};`), `answer ${count}`);
    }
    assert.doesNotMatch(text, /timeout=(-|Infinity|NaN|\d+e)/);
    assert.deepEqual(warnings, []);
  });
}
