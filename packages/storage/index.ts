/**
 * Stores the consensus state of a control host in its data folder, and runs the
 * consensus core as a replicated log on top of it.
 *
 * @module
 */
export { DiskMonitor } from "./disk_monitor.ts";
export * from "./file_storage.ts";
export * from "./file_system.ts";
export { type Migration, newIdentity } from "./identity.ts";
export * from "./memory_storage.ts";
export * from "./monitored_file_system.ts";
export * from "./replicated_log.ts";
export { hasRoom } from "./room.ts";
