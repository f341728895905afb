import { type ConsensusStatus, hostOf, type MemberKey } from "#agreement";
import type { HostId } from "#model";

/**
 * Time without a reply after which a voter may be removed, in milliseconds.
 * Longer than a restart, a freeze or a short partition, after which the voter
 * returns with its disk.
 */
export const VOTER_REMOVAL_DELAY_MS = 15_000;

/** A change of the membership that the leader has to make. */
export type MembershipStep =
  /** Make the host's current data folder a voter in place of an earlier one. */
  | { readonly type: "admit"; readonly host: HostId }
  | { readonly type: "remove"; readonly member: MemberKey };

/** Decides how the leader changes the membership as hosts come and go. */
export class MembershipPlanner {
  readonly #lastLiveAt = new Map<MemberKey, number>();

  /** Returns the next change; none on a host that is not the leader. */
  nextStep(status: ConsensusStatus, now: number): MembershipStep | undefined {
    if (status.role !== "leader") {
      this.#lastLiveAt.clear();
      return undefined;
    }
    for (const { member, live } of status.peers) {
      if (live || !this.#lastLiveAt.has(member))
        this.#lastLiveAt.set(member, now);
    }
    const { voters, learners } = status.membership;
    const memberToAdmit =
      status.announced.find((member) => !voters.includes(member)) ??
      learners.find((member) => this.#silentMs(member, now) === 0);
    if (memberToAdmit !== undefined) {
      return { type: "admit", host: hostOf(memberToAdmit) };
    }
    return this.#removalOfSilentVoter(voters, now);
  }

  /**
   * Removes a silent voter only from an even number of voters: this lowers the
   * majority, so that the log survives one more loss. With an odd number, the
   * majority would stay the same.
   */
  #removalOfSilentVoter(
    voters: readonly MemberKey[],
    now: number,
  ): MembershipStep | undefined {
    if (voters.length < 4 || voters.length % 2 === 1) return undefined;
    const silent = voters.find(
      (member) => this.#silentMs(member, now) >= VOTER_REMOVAL_DELAY_MS,
    );
    return silent === undefined
      ? undefined
      : { type: "remove", member: silent };
  }

  #silentMs(member: MemberKey, now: number): number {
    return now - (this.#lastLiveAt.get(member) ?? now);
  }
}
