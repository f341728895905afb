/**
 * Server selection for the calls of one entry.
 *
 * @module
 */
export * from "./dispatcher_choice.ts";
export * from "./effects.ts";
export * from "./host_routes.ts";
export * from "./message_decoders.ts";
export * from "./messages.ts";
export { SLOWDOWN_THRESHOLD } from "./placement_checks.ts";
export * from "./router.ts";
