import { type ConsensusStatus, hostOf, type MemberKey } from "#agreement";
import type { HostId } from "#model";

/**
 * Silence after which a voter may be removed, in milliseconds. It is above
 * the time of a restart, a freeze or a short partition, after which the voter
 * comes back with its disk.
 */
export const SILENT_VOTER_MS = 15_000;

export type MemberDuty =
  /** Make the host's present folder a voter in place of any earlier one. */
  | { readonly type: "admit"; readonly host: HostId }
  | { readonly type: "remove"; readonly member: MemberKey };

/** What a leader changes in the membership where control hosts come and go. */
export class MemberDuties {
  readonly #liveAt = new Map<MemberKey, number>();

  /** The next step; none on a host that does not lead. */
  due(status: ConsensusStatus, now: number): MemberDuty | undefined {
    if (status.role !== "leader") {
      this.#liveAt.clear();
      return undefined;
    }
    for (const { member, live } of status.peers) {
      if (live || !this.#liveAt.has(member)) this.#liveAt.set(member, now);
    }
    const { voters, learners } = status.membership;
    const newcomer =
      status.announced.find((member) => !voters.includes(member)) ??
      learners.find((member) => this.#silentMs(member, now) === 0);
    if (newcomer !== undefined) {
      return { type: "admit", host: hostOf(newcomer) };
    }
    return this.#removal(voters, now);
  }

  /**
   * With an even number of voters, one that is lost raises the majority and
   * so the losses that stop the log. With an odd number nothing is gained.
   */
  #removal(voters: readonly MemberKey[], now: number): MemberDuty | undefined {
    if (voters.length < 4 || voters.length % 2 === 1) return undefined;
    const silent = voters.find(
      (member) => this.#silentMs(member, now) >= SILENT_VOTER_MS,
    );
    return silent === undefined
      ? undefined
      : { type: "remove", member: silent };
  }

  #silentMs(member: MemberKey, now: number): number {
    return now - (this.#liveAt.get(member) ?? now);
  }
}
