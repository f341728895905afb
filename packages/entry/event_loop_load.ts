import { performance } from "node:perf_hooks";

/** Measures the load of the process's event loop. */
export class EventLoopLoad {
  #previous = performance.eventLoopUtilization();

  /** Percentage of busy time since the previous call. */
  percent(): number {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(
      current,
      this.#previous,
    );
    this.#previous = current;
    return utilization * 100;
  }
}
