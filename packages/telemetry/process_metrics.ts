import { collectDefaultMetrics, type Registry } from "prom-client";

/**
 * Interval at which the event loop delay is sampled. Each sample wakes the
 * process; at the library's default of 10 ms, the samples took most of the
 * wake-ups of an idle process.
 */
const EVENT_LOOP_SAMPLING_MS = 500;

/** Adds event loop delay, processor time and memory of the process. */
export function registerProcessMetrics(registry: Registry): void {
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLING_MS,
  });
}
