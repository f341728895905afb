import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { after, beforeEach, test } from "node:test";
import type { BackendServer } from "#model";
import { until } from "../demo/until.ts";
import { BackendClient } from "./backend_client.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { MAX_BUFFERED_BODY_BYTES, readBody } from "./request_body.ts";
import { serverRecord } from "./test_server_record.ts";

const PART = "0123456789abcdef".repeat(2_500);
/** Parts that are written before the answer, more than an entry buffers. */
const FIRST_PARTS = Math.ceil((2 * MAX_BUFFERED_BODY_BYTES) / PART.length);
const PARTS = FIRST_PARTS + 10;

const client = new BackendClient(new PublishedProtocol());
const servers: Server[] = [];
let proxy: Server;
let backend: Backend;

after(() => {
  client.close();
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

beforeEach(async () => {
  backend = new Backend();
  // The part of an entry between the caller's request and the server.
  proxy = createServer(async (request, response) => {
    const limits = { maxBytes: 10_000_000, timeoutMs: 5_000 };
    const read = await readBody(request, limits);
    const sent = client.send(backend.record, {
      method: request.method ?? "",
      path: request.url ?? "",
      headers: ["host", "w1"],
      body: read._unsafeUnwrap(),
      connectTimeoutMs: 1_000,
      requestId: undefined,
    });
    const result = await sent.result;
    const { status = 502 } =
      result.type === "answer" ? result.response : { status: 502 };
    response.writeHead(status, { "content-length": 0 }).end();
  });
  servers.push(backend.server, proxy);
  await Promise.all([listen(backend.server), listen(proxy)]);
});

/** Answers requests at their first part, and reads on as told. */
class Backend {
  status = 200;
  closes = false;
  readonly bodies = new Map<string, number>();
  readonly complete = new Set<string>();
  readonly connections = new Set<Socket>();
  readonly server = createServer((request, response) => {
    const path = request.url ?? "";
    this.connections.add(request.socket);
    this.bodies.set(path, 0);
    request.on("data", (part: Buffer) => this.#take(path, part));
    request.once("end", () => this.complete.add(path));
    if (this.closes) response.setHeader("connection", "close");
    response.writeHead(this.status, { "content-length": 2 }).end("ok");
  });

  get record(): BackendServer {
    const { port } = this.server.address() as AddressInfo;
    return serverRecord(port, { id: `w${port}` });
  }

  #take(path: string, part: Buffer): void {
    this.bodies.set(path, (this.bodies.get(path) ?? 0) + part.length);
  }
}

function listen(server: Server): Promise<void> {
  return new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
}

/** A caller that writes a long body part by part. */
class Uploader {
  readonly socket: Socket;
  readonly #statuses: string[] = [];
  readonly #isChunked: boolean;

  constructor(path: string, { isChunked = false } = {}) {
    this.#isChunked = isChunked;
    this.socket = connect((proxy.address() as AddressInfo).port, "127.0.0.1");
    this.socket.on("error", () => undefined);
    this.socket.on("data", (data) => {
      const found = data.toString().matchAll(/HTTP\/1\.1 (\d+)/g);
      for (const [, status = ""] of found) this.#statuses.push(status);
    });
    const framing = isChunked
      ? "transfer-encoding: chunked"
      : `content-length: ${PARTS * PART.length}`;
    this.socket.write(`POST ${path} HTTP/1.1\r\nhost: a\r\n${framing}\r\n\r\n`);
  }

  get statuses(): readonly string[] {
    return this.#statuses;
  }

  write(parts: number): void {
    for (let part = 0; part < parts; part++) {
      const size = PART.length.toString(16);
      this.socket.write(this.#isChunked ? `${size}\r\n${PART}\r\n` : PART);
    }
  }

  finish(): void {
    this.write(PARTS - FIRST_PARTS);
    if (this.#isChunked) this.socket.write("0\r\n\r\n");
  }

  async answered(count = 1): Promise<void> {
    await until(() => this.#statuses.length >= count, {
      what: `${count} answers`,
    });
  }
}

/** Starts an upload and waits until it is answered before its end. */
async function answeredEarly(
  path: string,
  options: { isChunked?: boolean } = {},
): Promise<Uploader> {
  const uploader = new Uploader(path, options);
  uploader.write(FIRST_PARTS);
  await uploader.answered();
  return uploader;
}

// A server that answered before it had read a long body got no more than a part
// of it, with no sign of the loss to either side (review of 4 December 2026).
for (const status of [200, 413, 500]) {
  for (const isChunked of [false, true]) {
    const framing = isChunked ? "in chunks" : "with a length";
    test(`a body ${framing} reaches its server after an early ${status}`, async () => {
      backend.status = status;
      const uploader = await answeredEarly("/upload", { isChunked });
      uploader.finish();
      await until(() => backend.complete.has("/upload"), {
        what: "the whole body",
      });
      assert.equal(backend.bodies.get("/upload"), PARTS * PART.length);
      assert.deepEqual(uploader.statuses, [String(status)]);
      // Both connections are used again, from the end of the body on.
      uploader.socket.write("GET /next HTTP/1.1\r\nhost: a\r\n\r\n");
      await uploader.answered(2);
      assert.equal(backend.bodies.get("/next"), 0);
      assert.equal(backend.connections.size, 1);
      uploader.socket.destroy();
    });
  }
}

test("a server sees the end of a body whose caller leaves after the answer", async () => {
  const uploader = await answeredEarly("/upload");
  uploader.socket.destroy();
  const [connection] = backend.connections;
  await until(() => connection?.destroyed === true, {
    what: "the connection's end",
  });
  assert.ok(!backend.complete.has("/upload"));
});

test("a caller may finish a body that its server does not want", async () => {
  backend.closes = true;
  const uploader = await answeredEarly("/upload");
  uploader.finish();
  uploader.socket.write("GET /next HTTP/1.1\r\nhost: a\r\n\r\n");
  await uploader.answered(2);
  assert.deepEqual(uploader.statuses, ["200", "200"]);
  uploader.socket.destroy();
});
