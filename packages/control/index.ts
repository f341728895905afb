/**
 * Composition of the control role: the agreed state, its spread to entries and
 * the duties of the leader.
 *
 * @module
 */
export * from "./control_host.ts";
export * from "./control_process.ts";
export * from "./control_requests.ts";
export * from "./control_runs.ts";
export { controlMetrics, withHealth } from "./health.ts";
export { LeaderDuties } from "./leader_duties.ts";
export { Publisher } from "./publisher.ts";
