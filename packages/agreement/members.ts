import type { HostId } from "#model";

/**
 * Identifies a member: host id and identity of its data folder, as
 * `host/identity`. A host whose folder was lost comes back as another member.
 */
export type MemberKey = string;

export function memberKey(host: HostId, identity: string): MemberKey {
  return `${host}/${identity}`;
}

export function hostOf(member: MemberKey): HostId {
  return member.slice(0, member.lastIndexOf("/"));
}

/** Who holds the log; learners receive it but neither vote nor count. */
export interface Membership {
  readonly voters: readonly MemberKey[];
  readonly learners: readonly MemberKey[];
}

export const EMPTY_MEMBERSHIP: Membership = { voters: [], learners: [] };

/** Votes or acknowledgements needed for a decision. */
export function majorityOf(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** One step of a member change. */
export type MemberChange =
  /** Adds the identity that the host announces, as a learner. */
  | { readonly type: "add"; readonly host: HostId }
  /** Makes a learner that has caught up a voter. */
  | { readonly type: "promote"; readonly member: MemberKey }
  | { readonly type: "remove"; readonly member: MemberKey };

/** Why a member change was refused; the membership is unchanged. */
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
  /** The host already votes under an identity that must be removed first. */
  | { readonly type: "former_identity_votes"; readonly member: MemberKey }
  | { readonly type: "last_voter"; readonly member: MemberKey }
  /** Fewer voters of the new membership answer than it needs. */
  | {
      readonly type: "quorum_at_risk";
      readonly live: number;
      readonly needed: number;
    };

/** What the leader knows when it judges a change. */
export interface ChangeContext {
  readonly membership: Membership;
  readonly commit: number;
  /** Index of the newest membership in the log; maybe not committed. */
  readonly membershipIndex: number;
  readonly committedInTerm: boolean;
  readonly announced: ReadonlyMap<HostId, string>;
  readonly match: (member: MemberKey) => number;
  readonly live: (member: MemberKey) => boolean;
}

/** The membership after a change, or the reason why it is unsafe. */
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
    return isVoter ? checked(next, context) : next;
  }
  if (isVoter) return { type: "already_voter", member };
  const behind = commit - context.match(member);
  if (behind > 0) return { type: "not_caught_up", member, behind };
  const former = membership.voters.find((m) => hostOf(m) === hostOf(member));
  if (former) return { type: "former_identity_votes", member: former };
  const voters = [...membership.voters, member];
  return checked({ voters, learners }, context);
}

function planAdd(
  host: HostId,
  { membership, announced }: ChangeContext,
): Membership | ChangeRefusal {
  const identity = announced.get(host);
  const known = [...membership.voters, ...membership.learners];
  if (identity === undefined) {
    const member = known.find((m) => hostOf(m) === host);
    return member
      ? { type: "already_member", member }
      : { type: "host_not_announced", host };
  }
  const member = memberKey(host, identity);
  if (known.includes(member)) return { type: "already_member", member };
  const { voters, learners } = membership;
  return { voters, learners: [...learners, member] };
}

function checked(
  next: Membership,
  context: ChangeContext,
): Membership | ChangeRefusal {
  const live = next.voters.filter(context.live).length;
  const needed = majorityOf(next);
  return live < needed ? { type: "quorum_at_risk", live, needed } : next;
}
