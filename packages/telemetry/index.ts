/**
 * Logs with consola and metrics with prom-client.
 *
 * @module
 */
export * from "./bounded_log_stream.ts";
export * from "./closed_clients.ts";
export * from "./control_metrics.ts";
export * from "./failures.ts";
export * from "./line_limiter.ts";
export * from "./logger.ts";
export * from "./metrics.ts";
export * from "./own_tasks.ts";
export * from "./peer_traffic.ts";
export * from "./process_end.ts";
export { QuotaMetrics, type QuotaOutcome } from "./quota_metrics.ts";
export * from "./stop_signal.ts";
