import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, Socket } from "node:net";
import { type TestContext, test } from "node:test";
import { SystemClock } from "#model";
import { until } from "../demo/until.ts";
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

const FIELDS = "xa:1\r\n".repeat(1_900);
const CHUNKED_HEAD = `${HEAD}transfer-encoding: chunked\r\n\r\n`;

function guardOf(heldBytesMax: number) {
  const closed: ClosedClient[] = [];
  const guard = new ClientGuard({
    bounds: {
      heldBytesMax,
      residentBytesMax: Number.POSITIVE_INFINITY,
      connectionsMax: 10,
    },
    clock: new SystemClock(),
    onClosed: (client) => closed.push(client),
  });
  return { guard, closed };
}

// Guards against a crowd of unfinished fields that ends the process, as nothing counts
// them before their end (review cases 9 and 10).
for (const [name, bytes] of [
  ["a head", `${HEAD}${FIELDS}`],
  [
    "a head after another one",
    `${HEAD}content-length: 0\r\n\r\n${HEAD}${FIELDS}`,
  ],
  ["fields behind a body", `${CHUNKED_HEAD}1\r\nx\r\n0\r\n${FIELDS}`],
  ["fields behind no body", `${CHUNKED_HEAD}0\r\n${FIELDS}`],
  [
    "a head behind a body",
    `${CHUNKED_HEAD}1\r\nx\r\n0\r\n\r\n${HEAD}${FIELDS}`,
  ],
] as const) {
  test(`${name} that stops before its end is charged as it comes`, async (context) => {
    const { guard, closed } = guardOf(18_000);
    await exchange(context, { options: { guard }, handle: echo }, bytes);
    assert.deepEqual(
      closed.map(({ limit }) => limit),
      ["held_bytes"],
    );
    assert.equal(guard.heldBytes, 0);
  });
}

// Guards against heads, and fields behind a body, that are taken beyond the limit until
// the parser's own bound.
for (const [name, bytes] of [
  ["a head of one field", `${HEAD}a: ${"b".repeat(3_000)}`],
  ["a head of many fields", `${HEAD}${"a: b\r\n".repeat(600)}`],
  ["a first line", `GET /${"b".repeat(3_000)}`],
] as const) {
  test(`${name} over the limit is refused before its end`, async (context) => {
    const http = new HttpServer({ headerBytesMax: () => 2_048 }, echo);
    context.after(() => http.destroy());
    const codes: unknown[] = [];
    http.onMalformed(({ code }) => codes.push(code));
    const bound = await http.listen({ host: "127.0.0.1", port: 0 });
    const socket = connect(bound._unsafeUnwrap());
    socket.on("error", () => undefined);
    socket.write(bytes);
    await new Promise((resolve) => socket.once("close", resolve).resume());
    assert.deepEqual(codes, ["HPE_HEADER_OVERFLOW"]);
  });
}

// Guards against a field without end that is held where no limit is configured.
for (const [name, bytes, answer] of [
  ["a head", `${HEAD}a: ${"b".repeat(5_000)}`, /^HTTP\/1\.1 431 /],
  ["fields", `${CHUNKED_HEAD}0\r\na: ${"b".repeat(5_000)}`, /^$/],
] as const) {
  test(`${name} without end end at the size that the parser takes`, async (context) => {
    const server = { options: { maxHeaderSize: 4_096 }, handle: echo };
    assert.match(await exchange(context, server, bytes), answer);
  });
}

test("fields behind a body over the limit end the connection", async (context) => {
  const bytes = `${CHUNKED_HEAD}1\r\nx\r\n0\r\n${"a:b\r\n".repeat(3_500)}`;
  const server = { options: { maxHeaderSize: 65_536 }, handle: echo };
  const text = await exchange(context, server, bytes);
  assert.equal(text, "");
});

// Guards against a body that is taken for fields.
test("a body with the bytes of a last chunk and many lines arrives whole", async (context) => {
  const body = `\r\n0\r\n${"\n".repeat(60_000)}`;
  const chunks = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
  const request = `${HEAD}transfer-encoding: chunked\r\nconnection: close\r\n\r\n${chunks}`;
  const { guard, closed } = guardOf(10_000_000);
  const options = { guard, headerBytesMax: () => 2_048 };
  const text = await exchange(context, { options, handle: echo }, request);
  assert.ok(text.endsWith(`\r\n\r\n${body}`));
  assert.deepEqual(closed, []);
});

// Guards against charges that stay, and requests that are refused, where reads are
// divided at any byte.
test("requests in pieces of any size are answered, and leave no charge", async (context) => {
  const withFields = `${HEAD}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\nz: 1\r\n\r\n`;
  const known = `${HEAD}content-length: 5\r\n\r\nhello`;
  const last = `${HEAD}content-length: 3\r\nconnection: close\r\n\r\nend`;
  const bytes = Buffer.from(`${withFields}${known}${withFields}\r\n${last}`);
  for (const size of [1, 2, 3, 7, 16, 50, 64, bytes.length]) {
    const { guard, closed } = guardOf(1_000_000);
    const options = { guard, headerBytesMax: () => 120 };
    const http = new HttpServer(options, echo);
    context.after(() => http.destroy());
    const bound = await http.listen({ host: "127.0.0.1", port: 0 });
    const socket = connect({ ...bound._unsafeUnwrap(), noDelay: true });
    let text = "";
    socket.on("data", (part) => {
      text += part.toString("latin1");
    });
    const isClosed = new Promise((resolve) => socket.once("close", resolve));
    for (let at = 0; at < bytes.length; at += size) {
      socket.write(bytes.subarray(at, at + size));
      await new Promise(setImmediate);
    }
    await isClosed;
    const bodies = [...text.matchAll(/\r\n\r\n(abc|hello|end)/g)];
    assert.deepEqual(
      bodies.map(([, body]) => body),
      ["abc", "hello", "abc", "end"],
      `pieces of ${size}`,
    );
    assert.deepEqual(closed, []);
    await until(() => guard.heldBytes === 0, { what: "nothing is charged" });
  }
});

// Guards against a body that is wrong, as its client is asked for the next request's
// body inside it.
test("a request that waits for its turn is asked for its body after the answers before it", async (context) => {
  const handle: HttpHandler = async (request, response) => {
    await new Promise((resolve) => setTimeout(resolve, 20));
    await echo(request, response);
  };
  const first = `${HEAD}content-length: 5\r\n\r\nfirst`;
  const expect = "expect: 100-continue\r\ncontent-length: 3\r\n";
  const second = `${HEAD}${expect}\r\nend`;
  const third = `${HEAD}${expect}connection: close\r\n\r\nend`;
  const text = await exchange(context, { handle }, first + second + third);
  const order = [...text.matchAll(/HTTP\/1\.1 (\d+)|(first|end)/g)];
  assert.deepEqual(
    order.map(([, status, body]) => status ?? body),
    ["200", "first", "100", "200", "end", "100", "200", "end"],
  );
});
