import { performance } from "node:perf_hooks";

/** Share of time that the process's event loop was busy. */
export class EventLoopLoad {
  #last = performance.eventLoopUtilization();

  /** Percent since the call before. */
  percent(): number {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(
      current,
      this.#last,
    );
    this.#last = current;
    return utilization * 100;
  }
}
