/**
 * The entry role: a reverse proxy for callers, with registration of backend
 * servers and address lookup.
 *
 * @module
 */
export * from "./call_protocol.ts";
export { tryConnection } from "./connection_check.ts";
export { endToEndHeaders } from "./end_to_end_headers.ts";
export * from "./entry_process.ts";
export { HANDOVER_HEADER_NAMES } from "./handover_protocol.ts";
export { hashKey } from "./key_hash.ts";
