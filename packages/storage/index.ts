/**
 * Durable state of a control host under one data folder, and the replicated
 * log that runs the consensus core over it.
 *
 * @module
 */
export * from "./file_storage.ts";
export * from "./file_system.ts";
export type { Migration } from "./identity.ts";
export * from "./memory_storage.ts";
export * from "./replicated_log.ts";
