import { readFileSync } from "node:fs";

/** Clock ticks of /proc a second; the same on all of Linux's platforms. */
const TICKS_PER_SECOND = 100;

/** What a process has used so far. */
export interface Usage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Monotonic time of the reading, in milliseconds. */
  readonly at: number;
}

/** Reads CPU time and resident memory of a process. */
export function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command's name, in parentheses, may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const resident = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: resident * 1_024,
    at: performance.now(),
  };
}

/** Share of a core between two readings, in percent. */
export function cpuPercent(from: Usage, to: Usage): number {
  return ((to.cpuSeconds - from.cpuSeconds) * 100_000) / (to.at - from.at);
}
