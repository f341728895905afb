import { fork } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { v7 as uuidv7 } from "uuid";
import { type Address, HEADERS } from "#model";
import { bundlePrograms } from "../demo/bundle.ts";
import { exchange } from "../demo/caller.ts";
import { SiteProcesses } from "../demo/site_processes.ts";
import { StandinHandle } from "../demo/standin_handle.ts";
import { until } from "../demo/until.ts";

const CALLS_PER_S = 1_500;
const ROUND_S = 4;
const ROUNDS = 3;
const RELAY_ADDRESS: Address = { host: "127.0.0.1", port: 21_990 };
/** Clock ticks per second in `/proc/PID/stat`. */
const TICKS_PER_S = 100;

/** A process that is measured. */
interface Target {
  readonly name: string;
  readonly address: Address;
  readonly pid: number;
  readonly keyed: boolean;
}

interface Round {
  readonly calls: number;
  readonly failed: number;
  readonly cpuMs: number;
  readonly latencyUs: Histogram;
}

/** Measures an entry and a bare relay alternately, at the same call rate. */
export async function compareWithRelay(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "mangobank-bench-"));
  const programs = await bundlePrograms(folder, {
    mangobank: "packages/cli/main.ts",
    standin: "packages/demo/standin_process.ts",
    relay: "packages/bench/bare_relay.ts",
  });
  const site = new SiteProcesses({
    example: "examples/daugava",
    folder: join(folder, "site"),
    command: [process.execPath, programs.mangobank],
    entries: Number(process.env.BENCH_ENTRIES ?? 3),
  });
  const standins = new StandinHandle(programs.standin, {
    service: "alloc",
    dataCentres: ["riga-a"],
    count: 12,
    slots: 6,
    connections: 300,
    serviceMs: 1,
    entries: site.seeds,
  });
  const [entry] = site.entries;
  if (!entry) throw new Error("the example has no entry");
  try {
    await site.start();
    await standins.start();
    const servers = await serverAddresses(site);
    const relay = fork(
      programs.relay,
      [String(RELAY_ADDRESS.port), ...servers],
      {
        stdio: ["ignore", "ignore", "inherit", "ipc"],
      },
    );
    await new Promise((resolve) => relay.once("message", resolve));
    const entryPid = site.pid(entry.id) ?? 0;
    await compareTargets([
      {
        name: "bare relay",
        address: RELAY_ADDRESS,
        pid: relay.pid ?? 0,
        keyed: false,
      },
      { name: "entry", address: entry.http, pid: entryPid, keyed: false },
      { name: "entry, keyed", address: entry.http, pid: entryPid, keyed: true },
    ]);
    relay.kill("SIGKILL");
  } finally {
    standins.close();
    await site.close();
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Waits until all servers are registered and returns their addresses. */
async function serverAddresses(site: SiteProcesses): Promise<string[]> {
  const operator = site.operator("system");
  let addresses: string[] = [];
  await until(
    async () => {
      const read = await operator.read(["servers"]);
      if (read.isErr()) return false;
      const { servers } = read.value as {
        servers: { address: Address }[];
      };
      addresses = servers.map(
        ({ address }) => `${address.host}:${address.port}`,
      );
      return addresses.length === 12;
    },
    { what: "12 servers are registered" },
  );
  return addresses;
}

async function compareTargets(targets: readonly Target[]): Promise<void> {
  const results = new Map<string, Round[]>();
  for (const target of targets) await runRound(target, 1);
  for (let round = 0; round < ROUNDS; round++) {
    for (const target of targets) {
      const rounds = results.get(target.name) ?? [];
      rounds.push(await runRound(target, ROUND_S));
      results.set(target.name, rounds);
    }
  }
  console.log(
    `${CALLS_PER_S} calls/s, ${ROUNDS} rounds of ${ROUND_S} s in turn, servers 1 ms`,
  );
  const relayCpuMs = medianCpuMsPerCall(results.get("bare relay") ?? []);
  for (const [name, rounds] of results) {
    const cpuMsPerCall = medianCpuMsPerCall(rounds);
    const percentileMs = (percentile: number) =>
      median(
        rounds.map(
          (round) => round.latencyUs.getValueAtPercentile(percentile) / 1_000,
        ),
      );
    const failed = rounds.reduce((sum, round) => sum + round.failed, 0);
    console.log(
      `${name.padEnd(14)} CPU ${cpuMsPerCall.toFixed(3)} ms/call ` +
        `(${(cpuMsPerCall / relayCpuMs).toFixed(2)}x)  p50 ${percentileMs(50).toFixed(2)} ms  ` +
        `p99 ${percentileMs(99).toFixed(2)} ms  failed ${failed}`,
    );
  }
}

function medianCpuMsPerCall(rounds: readonly Round[]): number {
  return median(rounds.map(({ cpuMs, calls }) => cpuMs / calls));
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

async function runRound(target: Target, seconds: number): Promise<Round> {
  const agent = new Agent({ keepAlive: true });
  const latencyUs = buildHistogram({ highestTrackableValue: 60_000_000 });
  const total = CALLS_PER_S * seconds;
  const cpuBefore = cpuMs(target.pid);
  const started = performance.now();
  let failed = 0;
  const pending: Promise<void>[] = [];
  for (let sent = 0; sent < total; sent++) {
    const wait = started + (sent * 1_000) / CALLS_PER_S - performance.now();
    if (wait > 1) await new Promise((resolve) => setTimeout(resolve, wait));
    pending.push(
      callOnce(target, agent).then((us) => {
        if (us === undefined) failed += 1;
        else latencyUs.recordValue(us);
      }),
    );
  }
  await Promise.all(pending);
  const cpuMsUsed = cpuMs(target.pid) - cpuBefore;
  agent.destroy();
  return { calls: total, failed, cpuMs: cpuMsUsed, latencyUs };
}

async function callOnce(
  { address, keyed }: Target,
  agent: Agent,
): Promise<number | undefined> {
  const started = performance.now();
  try {
    const { status } = await exchange({
      ...address,
      agent,
      method: keyed ? "POST" : "GET",
      path: keyed ? "/bookings" : "/timesheets/7",
      headers: {
        [HEADERS.service]: "alloc",
        ...(keyed && { [HEADERS.key]: uuidv7() }),
      },
      ...(keyed && { body: '{"grant":7}' }),
    });
    if (status !== 200) return undefined;
    return Math.round((performance.now() - started) * 1_000);
  } catch {
    return undefined;
  }
}

/** CPU time that a process has used, in milliseconds. */
function cpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1_000) / TICKS_PER_S;
}
