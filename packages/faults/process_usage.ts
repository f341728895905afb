import { readFileSync } from "node:fs";

/** Clock ticks per second in /proc (USER_HZ), 100 on all Linux platforms. */
const TICKS_PER_SECOND = 100;

/** CPU time and memory of a process at one moment. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Monotonic time of the measurement, in milliseconds. */
  readonly at: number;
}

/** Reads CPU time and resident memory of a process. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command name, in parentheses, may contain spaces.
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

/** Mean CPU use between two measurements, in percent of one core. */
export function cpuPercent(from: ProcessUsage, to: ProcessUsage): number {
  return ((to.cpuSeconds - from.cpuSeconds) * 100_000) / (to.at - from.at);
}
