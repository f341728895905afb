import type { ConsensusStatus } from "./effects.ts";
import {
  type ChangeContext,
  hostOf,
  identityOf,
  type MemberKey,
} from "./members.ts";

/** The context of a change to be made now, from the status of the leader. */
export function changeContextOf(status: ConsensusStatus): ChangeContext {
  const { self, peers, commit, membership, membershipIndex } = status;
  const peerOf = (member: MemberKey) => peers.find((p) => p.member === member);
  return {
    membership,
    membershipIndex,
    commit,
    committedInTerm: status.committedInTerm,
    announced: new Map(
      status.announced.map((member) => [hostOf(member), identityOf(member)]),
    ),
    match: (member) => peerOf(member)?.match ?? (member === self ? commit : 0),
    live: (member) => member === self || (peerOf(member)?.live ?? false),
  };
}
