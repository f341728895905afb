/**
 * Reports on lost and late calls, made from the logs of entries.
 *
 * @module
 */
export * from "./call_lines.ts";
export * from "./losses.ts";
