/**
 * Distribution of the configuration from the control hosts to the entries (the
 * load balancer processes), and the rules that keep an entry from serving with
 * an outdated one.
 *
 * @module
 */
export * from "./acceptance_tracker.ts";
export * from "./change.ts";
export * from "./entry_table.ts";
export * from "./freshness_tracker.ts";
export * from "./message_decoders.ts";
export * from "./messages.ts";
