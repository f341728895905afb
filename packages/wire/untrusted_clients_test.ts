import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, Socket } from "node:net";
import { type TestContext, test } from "node:test";
import { SystemClock } from "#model";
import { BodyBuffer } from "./body_buffer.ts";
import { ClientGuard, type ClosedClient } from "./client_guard.ts";
import {
  type HttpHandler,
  HttpServer,
  type HttpServerOptions,
} from "./http_server.ts";
import { TrackedRequest } from "./tracked_request.ts";

const HEAD = "POST / HTTP/1.1\r\nhost: a\r\n";

/** Sends bytes to a server, and returns what it sends until it closes. */
async function exchange(
  context: TestContext,
  server: { options?: HttpServerOptions; handle: HttpHandler },
  bytes: string | Buffer,
): Promise<string> {
  const http = new HttpServer(server.options ?? {}, server.handle);
  context.after(() => http.destroy());
  const listening = await http.listen({ host: "127.0.0.1", port: 0 });
  const socket = connect(listening._unsafeUnwrap());
  let text = "";
  socket.on("data", (part) => {
    text += part.toString("latin1");
  });
  socket.on("error", () => undefined);
  socket.write(bytes);
  // `once` would reject when the connection is reset.
  await new Promise((resolve) => socket.once("close", resolve));
  return text;
}

/** Answers with the body, in the number of parts in which it came. */
const echo: HttpHandler = async (request, response) => {
  const body = new BodyBuffer(request);
  let parts = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    parts += 1;
    body.append(part);
  }
  response.setHeader("parts", parts);
  response.end(body.take());
};

// Guards against thousands of requests that are served at once.
test("pipelined requests are answered in order, a few at a time", async (context) => {
  const count = 3_000;
  let running = 0;
  let most = 0;
  const handle: HttpHandler = async (request, response) => {
    most = Math.max(most, ++running);
    await new Promise(setImmediate);
    running -= 1;
    if (request.url === `/${count}`) response.shouldKeepAlive = false;
    response.end(`<${request.url}>`);
  };
  const requests = Array.from(
    { length: count },
    (_, index) => `GET /${index + 1} HTTP/1.1\r\nhost: a\r\n\r\n`,
  );
  const text = await exchange(context, { handle }, requests.join(""));
  const answered = [...text.matchAll(/<\/(\d+)>/g)].map(([, n]) => Number(n));
  assert.deepEqual(
    answered,
    Array.from({ length: count }, (_, index) => index + 1),
  );
  assert.ok(most <= 64, `${most} at once`);
});

// Guards against an object for each byte, and against bytes lost in between.
test("chunks of one byte arrive whole in few parts", async (context) => {
  const body = Array.from({ length: 50_000 }, (_, index) => index % 10);
  const chunks = body.map((digit) => `1\r\n${digit}\r\n`).join("");
  const request = `${HEAD}transfer-encoding: chunked\r\nconnection: close\r\n\r\n${chunks}0\r\n\r\n`;
  const text = await exchange(context, { handle: echo }, request);
  assert.ok(text.endsWith(`\r\n\r\n${body.join("")}`));
  const parts = Number(/^parts: (\d+)/m.exec(text)?.[1]);
  assert.ok(parts <= 2_000, `${parts} parts`);
});

// Guards against bodies that are cut or mixed where reads are divided.
test("bodies between pipelined requests arrive whole", async (context) => {
  const sizes = [1, 511, 512, 1_023, 1_025, 4_097, 70_000, 300_000];
  const requests = sizes.map((size, index) => {
    const end = index === sizes.length - 1 ? "connection: close\r\n" : "";
    return `${HEAD}content-length: ${size}\r\n${end}\r\n${String(index).repeat(size)}`;
  });
  const text = await exchange(context, { handle: echo }, requests.join(""));
  for (const [index, size] of sizes.entries())
    assert.match(text, new RegExp(`\r\n\r\n${index}{${size}}(HTTP|$)`));
});

// Guards against fields that are dropped without a notice.
test("a head with too many fields gets 431", async (context) => {
  const fields = "a:b\r\n".repeat(2_001);
  const limits: string[] = [];
  const guard = new ClientGuard({
    bounds: {
      heldBytesMax: 1_000_000,
      residentBytesMax: Number.POSITIVE_INFINITY,
      connectionsMax: 10,
    },
    clock: new SystemClock(),
    onClosed: ({ limit }) => limits.push(limit),
  });
  const server = { options: { guard }, handle: echo };
  const text = await exchange(context, server, `${HEAD}${fields}\r\n`);
  assert.deepEqual(limits, ["header_fields"]);
  assert.match(text, /^HTTP\/1\.1 431 .*connection: close/is);
});

// Guards against unfinished bodies that are kept until their timeout.
test("a client that holds too much is closed and reported", async (context) => {
  const closed: ClosedClient[] = [];
  const guard = new ClientGuard({
    bounds: {
      heldBytesMax: 100_000,
      residentBytesMax: Number.POSITIVE_INFINITY,
      connectionsMax: 10,
    },
    clock: new SystemClock(),
    onClosed: (client) => closed.push(client),
  });
  const request = `${HEAD}content-length: 200000\r\n\r\n${"x".repeat(199_999)}`;
  const options = { guard };
  const text = await exchange(context, { options, handle: echo }, request);
  assert.equal(text, "");
  assert.equal(closed.length, 1);
  assert.equal(closed[0]?.limit, "held_bytes");
  assert.equal(closed[0]?.address, "127.0.0.1");
  assert.equal(guard.heldBytes, 0);
});

// Guards against silent clients that keep others from connecting.
test("above the bound the longest silent connection is closed", async (context) => {
  const closed: ClosedClient[] = [];
  const guard = new ClientGuard({
    bounds: {
      heldBytesMax: 1_000_000,
      residentBytesMax: Number.POSITIVE_INFINITY,
      connectionsMax: 2,
    },
    clock: new SystemClock(),
    onClosed: (client) => closed.push(client),
  });
  const http = new HttpServer({ guard }, echo);
  context.after(() => http.destroy());
  const listening = await http.listen({ host: "127.0.0.1", port: 0 });
  const address = listening._unsafeUnwrap();
  const first = connect(address);
  first.on("error", () => undefined);
  await once(first, "connect");
  const others = [connect(address), connect(address)];
  for (const socket of others) socket.on("error", () => undefined);
  await once(first, "close");
  assert.ok(closed.length >= 1);
  for (const socket of others) socket.destroy();
});

// Guards against a request inside the limits that times out, as its body is not read
// before an earlier request of its connection is answered.
test("the body of a pipelined request is read while another one waits", async (context) => {
  const bodyRead: Promise<void>[] = [];
  let release: (() => void) | undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  const handle: HttpHandler = async (request, response) => {
    bodyRead.push(once(request.resume(), "end").then(() => undefined));
    if (bodyRead.length === 2) void bodyRead[1]?.then(() => release?.());
    await released;
    if (request.url === "/2") response.shouldKeepAlive = false;
    response.end("done");
  };
  const body = "x".repeat(40_000);
  const requests = [1, 2].map(
    (n) =>
      `POST /${n} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  const text = await exchange(context, { handle }, requests.join(""));
  assert.equal(text.match(/done/g)?.length, 2);
});

// Guards against a body over the limit that looks complete, as its excess came in the
// same read as the end of the part that is buffered.
test("a second reader of a body learns that it is over the limit", () => {
  const request = new TrackedRequest(new Socket());
  request.limitBody(1_000, () => undefined);
  request.push(Buffer.alloc(1_500));
  let isOver = false;
  request.limitBody(1_000, () => {
    isOver = true;
  });
  assert.ok(isOver);
});

// Guards against parts that are held back on connections of other entries, which
// nobody flushes.
test("parts of a body are not gathered without a feed", () => {
  const request = new TrackedRequest(new Socket());
  request.gathersParts = false;
  request.push(Buffer.from("a"));
  assert.equal(request.readableLength, 1);
});
