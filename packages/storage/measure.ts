/**
 * Benchmark of the replicated log with three members in one process, real files
 * and loopback TCP: `node --import tsx packages/storage/measure.ts`.
 *
 * @module
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import type { ConsensusMessages } from "#agreement";
import { SystemClock, SystemRandomness } from "#model";
import { PROTOCOL_VERSIONS, TcpNetwork } from "#wire";
import { FileStorage } from "./file_storage.ts";
import { openReplicatedLog } from "./replicated_log.ts";

const HOSTS = ["a", "b", "c"];
const COMMAND_COUNT = 10_000;
const IDLE_MS = 15_000;
const COMMAND = "x".repeat(200);

/** A trivial state machine, so that only the cost of the log is measured. */
class Counter {
  count = 0;

  apply(): number {
    return ++this.count;
  }

  snapshot(): Uint8Array {
    return Buffer.from(String(this.count));
  }

  restore(bytes: Uint8Array): void {
    this.count = Number(Buffer.from(bytes).toString());
  }
}

async function openMember(self: string, folder: string) {
  const clock = new SystemClock();
  const hello = { id: self, role: "control" as const, incarnation: 1 };
  const network = new TcpNetwork<ConsensusMessages>({
    self: { ...hello, cluster: "measure", version: PROTOCOL_VERSIONS.oldest },
    clock,
  });
  const listening = await network.listen({ host: "127.0.0.1", port: 0 });
  const opened = await openReplicatedLog({
    self,
    founders: HOSTS,
    network,
    storage: new FileStorage({ folder: join(folder, self) }),
    machine: new Counter(),
    clock,
    randomness: new SystemRandomness(),
    logger: console,
    limits: { snapshotEveryEntries: 2 * COMMAND_COUNT },
  });
  const log = opened._unsafeUnwrap();
  return { self, network, address: listening._unsafeUnwrap(), log };
}

type Member = Awaited<ReturnType<typeof openMember>>;

async function measureThroughput(
  leader: Member,
  concurrent: number,
  count: number,
) {
  let remaining = count;
  const start = performance.now();
  const worker = async () => {
    while (remaining-- > 0) (await leader.log.submit(COMMAND))._unsafeUnwrap();
  };
  await Promise.all(Array.from({ length: concurrent }, worker));
  const seconds = (performance.now() - start) / 1_000;
  const perSecond = Math.round(count / seconds);
  console.log(`${concurrent} concurrent: ${perSecond} proposals/s`);
}

async function measureIdle(members: readonly Member[]) {
  const bytes = () =>
    members.reduce((sum, { network }) => sum + network.traffic.sentBytes, 0);
  const bytesBefore = bytes();
  const cpuBefore = process.cpuUsage();
  await delay(IDLE_MS);
  const { user, system } = process.cpuUsage(cpuBefore);
  const seconds = IDLE_MS / 1_000;
  const percent = ((user + system) / 1e6 / seconds) * 100;
  const sent = Math.round((bytes() - bytesBefore) / seconds);
  console.log(`idle, all three: ${sent} bytes/s sent`);
  console.log(`idle, all three: ${percent.toFixed(2)}% of a core`);
}

async function measureRecovery(folder: string) {
  for (let round = 0; round < 3; round++) {
    const storage = new FileStorage({ folder: join(folder, "a") });
    const start = performance.now();
    const state = (await storage.load())._unsafeUnwrap();
    const ms = (performance.now() - start).toFixed(0);
    console.log(`recovery of ${state.entries.length} entries: ${ms} ms`);
    await storage.close();
  }
}

const folder = await mkdtemp(join(tmpdir(), "mangobank-"));
const members = await Promise.all(
  HOSTS.map((self) => openMember(self, folder)),
);
for (const { self, network } of members) {
  const others = members.filter((member) => member.self !== self);
  network.setPeers(others.map(({ self: id, address }) => ({ id, address })));
}
const leaderOf = () =>
  members.find(({ log }) => log.status().role === "leader");
while (!leaderOf()) await delay(50);
const leader = leaderOf() as Member;
await measureThroughput(leader, 1, 200);
await measureThroughput(leader, 100, COMMAND_COUNT - 200);
await measureIdle(members);
for (const { log, network } of members) {
  await log.close();
  network.close();
}
await measureRecovery(folder);
await rm(folder, { recursive: true });
