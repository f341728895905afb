import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { mock, type TestContext, test } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { ManualClock } from "#model";
import { encodeFrame } from "./frames.ts";
import type { Hello } from "./messages.ts";
import { TcpNetwork } from "./network.ts";
import { PROTOCOL_VERSIONS } from "./protocol_versions.ts";

const CLOCK = { now: () => 1_000, wallTime: () => 1_000 };
/** Real time after which an event of a socket has not happened. */
const EVENT_TIMEOUT_MS = 5_000;
const STEP_MS = 250;

function hello(id: string): Hello {
  const { oldest: version } = PROTOCOL_VERSIONS;
  return { id, role: "entry", incarnation: 1, cluster: "test", version };
}

function frame(kind: string, payload: unknown): Buffer {
  return encodeFrame(kind, payload)._unsafeUnwrap();
}

async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + EVENT_TIMEOUT_MS;
  while (!condition()) {
    assert.ok(performance.now() < end, "timed out");
    await turn();
  }
}

async function turns(count: number): Promise<void> {
  for (let i = 0; i < count; i++) await turn();
}

/**
 * A network on mocked timers that opens a link to a peer, which takes connections and
 * says hello some time later, or never.
 */
async function dialSlowPeer(t: TestContext, answerMs?: number) {
  const sockets: Socket[] = [];
  mock.timers.enable({ apis: ["setTimeout"] });
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.resume();
    sockets.push(socket);
    const answer = () => {
      if (!socket.destroyed) socket.write(frame("hello", hello("slow")));
    };
    if (answerMs !== undefined) setTimeout(answer, answerMs);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const network = new TcpNetwork<Record<string, unknown>>({
    self: hello("client"),
    clock: CLOCK,
  });
  t.after(() => {
    network.close();
    mock.timers.reset();
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { port } = server.address() as AddressInfo;
  network.setPeers([{ address: { host: "127.0.0.1", port } }]);
  await until(() => sockets.length === 1);
  return { network, sockets };
}

/** Lets time pass, and sockets do what follows from it. */
async function pass(ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    mock.timers.tick(STEP_MS);
    await turns(20);
  }
}

/** Opens connections, says hello and closes them, for as long as this thread is busy. */
function giveUpConnections(
  t: TestContext,
  options: { host: string; port: number; hello: Buffer },
): void {
  const isDone = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(GIVE_UP, {
    eval: true,
    workerData: { ...options, isDone },
  });
  t.after(() => worker.terminate());
  const outcome = Atomics.wait(isDone, 0, 0, EVENT_TIMEOUT_MS);
  assert.notEqual(outcome, "timed-out");
}

const GIVE_UP = `
  const { connect } = require("node:net");
  const { host, port, hello, isDone } = require("node:worker_threads").workerData;
  let left = 5;
  for (let i = 0; i < 5; i++) {
    const socket = connect(port, host);
    socket.on("error", () => undefined);
    socket.end(hello, () => {
      left -= 1;
      if (left > 0) return;
      Atomics.store(isDone, 0, 1);
      Atomics.notify(isDone, 0);
    });
  }
`;

// Guards against hosts that never link again after all have started at once: each
// answers only after the others have given its connections up and opened new ones.
test("a peer that is slow to answer is linked in the end", async (t) => {
  const { network, sockets } = await dialSlowPeer(t, 3_000);
  for (let passed = 0; passed < 30_000; passed += STEP_MS) {
    if (network.isConnected("slow")) return;
    await pass(STEP_MS);
  }
  assert.fail(`not linked after ${sockets.length} connections`);
});

// Guards against a crowd of new connections to a host that is too busy to answer,
// which takes the time in which it would.
test("connections to a peer that does not answer get rarer", async (t) => {
  const { sockets } = await dialSlowPeer(t);
  await pass(60_000);
  await turns(50);
  assert.ok(sockets.length <= 10, `${sockets.length} connections in a minute`);
});

// Guards against the work for a link, such as whole lists of servers, for each of
// the connections that a peer gave up before this busy process had read its hello.
test("a connection that its opener has given up opens no link", async (t) => {
  const events: string[] = [];
  const network = new TcpNetwork<Record<string, unknown>>({
    self: hello("a"),
    clock: CLOCK,
    observer: {
      onConnect: ({ id }) => events.push(`up ${id}`),
      onDisconnect: ({ id }) => events.push(`down ${id}`),
    },
  });
  t.after(() => network.close());
  const listening = await network.listen({ host: "127.0.0.1", port: 0 });
  const address = listening._unsafeUnwrap();
  giveUpConnections(t, { ...address, hello: frame("hello", hello("gone")) });
  const socket = connect(address);
  t.after(() => socket.destroy());
  socket.write(frame("hello", hello("present")));
  await until(() => network.isConnected("present"));
  assert.deepEqual(events, ["up present"]);
});

// Guards against a crowd of new connections to a host that closes them, as it has too
// many.
test("connections to a peer that closes each get rarer", async (t) => {
  let connections = 0;
  mock.timers.enable({ apis: ["setTimeout"] });
  const server = createServer((socket) => {
    connections += 1;
    socket.on("error", () => undefined);
    socket.destroy();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const network = new TcpNetwork<Record<string, unknown>>({
    self: hello("client"),
    clock: CLOCK,
  });
  t.after(() => {
    network.close();
    mock.timers.reset();
    server.close();
  });
  network.setPeers([{ address: { host: "127.0.0.1", port } }]);
  await pass(60_000);
  assert.ok(connections <= 45, `${connections} connections in a minute`);
});

// Guards against a starting process that is never linked, as it says hello later than
// silence is allowed on a link.
for (const role of ["control", "entry"] as const) {
  test(`a hello that is 6 s late opens a link to ${role}`, async (t) => {
    mock.timers.enable({ apis: ["setInterval", "setTimeout"] });
    const clock = new ManualClock();
    const network = new TcpNetwork<Record<string, unknown>>({
      self: { ...hello("a"), role },
      clock,
    });
    t.after(() => {
      network.close();
      mock.timers.reset();
    });
    const listening = await network.listen({ host: "127.0.0.1", port: 0 });
    const socket = connect(listening._unsafeUnwrap());
    socket.on("error", () => undefined);
    t.after(() => socket.destroy());
    await once(socket, "data");
    for (let passed = 0; passed < 6_000; passed += STEP_MS) {
      clock.advance(STEP_MS);
      mock.timers.tick(STEP_MS);
      await turns(10);
    }
    socket.write(frame("hello", hello("late")));
    await until(() => network.isConnected("late"));
  });
}
