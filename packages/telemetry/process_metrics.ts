import { collectDefaultMetrics, Gauge, type Registry } from "prom-client";
import { BUILD } from "#model";
import { registerClosedClients } from "./closed_clients.ts";
import { registerFailures } from "./failures.ts";

/**
 * Interval at which the event loop delay is sampled. Each sample wakes the
 * process; at the library's default of 10 ms, the samples took most of the
 * wake-ups of an idle process.
 */
const EVENT_LOOP_SAMPLING_MS = 500;

/** Adds the build, failures, event loop delay, processor time and memory. */
export function registerProcessMetrics(registry: Registry): void {
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLING_MS,
  });
  registerFailures(registry);
  registerClosedClients(registry);
  new Gauge({
    name: "mangobank_build_info",
    help: "1 for the build that this process runs",
    labelNames: ["build"],
    registers: [registry],
  }).set({ build: BUILD }, 1);
}
