/**
 * Logs with consola and metrics with prom-client.
 *
 * @module
 */
export * from "./logger.ts";
export * from "./metrics.ts";
