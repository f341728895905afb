/**
 * Composition of the entry role: the reverse proxy for callers, registration
 * of backend servers and address lookup.
 *
 * @module
 */
export * from "./entry_process.ts";
