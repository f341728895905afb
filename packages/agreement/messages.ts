import type { HostId } from "#model";
import type { Entry } from "./entry_log.ts";
import type {
  ChangeRefusal,
  MemberChange,
  MemberKey,
  Membership,
} from "./members.ts";

/** Part of every message between members of a formed cluster. */
export interface Header {
  readonly cluster: string;
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly term: number;
}

/** How far a folder has come on the way to being a member. */
export type FolderPhase = "empty" | "founding" | "formed";

export interface VoteRequest extends Header {
  /** The term that the candidate runs for. */
  readonly candidateTerm: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteReply extends Header {
  readonly candidateTerm: number;
  readonly granted: boolean;
}

export interface Append extends Header {
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly Entry[];
  readonly commit: number;
  /** Grows with each round of read confirmations and heartbeats. */
  readonly round: number;
}

export interface AppendReply extends Header {
  readonly round: number;
  readonly accepted: boolean;
  /** Accepted: index up to which the logs agree. */
  readonly match: number;
  /** Refused: the previous index that does not match. */
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
  /** The next byte that the receiver needs. */
  readonly offset: number;
  readonly round: number;
}

export type ProposalBody =
  | { readonly type: "command"; readonly bytes: Uint8Array }
  | { readonly type: "change"; readonly change: MemberChange };

export interface Propose extends Header {
  readonly id: string;
  readonly body: ProposalBody;
}

export interface ProposeRefused extends Header {
  readonly id: string;
  /** The term that the proposal named. */
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

/** Tells the leader of a folder that is no member and may be added. */
export interface Announced extends Header {
  readonly member: MemberKey;
}

/** An empty folder asks whether a cluster exists, and announces itself. */
export interface Inquiry {
  readonly from: MemberKey;
}

export interface InquiryReply {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly phase: FolderPhase;
}

/** The convener asks a founder to bind itself to a new cluster. */
export interface Found {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly cluster: string;
  /** Grows with each attempt of the same convener. */
  readonly attempt: number;
  readonly members: readonly MemberKey[];
  readonly formed: boolean;
}

export interface FoundReply {
  readonly from: MemberKey;
  readonly to: MemberKey;
  readonly cluster: string;
  readonly bound: boolean;
}

/** The messages between control hosts, by kind. */
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

/** A message with its kind. */
export type AgreementMessage = {
  [K in AgreementKind]: {
    readonly kind: K;
    readonly payload: AgreementMessages[K];
  };
}[AgreementKind];

/** All kinds, for registering handlers. */
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

/** A message on its way to a host. */
export type Outgoing = { readonly to: HostId } & AgreementMessage;
