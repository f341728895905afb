import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { mock, type TestContext, test } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import { encodeFrame } from "./frames.ts";
import type { Hello } from "./messages.ts";
import { TcpNetwork } from "./network.ts";
import { PROTOCOL_VERSIONS } from "./protocol_versions.ts";

const CLOCK = { now: () => 1_000, wallTime: () => 1_000 };
/** Real time after which an event of a socket has not happened. */
const EVENT_TIMEOUT_MS = 5_000;
/** Time that the slow peer takes to answer a new connection. */
const ANSWER_MS = 3_000;
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

/** A network on mocked timers that opens a link to a peer that does not answer. */
async function dialSilentPeer(t: TestContext) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.resume();
    sockets.push(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  mock.timers.enable({ apis: ["setTimeout"] });
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

// Guards against hosts that never link again after all have started at once: each
// answers only after the others have given its connections up and opened new ones.
test("a peer that is slow to answer is linked in the end", async (t) => {
  const { network, sockets } = await dialSilentPeer(t);
  for (let attempt = 0; attempt < 4; attempt++) {
    const socket = sockets.at(-1);
    await pass(ANSWER_MS);
    if (socket && !socket.destroyed) socket.write(frame("hello", hello("b")));
    await turns(50);
    if (network.isConnected("b")) return;
    const count = sockets.length;
    if (socket?.destroyed) {
      await until(() => sockets.at(-1) !== socket || sockets.length > count);
    }
  }
  assert.fail(`not linked after ${sockets.length} connections`);
});

// Guards against a crowd of new connections to a host that is too busy to answer,
// which takes the time in which it would.
test("connections to a peer that does not answer get rarer", async (t) => {
  const { sockets } = await dialSilentPeer(t);
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
  for (let i = 0; i < 5; i++) {
    const socket = connect(address);
    socket.on("error", () => undefined);
    socket.resume();
    socket.end(frame("hello", hello("gone")));
    await once(socket, "close");
  }
  const socket = connect(address);
  t.after(() => socket.destroy());
  socket.write(frame("hello", hello("present")));
  await until(() => network.isConnected("present"));
  assert.deepEqual(events, ["up present"]);
});
