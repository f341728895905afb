/**
 * The replicated state machine of the control hosts: sections of the document
 * with their history, configuration items, replies by change id, the view of
 * entries and the progress of planned stops.
 *
 * @module
 */

export * from "./commands.ts";
export * from "./evacuation.ts";
export * from "./items.ts";
export { LEAVING_RETENTION_MS } from "./leaving.ts";
export { FORMER_VIEW_RETENTION_MS } from "./membership.ts";
export * from "./planner.ts";
export { MAX_FAULTS, Registry } from "./registry.ts";
export { MAX_CACHED_REPLIES, REPLY_LIFETIME_MS } from "./reply_cache.ts";
export {
  HISTORY_CHARACTERS,
  HISTORY_REVISIONS,
  type SectionRevision,
} from "./sections.ts";
export { SNAPSHOT_FORMAT, type SnapshotFault } from "./snapshot.ts";
export type { StopRun } from "./stops.ts";
