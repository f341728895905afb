import type { HostId } from "#model";
import type { LogEntry } from "./entry_log.ts";
import type {
  ChangeRefusal,
  MemberChange,
  MemberKey,
  Membership,
} from "./members.ts";

/** The fields that all messages between members of one cluster have. */
export interface MessageHeader {
  readonly cluster: string;
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly term: number;
}

/**
 * The state of a data folder: `empty` belongs to no cluster, `founding` is
 * bound to a cluster of which some founders may not be bound yet, and `formed`
 * belongs to a cluster in which it may vote or learn.
 */
export type BootstrapPhase = "empty" | "founding" | "formed";

/** A candidate's request for a vote or a pre-vote. */
export interface VoteRequest extends MessageHeader {
  /** The term that the candidate would lead. */
  readonly candidateTerm: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteReply extends MessageHeader {
  readonly candidateTerm: number;
  readonly granted: boolean;
}

/** Raft's AppendEntries; without entries it is a heartbeat. */
export interface AppendEntries extends MessageHeader {
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commit: number;
  /** The leader's heartbeat round; a reply repeats it, to confirm reads. */
  readonly round: number;
}

export interface AppendEntriesReply extends MessageHeader {
  readonly round: number;
  readonly accepted: boolean;
  /** If accepted: index up to which the logs agree; else a hint for it. */
  readonly match: number;
  /** If not accepted: the `previousIndex` that does not match. */
  readonly refused: number;
}

/** A part of the snapshot for a follower that lacks compacted entries. */
export interface SnapshotChunk extends MessageHeader {
  /** Index of the last entry that the snapshot covers. */
  readonly index: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  readonly offset: number;
  /** Length of the whole snapshot in bytes. */
  readonly total: number;
  readonly bytes: Uint8Array;
  readonly round: number;
}

export interface SnapshotChunkReply extends MessageHeader {
  readonly index: number;
  /** Offset of the next byte that the receiver needs. */
  readonly offset: number;
  readonly round: number;
}

export type ProposalBody =
  | { readonly type: "command"; readonly bytes: Uint8Array }
  | { readonly type: "change"; readonly change: MemberChange };

/** A proposal that a member forwards to the leader. */
export interface ForwardedProposal extends MessageHeader {
  readonly id: string;
  readonly body: ProposalBody;
}

export interface ProposalRefusal extends MessageHeader {
  readonly id: string;
  /** The term in the header of the proposal. */
  readonly proposedTerm: number;
  readonly fault:
    | ChangeRefusal
    | { readonly type: "not_leader" }
    | { readonly type: "not_admitted" };
}

/** A member's request to the leader for a linearizable read index. */
export interface ReadRequest extends MessageHeader {
  readonly ids: readonly string[];
}

export interface ReadReply extends MessageHeader {
  readonly ids: readonly string[];
  readonly index: number;
}

/**
 * Tells the leader about a data folder that is not a member and may be added.
 */
export interface MemberAnnouncement extends MessageHeader {
  readonly member: MemberKey;
}

/**
 * A host with an empty data folder asks another host whether a cluster exists,
 * and announces that it can be added.
 */
export interface ClusterInquiry {
  readonly from: MemberKey;
}

export interface ClusterInquiryReply {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly phase: BootstrapPhase;
}

/**
 * The convener, the founder that coordinates the bootstrap, asks another
 * founder to bind its data folder to a new cluster.
 */
export interface BindRequest {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly cluster: string;
  /** Increases with each attempt of the same convener. */
  readonly attempt: number;
  readonly members: readonly MemberKey[];
  /** All founders are bound, so that the first election may begin. */
  readonly formed: boolean;
}

export interface BindReply {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly cluster: string;
  readonly bound: boolean;
}

/** The consensus messages between control hosts, by kind. */
export interface ConsensusMessages {
  "agreement.pre_vote": VoteRequest;
  "agreement.pre_vote_reply": VoteReply;
  "agreement.vote": VoteRequest;
  "agreement.vote_reply": VoteReply;
  "agreement.append": AppendEntries;
  "agreement.append_reply": AppendEntriesReply;
  "agreement.chunk": SnapshotChunk;
  "agreement.chunk_reply": SnapshotChunkReply;
  "agreement.propose": ForwardedProposal;
  "agreement.propose_refused": ProposalRefusal;
  "agreement.read": ReadRequest;
  "agreement.read_reply": ReadReply;
  "agreement.announced": MemberAnnouncement;
  "agreement.inquiry": ClusterInquiry;
  "agreement.inquiry_reply": ClusterInquiryReply;
  "agreement.found": BindRequest;
  "agreement.found_reply": BindReply;
}

export type ConsensusMessageKind = keyof ConsensusMessages;

/** A consensus message with its kind. */
export type ConsensusMessage = {
  [K in ConsensusMessageKind]: {
    readonly kind: K;
    readonly payload: ConsensusMessages[K];
  };
}[ConsensusMessageKind];

/** All message kinds, for registering handlers. */
export const CONSENSUS_MESSAGE_KINDS = Object.keys({
  "agreement.pre_vote": true,
  "agreement.pre_vote_reply": true,
  "agreement.vote": true,
  "agreement.vote_reply": true,
  "agreement.append": true,
  "agreement.append_reply": true,
  "agreement.chunk": true,
  "agreement.chunk_reply": true,
  "agreement.propose": true,
  "agreement.propose_refused": true,
  "agreement.read": true,
  "agreement.read_reply": true,
  "agreement.announced": true,
  "agreement.inquiry": true,
  "agreement.inquiry_reply": true,
  "agreement.found": true,
  "agreement.found_reply": true,
} satisfies Record<ConsensusMessageKind, true>) as ConsensusMessageKind[];

/** A consensus message with its destination. */
export type OutgoingMessage = { readonly to: HostId } & ConsensusMessage;
