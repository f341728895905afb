import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { type BackendServer, SystemClock } from "#model";
import { writeWithoutEnd } from "#standin";
import { Metrics } from "#telemetry";
import { listen } from "#wire";
import { stall } from "../demo/stall.ts";
import { until } from "../demo/until.ts";
import { BackendClient } from "./backend_client.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { Prober } from "./prober.ts";

const CLOSE_HEAD = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n";
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\n\r\n";
const LOAD = JSON.stringify({ in_flight: 3, state: "ready" });
const LOAD_RESPONSE = `HTTP/1.1 200 OK\r\nContent-Length: ${LOAD.length}\r\n\r\n${LOAD}`;

/** Starts a server that answers probes with a function of the test. */
async function startProber(respond: (socket: Socket) => void) {
  const sockets = new Set<Socket>();
  const raw = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", () => respond(socket));
  });
  const bound = await listen(raw, { host: "127.0.0.1", port: 0 });
  const server: BackendServer = {
    id: "w",
    service: "s",
    address: bound._unsafeUnwrap(),
    dataCentre: "a",
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: 1,
    connections: 1,
    inFlight: 0,
    startedMsAgo: 0,
  };
  const bounds: string[] = [];
  const protocol = new PublishedProtocol();
  const client = new BackendClient(protocol, {
    onBoundExceeded: ({ bound }) => bounds.push(bound),
  });
  const prober = new Prober({
    clock: new SystemClock(),
    metrics: new Metrics(),
    client,
    protocol,
    service: () => undefined,
    onServerLeaving: () => undefined,
    onHeard: () => undefined,
    judge: () => Promise.resolve("server"),
  });
  const close = () => {
    client.close();
    raw.close();
    for (const socket of sockets) socket.destroy();
  };
  return { server, prober, sockets, bounds, close };
}

const FLOODS: Record<string, { first: string; piece: string }> = {
  "a head": { first: "HTTP/1.1 200 ", piece: "x" },
  headers: { first: "HTTP/1.1 200 OK\r\n", piece: "X: y\r\n" },
  "informational responses": { first: EARLY_HINTS, piece: EARLY_HINTS },
  "a chunk size": { first: CHUNKED_HEAD, piece: "0" },
  "chunks of a byte": { first: CHUNKED_HEAD, piece: "1\r\nx\r\n" },
  "a body": { first: CLOSE_HEAD, piece: "x" },
  "a trailer": { first: `${CHUNKED_HEAD}0\r\n`, piece: "X: y\r\n" },
};

for (const [what, flood] of Object.entries(FLOODS)) {
  for (const byteIntervalMs of [undefined, 10]) {
    const speed = byteIntervalMs ? "a byte at a time" : "fast";
    // Otherwise a probe or a check holds a connection and time for ever.
    test(`a probe and a check end on ${what} without end, ${speed}`, async (t) => {
      const { server, prober, sockets, close } = await startProber((socket) =>
        writeWithoutEnd(socket, {
          ...flood,
          ...(byteIntervalMs && { byteIntervalMs }),
        }),
      );
      t.after(close);
      assert.equal((await prober.probe(server)).kind, "failed");
      assert.equal((await prober.check(server)).kind, "failed");
      await until(() => sockets.size === 0, {
        what: "the connections are closed",
      });
    });
  }
}

// Otherwise an idle connection is read for ever.
test("bytes after the response to a probe close its connection", async (t) => {
  let goOn = () => undefined as unknown;
  const { server, prober, sockets, bounds, close } = await startProber(
    (socket) => {
      socket.write(LOAD_RESPONSE);
      goOn = () => writeWithoutEnd(socket, { piece: "x" });
    },
  );
  t.after(close);
  const result = await prober.probe(server);
  assert.equal(result.kind === "answered" && result.inFlight, 3);
  goOn();
  await until(() => sockets.size === 0, { what: "the connection is closed" });
  assert.deepEqual(bounds, ["surplus_bytes"]);
});

for (const [kind, timeoutMs] of [
  ["probe", 1_000],
  ["check", 100],
] as const) {
  // Otherwise a server counts as failed because this entry had no processor time.
  test(`a ${kind} counts an answer that arrived during a stall`, async (t) => {
    const { server, prober, close } = await startProber((socket) => {
      socket.write(LOAD_RESPONSE);
      stall(timeoutMs + 200);
    });
    t.after(close);
    const result = await prober[kind](server);
    assert.equal(result.kind, "answered", JSON.stringify(result));
    // The stall is no time of the server: checks would become rarer after it.
    assert.equal(result.kind === "answered" && result.ms, timeoutMs);
  });
}

// Otherwise a check of a server that never answers holds a call for ever.
test("a check of a silent server fails after a stall", async (t) => {
  const { server, prober, close } = await startProber(() => stall(300));
  t.after(close);
  const result = await prober.check(server);
  assert.equal(result.kind, "failed");
  assert.equal("failure" in result && result.failure, "no_answer");
});
