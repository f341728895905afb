import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const MAX_COLLECTIONS = 8;

/** Bytes of live heap and external buffers, after garbage collections. */
export function heapBytes(): number {
  // Buffers and compiled code are freed only by a later collection, so it
  // collects until the size is stable.
  let last = heapAfterCollection();
  for (let i = 1; i < MAX_COLLECTIONS; i++) {
    const bytes = heapAfterCollection();
    if (i > 1 && Math.abs(bytes - last) < 1_024) return bytes;
    last = bytes;
  }
  return last;
}

function heapAfterCollection(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Returns what `build` returns and by how many bytes the heap grew. */
export function measureHeap<T>(build: () => T): { bytes: number; built: T } {
  const before = heapBytes();
  const built = build();
  return { bytes: heapBytes() - before, built };
}

/** CPU time of all threads of this process, in microseconds. */
export function cpuUs(since?: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(since);
  return user + system;
}

const ROUNDS = 3;
/** Some kernels advance the clock of `cpuUsage` in steps of up to 10 ms. */
const MIN_ROUND_US = 40_000;

/** CPU time of one `run` in microseconds, as the median of several rounds. */
export function medianCpuUs(run: () => void): number {
  run();
  const figures: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const start = process.cpuUsage();
    let runs = 0;
    let spent = 0;
    while (spent < MIN_ROUND_US) {
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
