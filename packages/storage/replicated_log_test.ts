import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { mock, type TestContext, test } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import type { ConsensusMessages, ConsensusNetwork } from "#agreement";
import { ManualClock, SystemClock } from "#model";
import { PROTOCOL_VERSIONS, TcpNetwork } from "#wire";
import { FileStorage } from "./file_storage.ts";
import { MemoryDisk, MemoryStorage } from "./memory_storage.ts";
import { UnsyncedFileSystem } from "./test_file_system.ts";
import {
  InMemoryNetworkHub,
  openTestHost,
  type TestHost,
} from "./test_hosts.ts";

const FOUNDERS = ["a", "b", "c"];

/**
 * Starts three members with in-memory storage; the test closes them at its end.
 */
async function openCluster(t: TestContext) {
  const hub = new InMemoryNetworkHub();
  const networks = FOUNDERS.map((self) => hub.networkOf(self));
  const storages = FOUNDERS.map(
    (self) => new MemoryStorage(new MemoryDisk(`${self}1`)),
  );
  const hosts = await Promise.all(
    FOUNDERS.map((self, at) =>
      openTestHost({
        self,
        founders: FOUNDERS,
        network: networks[at] as ConsensusNetwork,
        storage: storages[at] as MemoryStorage,
      }),
    ),
  );
  t.after(() => Promise.all(hosts.map(({ log }) => log.close())));
  await waitUntil(
    () => hosts.every(({ log }) => log.status().leader),
    "a leader",
  );
  return { hub, hosts, networks, storages };
}

async function waitUntil(condition: () => unknown, what: string) {
  const deadline = Date.now() + 15_000;
  while (!condition()) {
    assert.ok(Date.now() < deadline, `no ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Lets deferred work run. */
async function turns(): Promise<void> {
  for (let i = 0; i < 10; i++) await turn();
}

const isLeader = ({ log }: TestHost) => log.status().role === "leader";

function leaderOf(hosts: readonly TestHost[]): TestHost {
  const leader = hosts.find(isLeader);
  assert.ok(leader);
  return leader;
}

// Failure: requests work only on the leader, because followers do not forward
// them.
test("every member takes commands and confirms reads", async (t) => {
  const { hosts } = await openCluster(t);
  for (const [at, { log }] of hosts.entries()) {
    assert.equal((await log.submit(`command-${at}`))._unsafeUnwrap(), at + 1);
  }
  for (const { log, machine } of hosts) {
    assert.ok((await log.confirmRead()).isOk());
    assert.deepEqual(machine.commands, ["command-0", "command-1", "command-2"]);
  }
});

// Failure: a partitioned leader accepts commands or confirms reads, or the
// majority elects no new leader.
test("a partitioned member fails with no_quorum, the others go on", async (t) => {
  const { hub, hosts } = await openCluster(t);
  const leader = leaderOf(hosts);
  const rest = hosts.filter((host) => host !== leader);
  const isolatedHost = FOUNDERS[hosts.indexOf(leader)] ?? "";
  hub.isolate(isolatedHost);
  await waitUntil(() => rest.some(isLeader), "new leader");
  const late = leader.log.submit("late");
  const read = leader.log.confirmRead();
  assert.ok((await rest[0]?.log.submit("command"))?.isOk());
  assert.equal((await late)._unsafeUnwrapErr().type, "no_quorum");
  assert.equal((await read)._unsafeUnwrapErr().type, "no_quorum");
});

// Failure: a follower acknowledges an entry before it is synced, so that a
// crash loses a committed entry.
test("a member acknowledges only entries that are synced", async (t) => {
  const early: string[] = [];
  let acknowledged = 0;
  const { hosts, networks, storages } = await openCluster(t);
  for (const [at, network] of networks.entries()) {
    const { send } = network;
    const storage = storages[at] as MemoryStorage;
    const write = storage.write.bind(storage);
    network.send = (to, kind, payload) => {
      if (kind === "agreement.append_reply" && "match" in payload) {
        const held = storage.disk.state().entries.length;
        if (held < payload.match) early.push(`${at}: ${payload.match}`);
        acknowledged = Math.max(acknowledged, payload.match);
      }
      return send(to, kind, payload);
    };
    storage.write = async (writes) => {
      await new Promise((resolve) => setTimeout(resolve, 50));
      return write(writes);
    };
  }
  for (const { log } of hosts) assert.ok((await log.submit("x")).isOk());
  assert.deepEqual(early, []);
  assert.ok(acknowledged >= 4, "three commands after the membership entry");
});

// Failure: a member keeps running after its disk has failed.
test("a failed write stops the member and settles its requests", async (t) => {
  const { hosts, storages } = await openCluster(t);
  const leader = leaderOf(hosts);
  const storage = storages[hosts.indexOf(leader)] as MemoryStorage;
  const fault = { operation: "write", code: "ENOSPC", detail: "full" };
  storage.failure = { type: "write_failed", ...fault };
  const submitted = await leader.log.submit("command");
  assert.equal(submitted._unsafeUnwrapErr().type, "result_unknown");
  assert.deepEqual(await leader.log.stopped, storage.failure);
  const closed = await leader.log.submit("command");
  assert.equal(closed._unsafeUnwrapErr().type, "closed");
  const rest = hosts.filter((host) => host !== leader);
  await waitUntil(() => rest.some(isLeader), "new leader");
  assert.ok((await rest[0]?.log.submit("other"))?.isOk());
});

/** Starts a member with real files and a TCP network on loopback. */
async function openTcpHost(self: string, folder: string) {
  const identity = { id: self, role: "control" as const, incarnation: 1 };
  const network = new TcpNetwork<ConsensusMessages>({
    self: { ...identity, cluster: "test", version: PROTOCOL_VERSIONS.oldest },
    clock: new SystemClock(),
  });
  const listening = await network.listen({ host: "127.0.0.1", port: 0 });
  const address = listening._unsafeUnwrap();
  const storage = new FileStorage({
    folder: join(folder, self),
    fileSystem: new UnsyncedFileSystem(),
  });
  const host = await openTestHost({
    self,
    founders: FOUNDERS,
    network,
    storage,
  });
  const close = async () => {
    await host.log.close();
    network.close();
  };
  return { self, network, address, close, ...host };
}

async function openTcpCluster(folder: string) {
  const hosts = await Promise.all(
    FOUNDERS.map((self) => openTcpHost(self, folder)),
  );
  const close = () => Promise.all(hosts.map((host) => host.close()));
  for (const { self, network } of hosts) {
    const others = hosts.filter((other) => other.self !== self);
    network.setPeers(others.map(({ self: id, address }) => ({ id, address })));
  }
  return { hosts, close };
}

// Failure: something that works in the simulation fails over TCP and with real
// files, such as a restart or an entry of nearly the size of a frame.
test("members over TCP restart, and a lost member is replaced", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "mangobank-"));
  const { hosts, close } = await openTcpCluster(folder);
  const opened = [close];
  t.after(async () => {
    for (const closeAll of opened) await closeAll();
    await rm(folder, { recursive: true });
  });
  await waitUntil(
    () => hosts.every(({ log }) => log.status().leader),
    "leader",
  );
  for (let count = 0; count < 20; count++) {
    assert.ok((await hosts[count % 3]?.log.submit(`${count}`))?.isOk());
  }
  const largest = "x".repeat(700 * 1024);
  const follower = hosts.find(({ log }) => log.status().role !== "leader");
  assert.ok((await follower?.log.submit(largest))?.isOk(), "fits into a frame");
  const tooLarge = await follower?.log.submit(`${largest}${largest}`);
  assert.equal(tooLarge?._unsafeUnwrapErr().type, "command_too_large");
  await close();
  await rm(join(folder, "c"), { recursive: true });
  const again = await openTcpCluster(folder);
  opened.push(again.close);
  const [first, , lost] = again.hosts;
  assert.ok(first && lost);
  await waitUntil(() => first.log.status().leader, "leader");
  await waitUntil(() => lost.log.status().phase === "empty", "empty folder");
  await waitUntil(
    () => first.log.status().announced.length > 0,
    "announcement",
  );
  const replaced = await first.log.replaceMember("c");
  assert.ok(replaced.isOk(), JSON.stringify(replaced));
  assert.ok((await lost.log.confirmRead()).isOk());
  assert.equal(lost.machine.commands.length, 21);
  const { voters } = lost.log.status().membership;
  assert.ok(voters.includes(lost.log.status().self));
  assert.equal(voters.length, 3);
});

// Failure: while a disk stalls, pending requests use memory without a limit.
test("requests above the limit of pending ones fail at once", async (t) => {
  const { hub, hosts } = await openCluster(t);
  for (const host of FOUNDERS) hub.isolate(host);
  const { log } = leaderOf(hosts);
  const pending = Array.from({ length: 2_000 }, () => log.submit("command"));
  const refused = await Promise.race([log.submit("one more"), ...pending]);
  assert.equal(refused._unsafeUnwrapErr().type, "no_quorum");
  await Promise.all(pending);
});

// Failure: a member gives a vote that could not be written, and another one in the
// same term once it is opened again.
test("a vote that cannot be written is not given", async (t) => {
  const disk = new MemoryDisk("1");
  const members = ["a/1", "b/1", "c/1"];
  const binding = { cluster: "k", convener: "a/1", attempt: 1, members };
  disk.stage([{ type: "founding", founding: { ...binding, formed: true } }]);
  disk.sync();
  for (const isFull of [true, false]) {
    const granted: boolean[] = [];
    const handlers = new Map<
      string,
      (payload: unknown, from: object) => void
    >();
    const network = {
      send: (_to: string, kind: string, payload: object) => {
        if (kind === "agreement.vote_reply" && "granted" in payload)
          granted.push(payload.granted === true);
        return true;
      },
      handle: (kind: string, handler: never) => handlers.set(kind, handler),
    } as unknown as ConsensusNetwork;
    const storage = new MemoryStorage(disk);
    if (isFull) {
      const fault = { operation: "write", code: "ENOSPC", detail: "full" };
      storage.failure = { type: "write_failed", ...fault };
    }
    const founders = FOUNDERS;
    const { log } = await openTestHost({
      self: "a",
      founders,
      network,
      storage,
    });
    t.after(() => log.close());
    const from = isFull ? "b" : "c";
    const header = { cluster: "k", from: `${from}/1`, to: "a/1", term: 7 };
    const request = { ...header, candidateTerm: 7, lastIndex: 0, lastTerm: 0 };
    handlers.get("agreement.vote")?.(request, { id: from });
    if (isFull) {
      assert.equal((await log.stopped)?.type, "write_failed");
      assert.deepEqual(granted, []);
      assert.equal(disk.state().term, 0);
    } else {
      await waitUntil(() => granted.length > 0, "vote");
      assert.deepEqual(granted, [true]);
      assert.deepEqual([disk.state().term, disk.state().vote], [7, "c/1"]);
    }
  }
});

// Failure: after a stall of its process, a follower starts an election before it reads
// what the leader has sent meanwhile.
test("a message that waits to be read counts before an election", async (t) => {
  mock.timers.enable({ apis: ["setInterval"] });
  t.after(() => mock.timers.reset());
  const sent: string[] = [];
  const handlers = new Map<string, (payload: unknown) => void>();
  const network: ConsensusNetwork = {
    send: (_, kind) => {
      sent.push(kind);
      return true;
    },
    handle: (kind, handler) => {
      const from = { id: "b" };
      handlers.set(kind, (payload) => handler(payload as never, from));
    },
  };
  const clock = new ManualClock();
  const cluster = "k";
  const members = ["a/a1", "b/b1", "c/c1"];
  const disk = new MemoryDisk("a1");
  const storage = new MemoryStorage(disk);
  await storage.load();
  await storage.write([
    {
      type: "founding",
      founding: {
        ...{ cluster, convener: "a/a1", attempt: 1, members, formed: true },
      },
    },
  ]);
  const { log } = await openTestHost({
    ...{ self: "a", founders: FOUNDERS, network, storage, clock },
  });
  t.after(() => log.close());
  const append = () =>
    handlers.get("agreement.append")?.({
      ...{ cluster, from: "b/b1", to: "a/a1", term: 1, round: 1 },
      ...{ previousIndex: 0, previousTerm: 0, entries: [], commit: 0 },
    });
  append();
  await turns();
  clock.advance(5_000);
  mock.timers.tick(100);
  append();
  await turns();
  assert.equal(log.status().leader, "b/b1");
  assert.equal(sent.includes("agreement.pre_vote"), false);
});
