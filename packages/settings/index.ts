/**
 * Settings of the roles: YAML files, their schema and typed errors.
 *
 * @module
 */
export * from "./load.ts";
export * from "./schema.ts";
export * from "./settings.ts";
