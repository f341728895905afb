/**
 * Spread of the configuration from control to entries, and the rules that keep
 * an entry from serving with an old one.
 *
 * @module
 */
export * from "./acceptance.ts";
export * from "./change.ts";
export * from "./entry_table.ts";
export * from "./freshness.ts";
export * from "./messages.ts";
