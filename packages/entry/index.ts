/**
 * Composition of the entry role: the reverse proxy for callers, registration
 * of backend servers and address lookup.
 *
 * @module
 */
export * from "./call_protocol.ts";
export * from "./entry_process.ts";
export { endToEndHeaders } from "./reply.ts";
