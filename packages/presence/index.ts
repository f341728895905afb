/**
 * Service registration: the backend servers' records, their dissemination
 * between entries, and the answers to callers' address lookups.
 *
 * @module
 */
export * from "./address_lookup.ts";
export * from "./announcements.ts";
export * from "./effects.ts";
export * from "./messages.ts";
export * from "./presence.ts";
export * from "./spread.ts";
export * from "./timings.ts";
