import type { Entry, Snapshot } from "./entry_log.ts";
import type { ChangeRefusal, MemberKey, Membership } from "./members.ts";
import type { FolderPhase, Outgoing } from "./messages.ts";

/** What a folder knows about the cluster that it belongs to. */
export interface Founding {
  readonly cluster: string;
  readonly convener: MemberKey;
  readonly attempt: number;
  /** The founding voters; empty at members that joined later. */
  readonly members: readonly MemberKey[];
  /** All founders are bound; set before the first vote. */
  readonly formed: boolean;
}

/** A durable change; writes take effect in the order given. */
export type Write =
  | { readonly type: "founding"; readonly founding: Founding }
  | {
      readonly type: "vote";
      readonly term: number;
      readonly vote: MemberKey | undefined;
    }
  /** Replaces all entries from the first one's index on. */
  | { readonly type: "entries"; readonly entries: readonly Entry[] }
  | {
      readonly type: "snapshot";
      readonly snapshot: Snapshot;
      /** False if the entries in the log contradict the snapshot. */
      readonly keepLog: boolean;
    };

export type SubmitFault =
  /** Not accepted by any leader in time; the command did not take effect. */
  | { readonly type: "no_quorum" }
  /** Handed to a leader, but its fate is unknown. */
  | { readonly type: "result_unknown" }
  | { readonly type: "command_too_large"; readonly bytes: number }
  | { readonly type: "closed" };

export type ChangeFault = SubmitFault | ChangeRefusal;

export type ReadFault =
  | { readonly type: "no_quorum" }
  | { readonly type: "closed" };

/**
 * What the core asks its adapter to do, in this order: an effect may be carried
 * out only once all writes before it are synced.
 */
export type Effect =
  | { readonly type: "persist"; readonly write: Write }
  | ({ readonly type: "send" } & Outgoing)
  | { readonly type: "restore"; readonly snapshot: Snapshot }
  | { readonly type: "apply"; readonly entries: readonly Entry[] }
  /** The state machine's state is wanted, as of the entries applied so far. */
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

/** Something that an operator may want to see in the log. */
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

export type Role = "leader" | "follower" | "candidate" | "learner";

/** What a member knows about itself and, as the leader, about the others. */
export interface AgreementStatus {
  readonly self: MemberKey;
  readonly phase: FolderPhase;
  readonly role: Role;
  readonly term: number;
  readonly leader: MemberKey | undefined;
  readonly commit: number;
  readonly applied: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly membership: Membership;
  /** Folders that are no members and announced themselves to this one. */
  readonly announced: readonly MemberKey[];
  /** Filled at the leader only. */
  readonly peers: readonly PeerStatus[];
}

export interface PeerStatus {
  readonly member: MemberKey;
  readonly match: number;
  readonly live: boolean;
}
