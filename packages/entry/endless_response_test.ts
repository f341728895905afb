import assert from "node:assert/strict";
import { request as httpRequest, type IncomingHttpHeaders } from "node:http";
import { connect, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { HEADERS } from "#model";
import { RawBackend, type RawResponse, writeWithoutEnd } from "#standin";
import { ConsolaLogger } from "#telemetry";
import { LocalSite } from "../demo/local_site.ts";
import { until } from "../demo/until.ts";

const DEADLINE_MS = 600;
/** Generous: a busy machine may delay a call, but none may go on for ever. */
const END_WITHIN_MS = 15_000;
const BYTE_INTERVAL_MS = 10;
/** Not reached by a byte at a time. */
const RESPONSE_MAX_BYTES = 4 * 1024 * 1024;

const SERVICES = Array.from({ length: 60 }, (_, index) => `s${index}`);

/** Keeps the lines about exceeded bounds. */
const boundLines: Record<string, unknown>[] = [];
const logger = new ConsolaLogger({
  json: true,
  level: "warn",
  stream: {
    write: (line) => {
      if (line.includes("exceeded a bound")) boundLines.push(JSON.parse(line));
      return true;
    },
  },
});

let site: LocalSite;
let used = 0;

before(async () => {
  site = await LocalSite.start({
    entries: 1,
    logger,
    entryLimits: { response_body_max_bytes: RESPONSE_MAX_BYTES },
  });
  const service = {
    slots_per_server: 6,
    connections_per_server: 300,
    cold_start_ms: 0,
    retry_budget_percent: 0,
    measuring_budget_percent: 0,
    classes: {
      lookup: {
        priority: "patient",
        deadline_ms: DEADLINE_MS,
        repeatable: true,
      },
    },
    routes: [{ path: "/", class: "lookup" }],
  };
  const services = Object.fromEntries(
    [...SERVICES, "good"].map((name) => [name, service]),
  );
  await site.configure(services);
  await site.addServer({ id: "w1", service: "good", dataCentre: "riga-a" });
  await site.serversKnown("good", 1);
});

after(async () => {
  await site.close();
});

/** Starts the only server of an unused service. */
async function startBackend(respond: RawResponse) {
  const service = SERVICES[used++] ?? "";
  const backend = new RawBackend({
    id: "raw",
    service,
    dataCentre: "riga-a",
    entries: () => site.addresses,
    respond,
  });
  await backend.start();
  after(() => backend.close());
  await until(() => site.entries[0]?.serverCount(service) === 1, {
    what: "the server is known",
  });
  return { service, backend };
}

interface CallEnd {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Whether the response had an end; false if the connection broke. */
  readonly isComplete: boolean;
  readonly bytes: number;
}

/** Makes a call and reads its response to the end, without keeping it. */
function call(service: string): Promise<CallEnd> {
  const [address] = site.addresses;
  return new Promise((resolve, reject) => {
    let head = { status: 0, headers: {} };
    let bytes = 0;
    const end = (isComplete: boolean) => {
      clearTimeout(timer);
      resolve({ ...head, isComplete, bytes });
    };
    const outgoing = httpRequest({
      ...address,
      agent: false,
      path: "/",
      headers: { [HEADERS.service]: service },
    });
    const timer = setTimeout(() => {
      reject(new Error(`no end of the call after ${bytes} bytes`));
      outgoing.destroy();
    }, END_WITHIN_MS);
    outgoing.on("error", () => end(false));
    outgoing.on("response", (response) => {
      const { statusCode = 0, headers } = response;
      head = { status: statusCode, headers };
      response.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
      });
      response.on("error", () => end(false));
      response.on("end", () => end(response.complete));
    });
    outgoing.end();
  });
}

const PIECE = "0123456789abcdef".repeat(1_024);
const CHUNK = `4000\r\n${PIECE}\r\n`;
const CLOSE_HEAD = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n";
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const PACE_MS = 40;

/** Writes pieces of 16 KB at a pace that reaches the deadline first. */
function writePaced(
  socket: Socket,
  bytes: { first: string; piece: string },
): void {
  socket.write(bytes.first);
  const timer = setInterval(() => socket.write(bytes.piece), PACE_MS);
  socket.once("close", () => clearInterval(timer));
}

const ENDLESS_BODIES: Record<string, RawResponse> = {
  "without a length": (socket) =>
    writePaced(socket, { first: CLOSE_HEAD, piece: PIECE }),
  "in chunks": (socket) =>
    writePaced(socket, { first: CHUNKED_HEAD, piece: CHUNK }),
  "a byte at a time after its first 100 KB": (socket) =>
    writeWithoutEnd(socket, {
      first: CLOSE_HEAD + PIECE.repeat(7),
      piece: "x",
      byteIntervalMs: BYTE_INTERVAL_MS,
    }),
};

for (const [how, respond] of Object.entries(ENDLESS_BODIES)) {
  // Otherwise the response goes on until the caller closes.
  test(`an endless body ${how} is broken off at the deadline`, async () => {
    const { service, backend } = await startBackend(respond);
    const { status, isComplete } = await call(service);
    assert.equal(status, 200);
    assert.equal(isComplete, false);
    await until(() => backend.openConnections === 0, {
      what: "the connection to the server is closed",
    });
  });
}

const FAST_BODIES: Record<string, RawResponse> = {
  "without a length": (socket) =>
    writeWithoutEnd(socket, { first: CLOSE_HEAD, piece: PIECE }),
  "in chunks": (socket) =>
    writeWithoutEnd(socket, { first: CHUNKED_HEAD, piece: CHUNK }),
};

for (const [how, respond] of Object.entries(FAST_BODIES)) {
  // Otherwise one response takes all bytes that fit into its time.
  test(`an endless body ${how} is broken off at its bound of bytes`, async () => {
    const { service, backend } = await startBackend(respond);
    const { status, isComplete, bytes } = await call(service);
    assert.equal(status, 200);
    assert.equal(isComplete, false);
    assert.ok(bytes <= 2 * RESPONSE_MAX_BYTES, `${bytes} bytes`);
    await until(() => backend.openConnections === 0, {
      what: "the connection to the server is closed",
    });
  });
}

// Otherwise the caller waits for a body that is broken off in any case.
test("a response that announces too long a body is refused at its head", async () => {
  const length = RESPONSE_MAX_BYTES + 1;
  const head = `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n`;
  const { service, backend } = await startBackend((socket) =>
    writeWithoutEnd(socket, { first: head, piece: PIECE }),
  );
  const { status, headers, isComplete } = await call(service);
  assert.equal(status, 502);
  assert.equal(headers[HEADERS.outcome], "unknown");
  assert.equal(isComplete, true);
  await until(() => backend.openConnections === 0, {
    what: "the connection to the server is closed",
  });
});

// Guards against bounds that touch responses within their time and length.
test("a long response that ends in time is forwarded whole", async () => {
  const bytes = RESPONSE_MAX_BYTES;
  const head = `HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n`;
  const { service } = await startBackend((socket) => {
    socket.write(head);
    socket.write(Buffer.alloc(bytes));
  });
  const end = await call(service);
  assert.deepEqual([end.status, end.isComplete, end.bytes], [200, true, bytes]);
});

// Such a caller takes a normal close for the end of the body.
test("a caller of HTTP/1.0 gets a reset for a response that is broken off", async () => {
  const { service } = await startBackend((socket) =>
    writePaced(socket, { first: CLOSE_HEAD, piece: PIECE }),
  );
  const { port = 0 } = site.addresses[0] ?? {};
  const socket = connect({ host: "127.0.0.1", port });
  socket.write(`GET / HTTP/1.0\r\n${HEADERS.service}: ${service}\r\n\r\n`);
  const end = await new Promise((resolve) => {
    socket.resume();
    socket.once("end", () => resolve("normal close"));
    socket.once("error", (error: NodeJS.ErrnoException) => resolve(error.code));
  });
  assert.equal(end, "ECONNRESET");
});

const EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\n\r\n";
const LONG_HINTS = `HTTP/1.1 103 Early Hints\r\nX: ${"x".repeat(8_000)}\r\n\r\n`;

for (const [how, piece] of [
  ["short", EARLY_HINTS],
  ["long", LONG_HINTS],
] as const) {
  // Otherwise they take the entry's event loop until the deadline and beyond.
  test(`informational responses without end, ${how} and fast, end the request`, async () => {
    const { service, backend } = await startBackend((socket) =>
      writeWithoutEnd(socket, { piece }),
    );
    const { status, headers, isComplete } = await call(service);
    assert.equal(status, 502);
    assert.equal(headers[HEADERS.error], "server_failed");
    assert.equal(headers[HEADERS.outcome], "unknown");
    assert.equal(isComplete, true);
    await until(() => backend.openConnections === 0, {
      what: "the connection to the server is closed",
    });
  });
}

test("informational responses a byte at a time end at the deadline", async () => {
  const { service, backend } = await startBackend((socket) =>
    writeWithoutEnd(socket, {
      piece: EARLY_HINTS,
      byteIntervalMs: BYTE_INTERVAL_MS,
    }),
  );
  const { status, isComplete } = await call(service);
  assert.ok(status === 502 || status === 504, `${status}`);
  assert.equal(isComplete, true);
  await until(() => backend.openConnections === 0, {
    what: "the connection to the server is closed",
  });
});

// Guards against bounds that refuse responses of the usual kind.
test("a few informational responses before the final one are passed over", async () => {
  const { service } = await startBackend((socket) => {
    socket.write(EARLY_HINTS.repeat(10));
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const end = await call(service);
  assert.deepEqual([end.status, end.isComplete, end.bytes], [200, true, 2]);
});

// Otherwise a failed call can't be traced to what its server sent.
test("a bound that was hit is logged and counted with the id of its request", async () => {
  const { service } = await startBackend((socket) =>
    writePaced(socket, { first: CLOSE_HEAD, piece: PIECE }),
  );
  const { headers } = await call(service);
  const requestId = headers[HEADERS.requestId];
  const lines = boundLines.filter((line) => line.requestId === requestId);
  assert.equal(lines.length, 1);
  const [line = {}] = lines;
  assert.equal(line.level, "warn");
  assert.equal(line.server, `${service}/raw`);
  assert.equal(line.bound, "deadline");
  assert.ok(Number(line.bytes) >= PIECE.length, `${line.bytes} bytes`);
  assert.ok(Number(line.ageMs) > 0, `${line.ageMs} ms`);
  const port = site.metricsPorts[0];
  const metrics = await fetch(`http://127.0.0.1:${port}/metrics`);
  const series = `bounds_total{service="${service}",bound="deadline"} 1`;
  assert.ok((await metrics.text()).includes(series));
});

const OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/** What an entry reads of a flood, and the buffers of the connections. */
const MAX_WRITTEN_BYTES = 64 * 1024 * 1024;

const FLOODS: Record<string, { first: string; piece: string }> = {
  "a head": { first: "HTTP/1.1 200 ", piece: "x" },
  "a header": { first: "HTTP/1.1 200 OK\r\nX: ", piece: "x" },
  headers: { first: "HTTP/1.1 200 OK\r\n", piece: "X: y\r\n" },
  "informational responses": { first: EARLY_HINTS, piece: EARLY_HINTS },
  "a chunk size": { first: CHUNKED_HEAD, piece: "0" },
  "chunks of a byte": { first: CHUNKED_HEAD, piece: "1\r\nx\r\n" },
  "a chunk extension": { first: `${CHUNKED_HEAD}1;`, piece: "x" },
  "a body without a length": { first: CLOSE_HEAD, piece: "x" },
  "a trailer": { first: `${CHUNKED_HEAD}0\r\n`, piece: "X: y\r\n" },
  "bytes after the end": { first: OK, piece: "x" },
};

const SPEEDS = {
  fast: {},
  "a byte at a time": { byteIntervalMs: BYTE_INTERVAL_MS },
};

for (const [what, flood] of Object.entries(FLOODS)) {
  for (const [speed, options] of Object.entries(SPEEDS)) {
    for (const requestsBefore of [0, 1]) {
      const where = requestsBefore > 0 ? "a reused" : "a new";
      // Guards against calls and connections that such a server keeps for
      // ever, and against calls to other servers that suffer from them.
      test(`${what} without end, ${speed}, on ${where} connection, ends`, async () => {
        let requests = 0;
        const { service, backend } = await startBackend((socket) => {
          requests += 1;
          if (requests <= requestsBefore) socket.write(OK);
          else writeWithoutEnd(socket, { ...flood, ...options });
        });
        if (requestsBefore > 0) assert.equal((await call(service)).status, 200);
        const beside = Array.from({ length: 5 }, () => call("good"));
        const end = await call(service);
        const isWhole = flood.first === OK;
        const expected = isWhole ? [200] : [0, 200, 502, 504];
        assert.ok(expected.includes(end.status), `${end.status}`);
        if (end.status === 200) assert.equal(end.isComplete, isWhole);
        for (const { status } of await Promise.all(beside)) {
          assert.equal(status, 200);
        }
        await until(() => backend.openConnections === 0, {
          what: "the connection to the server is closed",
        });
        const { bytesWritten } = backend;
        assert.ok(bytesWritten < MAX_WRITTEN_BYTES, `${bytesWritten} bytes`);
      });
    }
  }
}
