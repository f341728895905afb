import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import type { BackendServer, Clock } from "#model";
import type { QuarantineMessages } from "#quarantine";
import type { Logger } from "#telemetry";
import type { Hello, Network } from "#wire";
import { stall } from "../demo/stall.ts";
import { until } from "../demo/until.ts";
import { QuarantineCoordinator } from "./quarantine_coordinator.ts";
import { serverRecord } from "./test_server_record.ts";

let now = 1_000;
const clock: Clock = { now: () => now, wallTime: () => now };
const network: Network<QuarantineMessages> = {
  send: () => true,
  broadcast: () => undefined,
  handle: () => undefined,
};
const logger = { warn: () => undefined } as unknown as Logger;

function createCoordinator(
  options: { network?: Network<QuarantineMessages>; isCutOff?: boolean } = {},
): QuarantineCoordinator {
  const { isCutOff = false } = options;
  return new QuarantineCoordinator({
    self: "entry-1",
    clock,
    logger,
    network: options.network ?? network,
    isCutOff: () => Promise.resolve(isCutOff),
  });
}

function backendServer(id: string, port: number): BackendServer {
  return serverRecord(port, { id, slots: 2, connections: 10 });
}

/** A listening port, which still accepts connections until it is closed. */
async function listeningPort() {
  const remotePorts: (number | undefined)[] = [];
  const listener = createServer((socket) => {
    remotePorts.push(socket.remotePort);
    socket.destroy();
  });
  listener.listen(0, "127.0.0.1");
  await once(listener, "listening");
  const { port } = listener.address() as AddressInfo;
  const close = async () => {
    listener.close();
    await once(listener, "close");
  };
  /** Number of connections until now, in the order in which they are accepted. */
  const accepted = async () => {
    const last = connect(port, "127.0.0.1");
    await once(last, "connect");
    const { localPort } = last;
    await until(() => remotePorts.includes(localPort), { what: "the last" });
    last.destroy();
    return remotePorts.indexOf(localPort);
  };
  return { port, close, accepted };
}

async function interruptRun(
  coordinator: QuarantineCoordinator,
  options: { id: string; attemptId: string; stalls?: boolean },
): Promise<void> {
  const { id, attemptId, stalls = false } = options;
  const { port, close } = await listeningPort();
  const server = backendServer(id, port);
  await coordinator.admit("poison", attemptId);
  coordinator.started(attemptId, server);
  const run = { fingerprint: "poison", startedAt: now };
  now += 100;
  const checked = coordinator.connectionLost(server, run);
  // Longer than the check of a server takes.
  if (stalls) stall(150);
  await checked;
  coordinator.finished(attemptId, "ended");
  await close();
}

// Guards against a poison request that crashes one server after another because
// each still accepts a connection while its process ends.
test("a request that interrupted two crashed servers is quarantined", async () => {
  const coordinator = createCoordinator();
  await interruptRun(coordinator, { id: "a", attemptId: "call" });
  const second = await coordinator.admit("poison", "call.2");
  assert.equal(second.type, "isolate");
  coordinator.finished("call.2", "ended");
  await interruptRun(coordinator, { id: "b", attemptId: "call.3" });
  const next = await coordinator.admit("poison", "call.4");
  assert.equal(next.type, "quarantined");
});

// Guards against a server that counts as crashed because the entry stalled while
// it checked whether the server accepts connections.
test("a stall of the entry does not make a server count as lost", async () => {
  const coordinator = createCoordinator();
  const options = { id: "a", attemptId: "call", stalls: true };
  await interruptRun(coordinator, options);
  const admission = coordinator.admit("poison", "call.2");
  coordinator.finished("call.2", "ended");
  assert.equal((await admission).type, "rejected");
});

// Guards against an ended call that keeps others waiting for its isolated run.
test("an attempt that ends during the check holds no isolated run", async () => {
  const coordinator = createCoordinator();
  await interruptRun(coordinator, { id: "a", attemptId: "call" });
  const admission = coordinator.admit("poison", "call.2");
  coordinator.finished("call.2", "ended");
  assert.equal((await admission).type, "rejected");
  assert.equal((await coordinator.admit("poison", "other")).type, "isolate");
});

// Guards against a connection to each such server for each of many equal requests: an
// entry held 3,190 descriptors, and the servers got 1,500 connections a second.
test("many attempts at once open few connections to a server that interrupted them", async () => {
  const coordinator = createCoordinator();
  const { port, close, accepted } = await listeningPort();
  const server = backendServer("a", port);
  const run = { fingerprint: "popular", startedAt: now };
  await coordinator.connectionLost(server, run);
  const attempts = Array.from({ length: 200 }, (_, index) => `call-${index}`);
  const admissions = attempts.map((id) => coordinator.admit("popular", id));
  const losses = attempts.map(() => coordinator.connectionLost(server, run));
  await Promise.all([...admissions, ...losses]);
  const connections = await accepted();
  await close();
  assert.ok(connections <= 5, `${connections} connections`);
});

/** A network with one peer that reaches all servers. */
function networkWithPeer(): Network<QuarantineMessages> {
  type Handler = (payload: never, from: Hello) => void;
  const handlers = new Map<string, Handler>();
  const peer = { id: "entry-2" } as Hello;
  const handle: Network<QuarantineMessages>["handle"] = (kind, handler) => {
    handlers.set(kind, handler as Handler);
  };
  const send: Network<QuarantineMessages>["send"] = (_to, kind, payload) => {
    if (kind === "quarantine.sync") {
      handlers.get("quarantine.synced")?.(payload as never, peer);
    }
    if (kind === "quarantine.check") {
      const { question } = payload as QuarantineMessages["quarantine.check"];
      const reply = { question, isReached: true };
      setImmediate(() =>
        handlers.get("quarantine.checked")?.(reply as never, peer),
      );
    }
    return true;
  };
  return { send, handle, broadcast: () => undefined };
}

/** Interrupts the same request at two servers that this entry does not reach. */
async function interruptTwice(coordinator: QuarantineCoordinator) {
  await interruptRun(coordinator, { id: "a", attemptId: "call" });
  await coordinator.admit("poison", "call.2");
  coordinator.finished("call.2", "ended");
  await interruptRun(coordinator, { id: "b", attemptId: "call.3" });
  return coordinator.admit("poison", "call.4");
}

// Guards against a request in quarantine because a cut broke off its runs (issue
// 35): other entries reach the servers.
test("a server that another entry reaches is not lost", async () => {
  const coordinator = createCoordinator({ network: networkWithPeer() });
  coordinator.peerUp("entry-2");
  assert.equal((await interruptTwice(coordinator)).type, "run");
});

test("a server that an entry without any path does not reach is not lost", async () => {
  const coordinator = createCoordinator({ isCutOff: true });
  assert.equal((await interruptTwice(coordinator)).type, "run");
});
