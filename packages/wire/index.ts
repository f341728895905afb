/**
 * Messages between mangobank's own processes: length-prefixed CBOR frames over
 * TCP, with typed message maps.
 *
 * @module
 */
export * from "./after_input.ts";
export * from "./body_buffer.ts";
export * from "./client_guard.ts";
export * from "./frames.ts";
export * from "./http_connections.ts";
export * from "./http_failure.ts";
export * from "./http_server.ts";
export type { LinkFault, Traffic } from "./link.ts";
export * from "./listen.ts";
export * from "./logged_network.ts";
export * from "./messages.ts";
export * from "./network.ts";
export * from "./protocol_versions.ts";
export * from "./request_ages.ts";
export { encodedOnce } from "./shared_values.ts";
export * from "./tracked_request.ts";
