/**
 * The control role: holds the replicated configuration, publishes it to the
 * entries, and performs the tasks of the leader.
 *
 * @module
 */
export * from "./announcement_log.ts";
export * from "./control_host.ts";
export * from "./control_process.ts";
export { NO_CONTROL_AFTER_MS, runControlReplica } from "./control_replica.ts";
export * from "./control_requests.ts";
export * from "./control_runs.ts";
export * from "./evacuations.ts";
export { createFolderIdentity } from "./folder_identity.ts";
export {
  closedControlMetrics,
  controlMetrics,
  withHealthEndpoints,
} from "./health.ts";
export { LeaderDuties } from "./leader_duties.ts";
export { leaveMembership } from "./leave_membership.ts";
export { LATE_ORDER } from "./order_lifetime.ts";
export { ConfigurationPublisher } from "./publisher.ts";
