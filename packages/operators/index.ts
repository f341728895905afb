/**
 * The operators' HTTP API on control hosts, and its client.
 *
 * @module
 */
export * from "./api.ts";
export { hashCredential } from "./authentication.ts";
export * from "./client.ts";
export * from "./errors.ts";
export * from "./ports.ts";
export { formatTime } from "./presentation.ts";
export * from "./server.ts";
