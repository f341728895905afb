/**
 * Reports on recorded logs.
 *
 * @module
 */
export * from "./call_lines.ts";
export * from "./losses.ts";
