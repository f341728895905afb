import {
  type ChangeContext,
  type ChangeRefusal,
  type ConsensusStatus,
  changeContextOf,
  hostOf,
  type MemberChange,
  type MemberKey,
  type Membership,
  memberKey,
  planChange,
} from "#agreement";

/**
 * Time without a reply after which a member may be removed, in milliseconds.
 * Longer than a restart, a freeze or a short partition, after which the member
 * returns with its disk.
 */
export const MEMBER_REMOVAL_DELAY_MS = 15_000;

/**
 * The same for a voter that was silent already when another one was admitted, as
 * its successor is. Longer than an election and a short pause.
 */
export const SUCCEEDED_VOTER_REMOVAL_DELAY_MS = 3_000;

/** Below this number, removing a silent voter lets the log survive no more losses. */
const MIN_VOTERS_FOR_REMOVAL = 4;

/**
 * Decides how the leader changes the membership as hosts come and go.
 *
 * Each call decides anew, from the present state, on one change that the leader can
 * make at once. A host that announced itself, caught up or fell silent is therefore
 * never waited for while a change for another host can be made.
 */
export class MembershipPlanner {
  readonly #lastLiveAt = new Map<MemberKey, number>();
  /** The voters at the last call; undefined while it was not the leader. */
  #knownVoters: readonly MemberKey[] | undefined;
  /** When a voter was last admitted. */
  #admittedAt = Number.NEGATIVE_INFINITY;

  /**
   * Returns the next change; none on a host that is not the leader, and none while
   * the leader would refuse each.
   */
  nextChange(status: ConsensusStatus, now: number): MemberChange | undefined {
    if (status.role !== "leader") {
      this.#lastLiveAt.clear();
      this.#knownVoters = undefined;
      this.#admittedAt = Number.NEGATIVE_INFINITY;
      return undefined;
    }
    this.#noteReplies(status, now);
    this.#noteAdmissions(status.membership.voters, now);
    const context = changeContextOf(status);
    const changes = [
      ...replacements(context),
      ...this.#removalsOfSilentVoters(context.membership, now),
      ...additions(context),
      ...this.#removalsOfLearners(context, now),
    ];
    return changes.find((change) => !isRefused(planChange(change, context)));
  }

  #noteReplies({ peers }: ConsensusStatus, now: number): void {
    for (const { member, live } of peers) {
      if (live || !this.#lastLiveAt.has(member))
        this.#lastLiveAt.set(member, now);
    }
    const members = new Set(peers.map(({ member }) => member));
    for (const member of this.#lastLiveAt.keys()) {
      if (!members.has(member)) this.#lastLiveAt.delete(member);
    }
  }

  #noteAdmissions(voters: readonly MemberKey[], now: number): void {
    const known = this.#knownVoters;
    if (known && voters.some((member) => !known.includes(member))) {
      this.#admittedAt = now;
    }
    this.#knownVoters = voters;
  }

  /**
   * Removes a silent voter if the log then survives one more loss: from an even
   * number of voters, as this lowers the majority, and if there are two of them. One
   * voter that is silent among an odd number is kept: the majority would stay the
   * same, and a voter that was only slow would lose its vote for the time until it
   * is admitted again.
   */
  #removalsOfSilentVoters({ voters }: Membership, now: number): MemberChange[] {
    if (voters.length < MIN_VOTERS_FOR_REMOVAL) return [];
    const silent = voters.filter(
      (member) => this.#silentMs(member, now) >= this.#removalDelayMs(member),
    );
    if (voters.length % 2 === 1 && silent.length < 2) return [];
    return silent.map(removalOf);
  }

  /**
   * Removes learners that are gone: those whose host has another data folder now,
   * and those that have been silent for long. They would stay in the list of control
   * hosts for good otherwise.
   */
  #removalsOfLearners(context: ChangeContext, now: number): MemberChange[] {
    const { learners } = context.membership;
    const isGone = (learner: MemberKey) =>
      !context.live(learner) &&
      (hasOtherLiveFolder(learner, context) ||
        this.#silentMs(learner, now) >= MEMBER_REMOVAL_DELAY_MS);
    return learners.filter(isGone).map(removalOf);
  }

  #removalDelayMs(member: MemberKey): number {
    const lastLiveAt = this.#lastLiveAt.get(member) ?? this.#admittedAt;
    return lastLiveAt < this.#admittedAt
      ? SUCCEEDED_VOTER_REMOVAL_DELAY_MS
      : MEMBER_REMOVAL_DELAY_MS;
  }

  #silentMs(member: MemberKey, now: number): number {
    return now - (this.#lastLiveAt.get(member) ?? now);
  }
}

/**
 * Makes voters of the learners that are live and have caught up. A silent voter with
 * a former data folder of the same host is removed before that.
 */
function replacements(context: ChangeContext): MemberChange[] {
  return context.membership.learners.filter(context.live).flatMap((member) => {
    const promotion = { type: "promote", member } as const;
    const plan = planChange(promotion, context);
    if (!isRefused(plan)) return [promotion];
    const isReplacement =
      plan.type === "former_identity_votes" && !context.live(plan.member);
    return isReplacement ? [removalOf(plan.member)] : [];
  });
}

/** Adds the data folders that were announced, as learners. */
function additions(context: ChangeContext): MemberChange[] {
  const { membership, live } = context;
  const liveHosts = new Set(membersOf(membership).filter(live).map(hostOf));
  return [...context.announced.keys()]
    .filter((host) => !liveHosts.has(host))
    .map((host) => ({ type: "add", host }));
}

/** Whether the host of a member has another data folder that is live or announced. */
function hasOtherLiveFolder(
  member: MemberKey,
  { membership, announced, live }: ChangeContext,
): boolean {
  const host = hostOf(member);
  const identity = announced.get(host);
  return (
    (identity !== undefined && member !== memberKey(host, identity)) ||
    membersOf(membership).some(
      (other) => other !== member && hostOf(other) === host && live(other),
    )
  );
}

function membersOf({ voters, learners }: Membership): MemberKey[] {
  return [...voters, ...learners];
}

function removalOf(member: MemberKey): MemberChange {
  return { type: "remove", member };
}

function isRefused(plan: Membership | ChangeRefusal): plan is ChangeRefusal {
  return "type" in plan;
}
