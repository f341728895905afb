/**
 * Service registration and discovery: records of backend servers, their
 * replication between entries (the load balancer processes), and responses to
 * callers that look up the addresses of entries.
 *
 * @module
 */
export * from "./address_lookup.ts";
export type { Identity } from "./address_proofs.ts";
export * from "./announcements.ts";
export * from "./dissemination.ts";
export * from "./effects.ts";
export * from "./message_decoders.ts";
export * from "./messages.ts";
export * from "./plausibility.ts";
export * from "./presence.ts";
export * from "./presence_configuration.ts";
export * from "./relays.ts";
export * from "./timings.ts";
