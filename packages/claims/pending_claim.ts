import type { HolderGroup } from "./holders.ts";
import { holderKey } from "./holders.ts";
import type { ClaimKey } from "./keys.ts";
import type { StoredAnswer, Verdict } from "./messages.ts";

/** The state of an undecided claim at its claimant. */
export interface PendingClaim {
  readonly callId: string;
  readonly key: ClaimKey;
  readonly fingerprint: number;
  readonly ticket: number;
  /** `Clock.now()` until which a claim without a rival waits for a quorum. */
  readonly quorumDeadline: number;
  /** `Clock.now()` until which the claim waits for the outcome of a rival. */
  readonly rivalDeadline: number;
  /** A new number after the votes of the previous attempt were released. */
  attempt: number;
  groups: readonly HolderGroup[];
  /** Host ids of the holders that were asked in this attempt. */
  contactedHolders: Set<string>;
  /** `holderKey` of the holders whose reply to the last request is missing. */
  awaitedHolders: Set<string>;
  /** By `holderKey`. */
  verdicts: Map<string, Verdict>;
  /** The attempt has ended; the next round begins a new one. */
  votesReleased: boolean;
  nextRoundAt: number;
  rounds: number;
  /** `Clock.now()` at which a holder last reported a rival attempt. */
  rivalSeenAt: number;
}

/** The state of a claim according to the verdicts so far. */
export type ClaimState =
  /** A quorum of each group granted the key. */
  | { readonly type: "won" }
  /** The request was executed before, with this answer. */
  | { readonly type: "answered"; readonly answer: StoredAnswer }
  /** The request was or may have been executed, but no answer is stored. */
  | { readonly type: "ran" }
  /** The key is claimed for a request with another fingerprint. */
  | { readonly type: "other_request" }
  /** A quorum has no claim on the key, but no room for one either. */
  | { readonly type: "full" }
  /** A rival with priority blocks the claim. */
  | { readonly type: "rival_has_priority" }
  /** Claims of restarted claimants block the claim for good. */
  | { readonly type: "rival_restarted" }
  /** Undecided. */
  | { readonly type: "open" };

/** Evaluates the verdicts; the host id `self` decides between equal tickets. */
export function evaluateVerdicts(
  pending: PendingClaim,
  self: string,
): ClaimState {
  const verdicts = [...pending.verdicts.values()];
  for (const verdict of verdicts) {
    if (verdict.type !== "settled" || !verdict.answer) continue;
    return { type: "answered", answer: verdict.answer };
  }
  if (verdicts.some(({ type }) => type === "other_request")) {
    return { type: "other_request" };
  }
  const allReplied = pending.awaitedHolders.size === 0;
  if (hasSettledVerdict(pending)) {
    // Another holder may have the answer.
    return allReplied ? { type: "ran" } : { type: "open" };
  }
  if (everyGroupHasQuorum(pending, (verdict) => verdict?.type === "granted")) {
    return { type: "won" };
  }
  if (allReplied && everyGroupHasQuorum(pending, isUnclaimed))
    return { type: "full" };
  if (
    everyGroupHasQuorum(pending, (verdict) => mayStillGrant(verdict, false))
  ) {
    return { type: "open" };
  }
  if (
    !everyGroupHasQuorum(pending, (verdict) => mayStillGrant(verdict, true))
  ) {
    if (verdicts.some(isRestartedRival)) return { type: "rival_restarted" };
  }
  return verdicts.some((verdict) => rivalHasPriority(verdict, pending, self))
    ? { type: "rival_has_priority" }
    : { type: "open" };
}

/**
 * Whether the verdicts prove that the key has never been granted to a rival.
 */
export function isProvenUnclaimed(pending: PendingClaim): boolean {
  return everyGroupHasQuorum(pending, isUnclaimed);
}

/** Whether a holder reported that the request was executed or may have been. */
export function hasSettledVerdict(pending: PendingClaim): boolean {
  return [...pending.verdicts.values()].some(({ type }) => type === "settled");
}

function everyGroupHasQuorum(
  pending: PendingClaim,
  isVote: (verdict: Verdict | undefined) => boolean,
): boolean {
  return pending.groups.every(({ holders, quorum }) => {
    const votes = holders.filter((holder) =>
      isVote(pending.verdicts.get(holderKey(holder))),
    );
    return votes.length >= quorum;
  });
}

function isUnclaimed(verdict: Verdict | undefined): boolean {
  return verdict?.type === "granted" || verdict?.type === "full";
}

/**
 * Whether a holder can still grant the claim. With `countRivals`, also if a
 * live rival has the claim, since it may release it.
 */
function mayStillGrant(verdict: Verdict | undefined, countRivals: boolean) {
  if (!verdict) return true;
  if (verdict.type === "held") return countRivals && !verdict.gone;
  return verdict.type !== "restarted";
}

function isRestartedRival(verdict: Verdict): boolean {
  return verdict.type === "held" && verdict.gone;
}

function rivalHasPriority(
  verdict: Verdict,
  pending: PendingClaim,
  self: string,
): boolean {
  if (verdict.type !== "held" || verdict.gone) return false;
  if (verdict.ticket !== pending.ticket) return verdict.ticket < pending.ticket;
  return verdict.host < self;
}
