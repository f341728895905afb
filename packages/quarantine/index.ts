/**
 * Detection and quarantine of requests that crash the servers that run them.
 *
 * @module
 */
export * from "./fingerprint.ts";
export * from "./message_decoders.ts";
export * from "./messages.ts";
export * from "./quarantine.ts";
export * from "./server_losses.ts";
