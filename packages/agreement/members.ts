import type { HostId } from "#model";

/**
 * Identifies a member: the host id and the random identity of its data folder,
 * as `host/identity`. A host that lost its data folder returns as a new member.
 */
export type MemberKey = string;

export function memberKey(host: HostId, identity: string): MemberKey {
  return `${host}/${identity}`;
}

export function hostOf(member: MemberKey): HostId {
  return member.slice(0, member.lastIndexOf("/"));
}

export function identityOf(member: MemberKey): string {
  return member.slice(member.lastIndexOf("/") + 1);
}

/**
 * The members that replicate the log. Learners receive it, but neither vote nor
 * count towards a majority.
 */
export interface Membership {
  readonly voters: readonly MemberKey[];
  readonly learners: readonly MemberKey[];
}

export const EMPTY_MEMBERSHIP: Membership = { voters: [], learners: [] };

/** Number of voters that form a majority. */
export function majorityOf(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** A change of the membership by a single member. */
export type MemberChange =
  /** Adds the host as a learner, with the identity that it announced last. */
  | { readonly type: "add"; readonly host: HostId }
  /** Makes a learner that has caught up a voter. */
  | { readonly type: "promote"; readonly member: MemberKey }
  | { readonly type: "remove"; readonly member: MemberKey };

/** Why the leader refused a membership change; the membership is unchanged. */
export type ChangeRefusal =
  | { readonly type: "change_in_progress"; readonly index: number }
  /** The leader has not yet committed an entry of its own term. */
  | { readonly type: "leader_not_ready" }
  | { readonly type: "host_not_announced"; readonly host: HostId }
  | { readonly type: "already_member"; readonly member: MemberKey }
  | { readonly type: "unknown_member"; readonly member: MemberKey }
  | { readonly type: "already_voter"; readonly member: MemberKey }
  | {
      readonly type: "not_caught_up";
      readonly member: MemberKey;
      readonly behind: number;
    }
  /** The host is already a voter under an identity to be removed first. */
  | { readonly type: "former_identity_votes"; readonly member: MemberKey }
  | { readonly type: "last_voter"; readonly member: MemberKey }
  /** Too few voters of the new membership are live for a majority of it. */
  | {
      readonly type: "quorum_at_risk";
      readonly live: number;
      readonly needed: number;
    };

/** The state of the leader that decides whether a change is safe. */
export interface ChangeContext {
  readonly membership: Membership;
  readonly commit: number;
  /** Index of the newest membership in the log; may not be committed. */
  readonly membershipIndex: number;
  /** Whether the leader has committed an entry of its own term. */
  readonly committedInTerm: boolean;
  /** Identities by host of the data folders that can be added. */
  readonly announced: ReadonlyMap<HostId, string>;
  /** Index up to which the member's synced log agrees with the leader's. */
  readonly match: (member: MemberKey) => number;
  /** Whether the member replied within the last election timeout. */
  readonly live: (member: MemberKey) => boolean;
}

/** Returns the membership after a change, or why the change is refused. */
export function planChange(
  change: MemberChange,
  context: ChangeContext,
): Membership | ChangeRefusal {
  const { membership, membershipIndex, commit } = context;
  if (!context.committedInTerm) return { type: "leader_not_ready" };
  if (membershipIndex > commit) {
    return { type: "change_in_progress", index: membershipIndex };
  }
  if (change.type === "add") return planAdd(change.host, context);
  const { member } = change;
  const isVoter = membership.voters.includes(member);
  const isLearner = membership.learners.includes(member);
  if (!isVoter && !isLearner) return { type: "unknown_member", member };
  const learners = membership.learners.filter((m) => m !== member);
  if (change.type === "remove") {
    const voters = membership.voters.filter((m) => m !== member);
    if (voters.length === 0) return { type: "last_voter", member };
    const next = { voters, learners };
    return isVoter ? withLiveMajority(next, context) : next;
  }
  if (isVoter) return { type: "already_voter", member };
  const behind = commit - context.match(member);
  if (behind > 0) return { type: "not_caught_up", member, behind };
  const former = membership.voters.find((m) => hostOf(m) === hostOf(member));
  if (former) return { type: "former_identity_votes", member: former };
  const voters = [...membership.voters, member];
  return withLiveMajority({ voters, learners }, context);
}

function planAdd(
  host: HostId,
  { membership, announced }: ChangeContext,
): Membership | ChangeRefusal {
  const identity = announced.get(host);
  const members = [...membership.voters, ...membership.learners];
  if (identity === undefined) {
    const member = members.find((m) => hostOf(m) === host);
    return member
      ? { type: "already_member", member }
      : { type: "host_not_announced", host };
  }
  const member = memberKey(host, identity);
  if (members.includes(member)) return { type: "already_member", member };
  const { voters, learners } = membership;
  return { voters, learners: [...learners, member] };
}

function withLiveMajority(
  next: Membership,
  context: ChangeContext,
): Membership | ChangeRefusal {
  const live = next.voters.filter(context.live).length;
  const needed = majorityOf(next);
  return live < needed ? { type: "quorum_at_risk", live, needed } : next;
}
