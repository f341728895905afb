import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { mock, type TestContext, test } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import type { Clock } from "#model";
import { encodeFrame } from "./frames.ts";
import type { LinkFault } from "./link.ts";
import type { Hello } from "./messages.ts";
import { TcpNetwork } from "./network.ts";
import { PROTOCOL_VERSIONS } from "./protocol_versions.ts";

/** Real time after which a message that has not arrived counts as lost. */
const RECEIVE_TIMEOUT_MS = 2_000;
/** Longer than every timeout of a link. */
const STALL_MS = 10_000;

class ManualClock implements Clock {
  #now = 1_000;

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  advance(ms: number): void {
    this.#now += ms;
  }
}

function hello(id: string): Hello {
  return {
    id,
    role: "entry",
    incarnation: 1,
    cluster: "test",
    version: PROTOCOL_VERSIONS.oldest,
  };
}

/** A hello of a build that speaks these versions. */
function helloOf(version: number, newestVersion: number): Hello {
  return { ...hello("peer"), version, newestVersion };
}

function frame(kind: string, payload: unknown): Buffer {
  return encodeFrame(kind, payload)._unsafeUnwrap();
}

/** A network on the mocked timers, and a plain socket connected to it. */
async function startNetwork(
  t: TestContext,
  self: Hello = hello("stalled"),
): Promise<{
  clock: ManualClock;
  network: TcpNetwork<Record<string, unknown>>;
  socket: Socket;
  faults: LinkFault["type"][];
}> {
  const clock = new ManualClock();
  const faults: LinkFault["type"][] = [];
  mock.timers.enable({ apis: ["setInterval", "setTimeout"] });
  const network = new TcpNetwork<Record<string, unknown>>({
    self,
    clock,
    observer: { onFault: ({ type }) => faults.push(type) },
  });
  const address = (
    await network.listen({ host: "127.0.0.1", port: 0 })
  )._unsafeUnwrap();
  const socket = connect(address);
  socket.on("error", () => undefined);
  await once(socket, "connect");
  // The hello of the network shows that it has accepted the connection.
  await once(socket, "data");
  // Leaves the poll phase of the event loop, in which no timer would fire.
  await turn();
  t.after(() => {
    network.close();
    socket.destroy();
    mock.timers.reset();
  });
  return { clock, network, socket, faults };
}

async function turns(count: number): Promise<void> {
  for (let i = 0; i < count; i++) await turn();
}

/** Lets the timers that fell due in a stall fire before any pending input. */
function stall(clock: ManualClock): void {
  clock.advance(STALL_MS);
  mock.timers.tick(STALL_MS);
}

// Guards against a stalled process closing links whose messages wait in the
// buffers of its sockets: timers fire before input is read.
test("a stalled process reads pending messages before it judges a link", async (t) => {
  const { clock, network, socket, faults } = await startNetwork(t);
  socket.write(frame("hello", hello("peer")));
  await turns(5);
  assert.ok(network.isConnected("peer"));
  socket.write(frame("ping", null));
  stall(clock);
  await turns(5);
  assert.deepEqual(faults, []);
  assert.ok(network.isConnected("peer"));
  clock.advance(STALL_MS);
  mock.timers.tick(STALL_MS);
  await turns(5);
  assert.deepEqual(faults, ["link_silent"], "a silent link is still closed");
});

// Guards against links that never open on an overloaded host, where a turn of
// the event loop takes longer than the timeout of the hello.
test("a hello that arrived during a stall opens the link", async (t) => {
  const { clock, network, socket, faults } = await startNetwork(t);
  socket.write(frame("hello", hello("peer")));
  stall(clock);
  await turns(5);
  assert.deepEqual(faults, []);
  assert.ok(network.isConnected("peer"));
});

// Guards against messages to a peer that go on the connection that it has given
// up, while that one is not known to be dead.
test("messages go to the connection that a peer has opened last", async (t) => {
  const { network, socket: former } = await startNetwork(t);
  const number = (value: number) => ({ channel: 1, number: value });
  former.write(frame("hello", { ...hello("peer"), connection: number(1) }));
  await turns(5);
  const { localAddress, remotePort } = former;
  const latest = connect({ host: localAddress, port: remotePort ?? 0 });
  t.after(() => latest.destroy());
  await once(latest, "connect");
  const closed = once(former, "close", {
    signal: AbortSignal.timeout(RECEIVE_TIMEOUT_MS),
  });
  latest.write(frame("hello", { ...hello("peer"), connection: number(2) }));
  await once(latest, "data");
  await closed;
  assert.ok(network.send("peer", "news", 1));
  const [received] = await once(latest, "data", {
    signal: AbortSignal.timeout(RECEIVE_TIMEOUT_MS),
  });
  assert.ok((received as Buffer).length > 0);
});

// Guards against a working connection that is closed for one that its peer had
// given up, whose hello was held up on the way.
test("a delayed hello of a former connection replaces no later one", async (t) => {
  const { network, socket: former } = await startNetwork(t);
  const { localAddress, remotePort } = former;
  const latest = connect({ host: localAddress, port: remotePort ?? 0 });
  t.after(() => latest.destroy());
  await once(latest, "connect");
  latest.write(
    frame("hello", { ...hello("peer"), connection: { channel: 1, number: 2 } }),
  );
  await once(latest, "data");
  await turns(5);
  const closed = once(former, "close", {
    signal: AbortSignal.timeout(RECEIVE_TIMEOUT_MS),
  });
  former.write(
    frame("hello", { ...hello("peer"), connection: { channel: 1, number: 1 } }),
  );
  await closed;
  assert.ok(network.send("peer", "news", 1));
  await once(latest, "data", {
    signal: AbortSignal.timeout(RECEIVE_TIMEOUT_MS),
  });
});

/**
 * A network with a link that it has opened to a peer, which takes as many
 * connections as are allowed and closes the others.
 */
async function openLink(t: TestContext, options: { connections: number }) {
  const events: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    if (sockets.length === options.connections) {
      socket.destroy();
      events.push("rejected");
      return;
    }
    sockets.push(socket);
    socket.write(frame("hello", hello("server")));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const network = new TcpNetwork<Record<string, unknown>>({
    self: hello("client"),
    clock: new ManualClock(),
    observer: {
      onConnect: () => events.push("up"),
      onDisconnect: () => events.push("down"),
      onFault: ({ type }) => events.push(type),
    },
  });
  t.after(() => {
    network.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { port } = server.address() as AddressInfo;
  network.setPeers([{ address: { host: "127.0.0.1", port } }]);
  await until(() => network.isConnected("server"));
  return { network, events, sockets };
}

/** Waits in real time, as sockets are real. */
async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + RECEIVE_TIMEOUT_MS;
  while (!condition()) {
    assert.ok(performance.now() < end, "timed out");
    await turn();
  }
}

/** Waits until a message of a kind has arrived. */
async function receives(socket: Socket, kind: string): Promise<void> {
  let text = "";
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString("latin1");
  });
  await until(() => text.includes(kind));
}

// Guards against a dead link that is used until it is found by its silence,
// although its user knows that it doesn't answer.
test("a renewed link replaces the former one and counts as a reconnection", async (t) => {
  const { network, events, sockets } = await openLink(t, { connections: 9 });
  network.renewLink("server");
  network.renewLink("server");
  await until(() => events.length === 4);
  assert.deepEqual(events, ["up", "link_replaced", "down", "up"]);
  const [, latest] = sockets;
  assert.ok(latest);
  assert.ok(network.send("server", "news", 1));
  await receives(latest, "news");
  assert.equal(sockets.length, 2);
});

// Guards against giving up a link that is only slow, with all that is on its way
// on it.
test("a link stays if data arrives on it before its renewal is connected", async (t) => {
  const { network, events, sockets } = await openLink(t, { connections: 9 });
  sockets[0]?.write(frame("ping", null));
  network.renewLink("server");
  await until(() => sockets.length === 2);
  await turns(50);
  assert.deepEqual(events, ["up"]);
  assert.ok(network.send("server", "news", 1));
  assert.ok(sockets[0]);
  await receives(sockets[0], "news");
});

// Guards against giving up a link that works for one that can't be opened.
test("a link stays if its renewal fails", async (t) => {
  const { network, events, sockets } = await openLink(t, { connections: 1 });
  network.renewLink("server");
  await until(() => events.includes("rejected"));
  await turns(20);
  assert.equal(events.includes("down"), false);
  const [former] = sockets;
  assert.ok(former);
  assert.ok(network.send("server", "news", 1));
  await receives(former, "news");
});

// Guards against messages on a dead link to a peer that has opened one itself, as
// control hosts do in both directions.
test("messages take the newest of two links that both ends have opened", async (t) => {
  const { network, events } = await openLink(t, { connections: 1 });
  const address = await network.listen({ host: "127.0.0.1", port: 0 });
  const latest = connect(address._unsafeUnwrap());
  t.after(() => latest.destroy());
  await once(latest, "connect");
  latest.write(
    frame("hello", {
      ...hello("server"),
      connection: { channel: 1, number: 1 },
    }),
  );
  await once(latest, "data");
  await turns(20);
  assert.ok(network.send("server", "news", 1));
  await receives(latest, "news");
  assert.deepEqual(events, ["up"], "both links stay");
});

// Guards against two links that close each other again and again, where a host is
// configured under two addresses.
test("connections of different channels stay beside each other", async (t) => {
  const { network, socket: first } = await startNetwork(t);
  const helloOn = (channel: number) =>
    frame("hello", { ...hello("peer"), connection: { channel, number: 1 } });
  first.write(helloOn(1));
  await turns(5);
  const { localAddress, remotePort } = first;
  const second = connect({ host: localAddress, port: remotePort ?? 0 });
  t.after(() => second.destroy());
  await once(second, "connect");
  second.write(helloOn(2));
  await once(second, "data");
  await turns(20);
  assert.ok(network.send("peer", "news", 1));
  await receives(second, "news");
  second.destroy();
  await turns(50);
  assert.ok(network.send("peer", "news", 2));
  await receives(first, "news");
});

// Guards against hosts of two builds that refuse each other's connections while
// they are upgraded one after the other.
test("a link opens if both ends speak a version in common", async (t) => {
  const { network, socket } = await startNetwork(t, helloOf(1, 2));
  socket.write(frame("hello", helloOf(2, 4)));
  await turns(5);
  assert.ok(network.isConnected("peer"));
});

test("a link is refused if no version is common", async (t) => {
  const { network, socket, faults } = await startNetwork(t, helloOf(1, 2));
  socket.write(frame("hello", helloOf(3, 4)));
  await turns(5);
  assert.ok(!network.isConnected("peer"));
  assert.deepEqual(faults, ["hello_refused"]);
});

// Guards against two processes that reconnect and fail for ever, and lose all other
// messages between them, because one of their messages can't be handled.
test("a message that can't be handled has no effect on the ones after it", async (t) => {
  const { network, socket, faults } = await startNetwork(t);
  const received: unknown[] = [];
  network.handle("news", (payload) => {
    if (payload === "odd") throw new Error("cannot be handled");
    received.push(payload);
  });
  socket.write(frame("hello", hello("peer")));
  socket.write(frame("news", "odd"));
  socket.write(frame("news", "sound"));
  await turns(5);
  assert.deepEqual(received, ["sound"]);
  assert.deepEqual(faults, []);
  assert.equal(network.traffic.refusedByKind.get("news"), 1);
});

// Guards against processes that end by themselves: Node throws on an address that it
// can't connect to, and one that an older build has accepted may be in the log.
for (const address of [
  { host: "127.0.0.1", port: 70_000 },
  { host: "127.0.0.1", port: Number.NaN },
  { host: 7 as unknown as string, port: 1 },
]) {
  test(`a peer at ${address.host}:${address.port} stays unconnected`, async (t) => {
    const { network } = await startNetwork(t);
    network.setPeers([{ id: "odd", address }]);
    await turns(5);
    assert.equal(network.isConnected("odd"), false);
  });
}

// Guards against a process that is known with values that no other one can use: the
// heartbeats of its incarnation go to all control hosts.
for (const odd of [
  { incarnation: Number.NaN },
  { incarnation: 2 ** 53 },
  { id: "" },
  { connection: { channel: "1", number: 1 } },
  { connection: null },
]) {
  test(`a hello with ${JSON.stringify(odd)} opens no link`, async (t) => {
    const { network, socket, faults } = await startNetwork(t);
    socket.write(frame("hello", { ...hello("peer"), ...odd }));
    await turns(5);
    assert.deepEqual(network.connected(), []);
    assert.deepEqual(faults, ["hello_missing"]);
  });
}

// Guards against an address that another process hands on and that ends this one.
test("a peer whose port cannot be used ends nothing", async (t) => {
  const clock = new ManualClock();
  const network = new TcpNetwork({ self: hello("a"), clock });
  t.after(() => network.close());
  const address = { host: "127.0.0.1", port: 70_000 };
  assert.doesNotThrow(() => network.setPeers([{ id: "b", address }]));
  await turn();
});

for (const event of ["onConnect", "onDisconnect"] as const) {
  // Guards against a peer whose arrival or end throws and ends this process.
  test(`${event} that throws is reported, and later peers connect`, async (t) => {
    const failures: string[] = [];
    const clock = new ManualClock();
    const network = new TcpNetwork({
      self: hello("a"),
      clock,
      observer: {
        [event]: () => {
          throw new TypeError("planted");
        },
        onFailure: (task: string) => failures.push(task),
      },
    });
    t.after(() => network.close());
    const listening = await network.listen({ host: "127.0.0.1", port: 0 });
    const { port } = listening._unsafeUnwrap();
    for (const id of ["b", "c"]) {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => undefined);
      socket.write(frame("hello", hello(id)));
      if (event === "onDisconnect") {
        // The end of a connection before its hello is read opens no link.
        await until(() => network.isConnected(id));
        socket.destroy();
      }
      const end = performance.now() + RECEIVE_TIMEOUT_MS;
      const wanted = id === "b" ? 1 : 2;
      while (failures.length < wanted && performance.now() < end) await turn();
      socket.destroy();
    }
    assert.deepEqual(failures, [event, event]);
  });
}
