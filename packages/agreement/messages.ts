import type { HostId } from "#model";
import type { Entry } from "./entry_log.ts";
import type {
  ChangeRefusal,
  MemberChange,
  MemberKey,
  Membership,
} from "./members.ts";

/** The fields that all messages between members of one cluster have. */
export interface Header {
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
export type FolderPhase = "empty" | "founding" | "formed";

export interface VoteRequest extends Header {
  /** The term that the candidate would lead. */
  readonly candidateTerm: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteReply extends Header {
  readonly candidateTerm: number;
  readonly granted: boolean;
}

/** Raft's AppendEntries; without entries it is a heartbeat. */
export interface Append extends Header {
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly Entry[];
  readonly commit: number;
  /** The leader's heartbeat round; a reply repeats it, to confirm reads. */
  readonly round: number;
}

export interface AppendReply extends Header {
  readonly round: number;
  readonly accepted: boolean;
  /** If accepted: index up to which the logs agree; else a hint for it. */
  readonly match: number;
  /** If not accepted: the `previousIndex` that does not match. */
  readonly refused: number;
}

export interface SnapshotChunk extends Header {
  readonly index: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  readonly offset: number;
  readonly total: number;
  readonly bytes: Uint8Array;
  readonly round: number;
}

export interface SnapshotChunkReply extends Header {
  readonly index: number;
  /** Offset of the next byte that the receiver needs. */
  readonly offset: number;
  readonly round: number;
}

export type ProposalBody =
  | { readonly type: "command"; readonly bytes: Uint8Array }
  | { readonly type: "change"; readonly change: MemberChange };

/** A proposal that a member forwards to the leader. */
export interface Propose extends Header {
  readonly id: string;
  readonly body: ProposalBody;
}

export interface ProposeRefused extends Header {
  readonly id: string;
  /** The term in the header of the proposal. */
  readonly proposedTerm: number;
  readonly fault: ChangeRefusal | { readonly type: "not_leader" };
}

export interface ReadRequest extends Header {
  readonly ids: readonly string[];
}

export interface ReadReply extends Header {
  readonly ids: readonly string[];
  readonly index: number;
}

/** Tells the leader about a data folder that is not a member and may be added. */
export interface Announced extends Header {
  readonly member: MemberKey;
}

/**
 * A host with an empty data folder asks another host whether a cluster exists,
 * and announces that it can be added.
 */
export interface Inquiry {
  readonly from: MemberKey;
}

export interface InquiryReply {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly phase: FolderPhase;
}

/**
 * The convener, the founder that coordinates the bootstrap, asks another founder
 * to bind its data folder to a new cluster.
 */
export interface Found {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly cluster: string;
  /** Increases with each attempt of the same convener. */
  readonly attempt: number;
  readonly members: readonly MemberKey[];
  /** All founders are bound, so that the first election may begin. */
  readonly formed: boolean;
}

export interface FoundReply {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly cluster: string;
  readonly bound: boolean;
}

/** The consensus messages between control hosts, by kind. */
export interface AgreementMessages {
  "agreement.pre_vote": VoteRequest;
  "agreement.pre_vote_reply": VoteReply;
  "agreement.vote": VoteRequest;
  "agreement.vote_reply": VoteReply;
  "agreement.append": Append;
  "agreement.append_reply": AppendReply;
  "agreement.chunk": SnapshotChunk;
  "agreement.chunk_reply": SnapshotChunkReply;
  "agreement.propose": Propose;
  "agreement.propose_refused": ProposeRefused;
  "agreement.read": ReadRequest;
  "agreement.read_reply": ReadReply;
  "agreement.announced": Announced;
  "agreement.inquiry": Inquiry;
  "agreement.inquiry_reply": InquiryReply;
  "agreement.found": Found;
  "agreement.found_reply": FoundReply;
}

export type AgreementKind = keyof AgreementMessages;

/** A consensus message with its kind. */
export type AgreementMessage = {
  [K in AgreementKind]: {
    readonly kind: K;
    readonly payload: AgreementMessages[K];
  };
}[AgreementKind];

/** All message kinds, for registering handlers. */
export const AGREEMENT_KINDS = Object.keys({
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
} satisfies Record<AgreementKind, true>) as AgreementKind[];

/** A consensus message with its destination. */
export type Outgoing = { readonly to: HostId } & AgreementMessage;
