import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

const MAX_COLLECTIONS = 8;

/** Bytes of live heap and buffers of this process. */
export function heapBytes(): number {
  // Buffers and compiled code are freed only by later collections.
  let last = collected();
  for (let i = 1; i < MAX_COLLECTIONS; i++) {
    const bytes = collected();
    if (i > 1 && Math.abs(bytes - last) < 1_024) return bytes;
    last = bytes;
  }
  return last;
}

function collected(): number {
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Bytes that `build` leaves on the heap, with what it built. */
export function heapOf<T>(build: () => T): { bytes: number; built: T } {
  const before = heapBytes();
  const built = build();
  return { bytes: heapBytes() - before, built };
}

/** Processor time of all threads of this process, in microseconds. */
export function cpuUs(since?: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(since);
  return user + system;
}

const ROUNDS = 3;
/** The clock of `cpuUsage` moves in steps of up to 10 ms on some kernels. */
const ROUND_US = 40_000;

/** Processor time of one `run`, in microseconds: the median of rounds. */
export function cpuOf(run: () => void): number {
  run();
  const figures: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const start = process.cpuUsage();
    let runs = 0;
    let spent = 0;
    while (spent < ROUND_US) {
      run();
      runs++;
      spent = cpuUs(start);
    }
    figures.push(spent / runs);
  }
  return median(figures);
}

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
