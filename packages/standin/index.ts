/**
 * Stand-in backend servers, which implement the published protocol without
 * doing real work; for tests, the demo and benchmarks.
 *
 * @module
 */
export * from "./announcer.ts";
export * from "./behaviour.ts";
export * from "./execution_log.ts";
export * from "./raw_backend.ts";
export * from "./slots.ts";
export * from "./standin_server.ts";
