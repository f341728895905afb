import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { until } from "../demo/until.ts";
import { BackendClient } from "./backend_client.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { MAX_BUFFERED_BODY_BYTES, readBody } from "./request_body.ts";
import { serverRecord } from "./test_server_record.ts";

interface ReceivedRequest {
  readonly method: string | undefined;
  readonly path: string | undefined;
  readonly body: string;
  readonly connection: Socket;
}

const received: ReceivedRequest[] = [];
const client = new BackendClient(new PublishedProtocol());
const limits = { maxBytes: 1_000_000, timeoutMs: 5_000 };
let backend: Server;
let proxy: Server;

before(async () => {
  backend = createServer((request, response) => {
    void readText(request).then((body) => {
      const { method, url: path, socket: connection } = request;
      received.push({ method, path, body, connection });
      response.end("ok");
    });
  });
  // The part of an entry between the caller's request and the server.
  proxy = createServer(async (request, response) => {
    const read = await readBody(request, limits);
    const sent = client.send(serverRecord(portOf(backend)), {
      method: request.method ?? "",
      path: request.url ?? "",
      headers: endToEndHeaders(request.rawHeaders, new Set()),
      body: read._unsafeUnwrap(),
      connectTimeoutMs: 1_000,
      requestId: undefined,
    });
    await sent.result;
    response.end("answered");
  });
  await Promise.all([listen(backend), listen(proxy)]);
});

after(() => {
  client.close();
  for (const server of [backend, proxy]) {
    server.closeAllConnections();
    server.close();
  }
});

function listen(server: Server): Promise<void> {
  return new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** Sends bytes as a caller does and resolves once they are answered. */
function sendBytes(bytes: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const socket = connect(portOf(proxy), "127.0.0.1");
    socket.on("error", reject);
    socket.on("data", (data) => {
      if (!data.includes("answered")) return;
      socket.destroy();
      resolve();
    });
    socket.write(bytes);
  });
}

/** A body that reads like a request of its own. */
const BODY = "POST /inner HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
/** Longer than what is read before the request is sent. */
const LONG_BODY = BODY.repeat(
  Math.ceil((2 * MAX_BUFFERED_BODY_BYTES) / BODY.length),
);

const METHODS = ["GET", "DELETE", "OPTIONS", "POST", "PUT", "PATCH"];

const FRAMINGS: readonly {
  name: string;
  headers: (body: string) => readonly string[];
  encode: (body: string) => string;
}[] = [
  {
    name: "in chunks",
    headers: () => ["transfer-encoding: chunked"],
    encode: (body) => `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  },
  {
    name: "with a length",
    headers: (body) => [`content-length: ${body.length}`],
    encode: (body) => body,
  },
  {
    name: "with a length that Connection names",
    headers: (body) => [
      `content-length: ${body.length}`,
      "connection: content-length, keep-alive",
    ],
    encode: (body) => body,
  },
];

// The body of a DELETE in chunks was sent on without framing, and the server ran
// it as a request that nobody had sent (review of 4 December 2026).
for (const method of METHODS) {
  for (const { name, headers, encode } of FRAMINGS) {
    for (const [size, body] of Object.entries({ BODY, LONG_BODY })) {
      test(`${method} ${name}, ${size}, reaches the server as it was sent`, async () => {
        received.length = 0;
        const head = [`${method} /outer HTTP/1.1`, "host: a", ...headers(body)];
        await sendBytes(`${head.join("\r\n")}\r\n\r\n${encode(body)}`);
        // The bytes of a body without framing precede this request.
        await sendBytes("GET /next HTTP/1.1\r\nhost: a\r\n\r\n");
        await until(() => received.length >= 2, { what: "two requests" });
        const [outer, next, ...others] = received;
        assert.equal(outer?.method, method);
        assert.equal(outer?.path, "/outer");
        assert.equal(outer?.body === body, true);
        assert.equal(next?.path, "/next");
        assert.equal(next?.connection, outer?.connection);
        assert.deepEqual(others, []);
      });
    }
  }
}

for (const method of METHODS) {
  test(`${method} without a body reaches the server without one`, async () => {
    received.length = 0;
    await sendBytes(`${method} /outer HTTP/1.1\r\nhost: a\r\n\r\n`);
    await sendBytes("GET /next HTTP/1.1\r\nhost: a\r\n\r\n");
    const requests = received.map(({ path, body }) => ({ path, body }));
    assert.deepEqual(requests, [
      { path: "/outer", body: "" },
      { path: "/next", body: "" },
    ]);
  });
}
