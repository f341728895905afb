/**
 * The replicated state machine of the control hosts: sections of the document
 * with their history, configuration items, replies by change id, the view of
 * entries and the progress of planned stops.
 *
 * @module
 */
export { ANSWER_LIFETIME_MS, MAX_ANSWERS } from "./answers.ts";
export * from "./commands.ts";
export * from "./items.ts";
export { LEAVING_KEPT_MS } from "./leaving.ts";
export { FORMER_VIEWS_MS } from "./membership.ts";
export * from "./planner.ts";
export { MAX_FAULTS, Registry } from "./registry.ts";
export {
  HISTORY_CHARACTERS,
  HISTORY_REVISIONS,
  type SectionRevision,
} from "./sections.ts";
export { SNAPSHOT_FORMAT, type SnapshotFault } from "./snapshot.ts";
export type { StopRun } from "./stops.ts";
