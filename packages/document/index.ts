/**
 * The operators' configuration document: parses YAML sections, validates them
 * by a schema, merges them and checks references between them.
 *
 * @module
 */
export { MAX_TOTAL_BUDGET_PERCENT } from "./checks.ts";
export * from "./faults.ts";
export * from "./fields.ts";
export * from "./merge.ts";
export * from "./reference.ts";
export * from "./schema.ts";
export * from "./section.ts";
export * from "./source.ts";
export type { SourceMap } from "./source_map.ts";
