import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundlePrograms } from "../demo/bundle.ts";
import { SiteProcesses } from "../demo/site_processes.ts";
import { until } from "../demo/until.ts";
import { type SiteSize, writeSiteFolder } from "./site_folder.ts";

/** Writes the memory usage after a garbage collection on SIGUSR2. */
const MEMORY_REPORT_SCRIPT = `
const { writeFileSync } = require("node:fs");
const { join } = require("node:path");
process.on("SIGUSR2", () => {
  gc();
  gc();
  const file = join(__dirname, "memory-" + process.pid + ".json");
  writeFileSync(file, JSON.stringify(process.memoryUsage()));
});
`;

/** The programs of the measured processes, bundled into a temporary folder. */
export class Programs {
  readonly folder = mkdtempSync(join(tmpdir(), "mangobank-slopes-"));
  #sites = 0;

  static async build(): Promise<Programs> {
    const programs = new Programs();
    await bundlePrograms(programs.folder, {
      mangobank: "packages/cli/main.ts",
      standin: "packages/demo/standin_process.ts",
    });
    writeFileSync(join(programs.folder, "memory.cjs"), MEMORY_REPORT_SCRIPT);
    return programs;
  }

  get standin(): string {
    return join(this.folder, "standin.cjs");
  }

  /** Writes the settings of a new site and starts its processes. */
  async startSite(size: SiteSize): Promise<MeasuredSite> {
    const name = join(this.folder, `site-${++this.#sites}`);
    await writeSiteFolder(`${name}-example`, size);
    const processes = new SiteProcesses({
      example: `${name}-example`,
      folder: name,
      command: [
        process.execPath,
        "--expose-gc",
        "--require",
        join(this.folder, "memory.cjs"),
        join(this.folder, "mangobank.cjs"),
      ],
    });
    await processes.start();
    return new MeasuredSite(processes, { programs: this.folder, site: name });
  }

  remove(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A running site, with measurements of its processes. */
export class MeasuredSite {
  readonly processes: SiteProcesses;
  readonly #folders: { programs: string; site: string };

  constructor(
    processes: SiteProcesses,
    folders: { programs: string; site: string },
  ) {
    this.processes = processes;
    this.#folders = folders;
  }

  get controlPids(): number[] {
    return this.#pids(this.processes.controls);
  }

  get entryPids(): number[] {
    return this.#pids(this.processes.entries);
  }

  /** Heap and external buffers after a garbage collection, in bytes. */
  async heapBytes(pid: number): Promise<number> {
    const file = join(this.#folders.programs, `memory-${pid}.json`);
    rmSync(file, { force: true });
    process.kill(pid, "SIGUSR2");
    const read = () => {
      try {
        return JSON.parse(readFileSync(file, "utf8")) as NodeJS.MemoryUsage;
      } catch {
        return undefined;
      }
    };
    await until(() => read() !== undefined, {
      what: "the process has written its memory usage",
    });
    const { heapUsed = 0, external = 0 } = read() ?? {};
    return heapUsed + external;
  }

  /** Bytes in the data folders of all control hosts. */
  dataBytes(): number {
    const data = join(this.#folders.site, "data");
    return readdirSync(data, { recursive: true })
      .map((file) => statSync(join(data, String(file))))
      .reduce((sum, stat) => sum + (stat.isFile() ? stat.size : 0), 0);
  }

  /** Bytes that all entries together have sent to other processes. */
  async sentBytes(): Promise<number> {
    const texts = await Promise.all(
      this.processes.entries.map(({ metrics }) =>
        fetch(`http://${metrics.host}:${metrics.port}/metrics`).then((answer) =>
          answer.text(),
        ),
      ),
    );
    return texts.reduce((sum, text) => {
      const line = /^mangobank_peer_bytes_total\{direction="sent"\} (\d+)/m;
      return sum + Number(line.exec(text)?.[1] ?? Number.NaN);
    }, 0);
  }

  close(): Promise<void> {
    return this.processes.close();
  }

  #pids(hosts: readonly { id: string }[]): number[] {
    return hosts.map(({ id }) => this.processes.pid(id) ?? 0);
  }
}

/** CPU time that a process has used, in milliseconds. */
export function cpuMs(pid: number): number {
  const tasks = `/proc/${pid}/task`;
  // schedstat counts nanoseconds; /proc/PID/stat has ticks of 10 ms.
  return readdirSync(tasks).reduce((sum, task) => {
    const text = readFileSync(join(tasks, task, "schedstat"), "utf8");
    return sum + Number(text.split(" ")[0]) / 1e6;
  }, 0);
}

/** Resident memory of a process, in bytes. */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1]) * 1_024;
}

/** CPU time of each process while `run` runs, in milliseconds. */
export async function cpuMsDuring(
  pids: readonly number[],
  run: () => Promise<unknown>,
): Promise<number[]> {
  const before = pids.map(cpuMs);
  await run();
  return pids.map((pid, index) => cpuMs(pid) - (before[index] ?? 0));
}
