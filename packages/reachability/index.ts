/**
 * Decides whose fault it is that servers cannot be reached, and which other
 * entry takes a call over.
 *
 * @module
 */

export * from "./handover_targets.ts";
export * from "./message_decoders.ts";
export * from "./messages.ts";
export * from "./path_effects.ts";
export * from "./server_paths.ts";
