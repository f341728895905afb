/**
 * Stand-in backend servers that speak the published protocol; for tests, the
 * demo and benches.
 *
 * @module
 */
export * from "./announcer.ts";
export * from "./behaviour.ts";
export * from "./ledger.ts";
export * from "./slots.ts";
export * from "./standin_server.ts";
