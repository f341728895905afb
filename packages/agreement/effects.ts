import type { LogEntry, Snapshot } from "./entry_log.ts";
import type { ChangeRefusal, MemberKey, Membership } from "./members.ts";
import type { BootstrapPhase, OutgoingMessage } from "./messages.ts";

/** The cluster that a data folder belongs to; stored in that folder. */
export interface ClusterBinding {
  readonly cluster: string;
  /**
   * The founder that coordinated the bootstrap, or the leader that was joined.
   */
  readonly convener: MemberKey;
  /** Number of the convener's attempt to form the cluster; 0 if joined. */
  readonly attempt: number;
  /** The founding voters; empty on members that joined later. */
  readonly members: readonly MemberKey[];
  /** Whether all founders are bound; members vote only after that. */
  readonly formed: boolean;
}

/** A change of the stored state; writes take effect in the order given. */
export type StorageWrite =
  | { readonly type: "founding"; readonly founding: ClusterBinding }
  | {
      readonly type: "vote";
      readonly term: number;
      readonly vote: MemberKey | undefined;
    }
  /** Replaces all stored entries from the index of the first entry on. */
  | { readonly type: "entries"; readonly entries: readonly LogEntry[] }
  | {
      readonly type: "snapshot";
      readonly snapshot: Snapshot;
      /** False if the stored entries conflict with the snapshot. */
      readonly keepLog: boolean;
    };

/** Why a command has no reply. */
export type SubmitFault =
  /** No leader accepted the command in time; it has no effect. */
  | { readonly type: "no_quorum" }
  /** A leader was given the command; it may or may not take effect. */
  | { readonly type: "result_unknown" }
  | { readonly type: "command_too_large"; readonly bytes: number }
  /**
   * The leader did not log the command, because of the commands before it, which this
   * host may not have applied yet; it has no effect.
   */
  | { readonly type: "not_admitted" }
  | { readonly type: "closed" };

export type ChangeFault = SubmitFault | ChangeRefusal;

export type ReadFault =
  | { readonly type: "no_quorum" }
  | { readonly type: "closed" };

/**
 * What the core's caller has to do, in the order given: an effect may be
 * carried out only once all writes before it are synced.
 */
export type Effect =
  | { readonly type: "persist"; readonly write: StorageWrite }
  | ({ readonly type: "send" } & OutgoingMessage)
  | { readonly type: "restore"; readonly snapshot: Snapshot }
  | { readonly type: "apply"; readonly entries: readonly LogEntry[] }
  /** Requests the state machine's state after the entries applied so far. */
  | {
      readonly type: "snapshot";
      readonly index: number;
      readonly term: number;
      readonly membership: Membership;
    }
  | { readonly type: "read"; readonly id: string; readonly index: number }
  | {
      readonly type: "failed";
      readonly id: string;
      readonly fault: ChangeFault;
    }
  | { readonly type: "notice"; readonly notice: Notice };

/** An event for the operator's log. */
export type Notice =
  | { readonly type: "elected"; readonly term: number }
  | {
      readonly type: "stepped_down";
      readonly term: number;
      readonly reason: "higher_term" | "no_majority" | "removed";
    }
  | { readonly type: "cluster_formed"; readonly cluster: string }
  | { readonly type: "cluster_exists"; readonly host: string }
  | { readonly type: "founding_refused"; readonly member: MemberKey }
  | { readonly type: "snapshot_installed"; readonly index: number };

export type MemberRole = "leader" | "follower" | "candidate" | "learner";

/** The consensus state of one member, for operators and for control. */
export interface ConsensusStatus {
  readonly self: MemberKey;
  readonly phase: BootstrapPhase;
  readonly role: MemberRole;
  readonly term: number;
  readonly leader: MemberKey | undefined;
  readonly commit: number;
  readonly applied: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly membership: Membership;
  /** Index of the newest membership in the log; may not be committed. */
  readonly membershipIndex: number;
  /** Whether this member leads and has committed an entry of its own term. */
  readonly committedInTerm: boolean;
  /** Data folders that are not members and announced that they can be added. */
  readonly announced: readonly MemberKey[];
  /** The other members; filled on the leader only. */
  readonly peers: readonly PeerStatus[];
}

export interface PeerStatus {
  readonly member: MemberKey;
  /** Index up to which the peer's synced log agrees with the leader's. */
  readonly match: number;
  /** Whether the peer replied within the last election timeout. */
  readonly live: boolean;
}
