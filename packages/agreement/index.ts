/**
 * Consensus among the control hosts: a Raft-like core without I/O, and the
 * interfaces that storage, network and state machine implement for it.
 *
 * @module
 */
export * from "./change_context.ts";
export * from "./consensus_core.ts";
export * from "./effects.ts";
export type { LogEntry, Snapshot } from "./entry_log.ts";
export { founderIdentity } from "./founders.ts";
export type { CommandCheck } from "./leadership.ts";
export {
  type ConsensusLimits,
  DEFAULT_CONSENSUS_LIMITS,
  ELECTION_TIMEOUT_MS,
  HEARTBEAT_MS,
  MAX_COMMAND_BYTES,
} from "./member_state.ts";
export * from "./members.ts";
export * from "./message_decoders.ts";
export * from "./messages.ts";
export * from "./ports.ts";
