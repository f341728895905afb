import { type ConsensusStatus, hostOf, type MemberKey } from "#agreement";
import type { HostId } from "#model";

/**
 * Time without a reply after which a voter may be removed, in milliseconds.
 * Longer than a restart, a freeze or a short partition, after which the voter
 * returns with its disk.
 */
export const VOTER_REMOVAL_DELAY_MS = 15_000;

/**
 * The same for a voter that was silent already when another one was admitted, as
 * its successor is. Longer than an election and a short pause.
 */
export const SUCCEEDED_VOTER_REMOVAL_DELAY_MS = 3_000;

/** A change of the membership that the leader has to make. */
export type MembershipStep =
  /** Make the host's current data folder a voter in place of an earlier one. */
  | { readonly type: "admit"; readonly host: HostId }
  | { readonly type: "remove"; readonly member: MemberKey };

/** Decides how the leader changes the membership as hosts come and go. */
export class MembershipPlanner {
  readonly #lastLiveAt = new Map<MemberKey, number>();
  /** The voters at the last call; undefined while it was not the leader. */
  #knownVoters: readonly MemberKey[] | undefined;
  /** When a voter was last admitted. */
  #admittedAt = Number.NEGATIVE_INFINITY;

  /** Returns the next change; none on a host that is not the leader. */
  nextStep(status: ConsensusStatus, now: number): MembershipStep | undefined {
    if (status.role !== "leader") {
      this.#lastLiveAt.clear();
      this.#knownVoters = undefined;
      this.#admittedAt = Number.NEGATIVE_INFINITY;
      return undefined;
    }
    for (const { member, live } of status.peers) {
      if (live || !this.#lastLiveAt.has(member))
        this.#lastLiveAt.set(member, now);
    }
    const { voters, learners } = status.membership;
    this.#noteAdmissions(voters, now);
    const memberToAdmit =
      status.announced.find((member) => !voters.includes(member)) ??
      learners.find((member) => this.#silentMs(member, now) === 0);
    if (memberToAdmit !== undefined) {
      return { type: "admit", host: hostOf(memberToAdmit) };
    }
    return this.#removalOfSilentVoter(voters, now);
  }

  #noteAdmissions(voters: readonly MemberKey[], now: number): void {
    const known = this.#knownVoters;
    if (known && voters.some((member) => !known.includes(member))) {
      this.#admittedAt = now;
    }
    this.#knownVoters = voters;
  }

  /**
   * Removes a silent voter only from an even number of voters: this lowers the
   * majority, so that the log survives one more loss. With an odd number, the
   * majority would stay the same. A voter that was only slow loses its vote for
   * the time until it is admitted again, and an odd number of voters bears as
   * many losses as the even number above it.
   */
  #removalOfSilentVoter(
    voters: readonly MemberKey[],
    now: number,
  ): MembershipStep | undefined {
    if (voters.length < 4 || voters.length % 2 === 1) return undefined;
    const silent = voters.find(
      (member) => this.#silentMs(member, now) >= this.#removalDelayMs(member),
    );
    return silent === undefined
      ? undefined
      : { type: "remove", member: silent };
  }

  #removalDelayMs(member: MemberKey): number {
    const lastLiveAt = this.#lastLiveAt.get(member) ?? this.#admittedAt;
    return lastLiveAt < this.#admittedAt
      ? SUCCEEDED_VOTER_REMOVAL_DELAY_MS
      : VOTER_REMOVAL_DELAY_MS;
  }

  #silentMs(member: MemberKey, now: number): number {
    return now - (this.#lastLiveAt.get(member) ?? now);
  }
}
