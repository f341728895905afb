import type { HolderGroup } from "./holders.ts";
import { holderName } from "./holders.ts";
import type { ClaimKey } from "./keys.ts";
import type { StoredAnswer, Verdict } from "./messages.ts";

/** A call that asks for its key. */
export interface Pending {
  readonly callId: string;
  readonly key: ClaimKey;
  readonly fingerprint: number;
  readonly ticket: number;
  /** `Clock.now()` at which a call without a rival gives up. */
  readonly unavailableAt: number;
  /** `Clock.now()` until which it waits for a rival's outcome. */
  readonly waitUntil: number;
  /** Changes when the votes of the former attempt were given back. */
  attempt: number;
  groups: readonly HolderGroup[];
  /** Holders that have been asked in this attempt, by name. */
  asked: Set<string>;
  /** Holders whose reply to the last round is missing. */
  awaiting: Set<string>;
  verdicts: Map<string, Verdict>;
  /** The attempt was given up; the next round begins a new one. */
  yielded: boolean;
  nextRound: number;
  rounds: number;
  /** `Clock.now()` at which a holder last told of another attempt. */
  rivalSeen: number;
}

/** What the verdicts so far amount to. */
export type Standing =
  | { readonly type: "won" }
  | { readonly type: "answered"; readonly answer: StoredAnswer }
  | { readonly type: "ran" }
  | { readonly type: "other_request" }
  /** No quorum knows of a claim, and none can be made for lack of room. */
  | { readonly type: "full" }
  /** A rival that comes first stands in the way. */
  | { readonly type: "rival_first" }
  /** Only claims of restarted claimants stand in the way. */
  | { readonly type: "rival_gone" }
  | { readonly type: "open" };

/** Judges a pending call; `self` decides between equal tickets. */
export function standing(pending: Pending, self: string): Standing {
  const verdicts = [...pending.verdicts.values()];
  for (const verdict of verdicts) {
    if (verdict.type !== "settled" || !verdict.answer) continue;
    return { type: "answered", answer: verdict.answer };
  }
  if (verdicts.some(({ type }) => type === "other_request")) {
    return { type: "other_request" };
  }
  const complete = pending.awaiting.size === 0;
  if (hasSettled(pending)) {
    // Another holder may have the answer.
    return complete ? { type: "ran" } : { type: "open" };
  }
  if (everyGroup(pending, (verdict) => verdict?.type === "granted")) {
    return { type: "won" };
  }
  if (complete && everyGroup(pending, isFree)) return { type: "full" };
  if (everyGroup(pending, (verdict) => isPossible(verdict, false))) {
    return { type: "open" };
  }
  if (!everyGroup(pending, (verdict) => isPossible(verdict, true))) {
    if (verdicts.some(isGone)) return { type: "rival_gone" };
  }
  return verdicts.some((verdict) => comesFirst(verdict, pending, self))
    ? { type: "rival_first" }
    : { type: "open" };
}

/** Whether the holders' words prove that no rival has ever won the key. */
export function provedUnclaimed(pending: Pending): boolean {
  return everyGroup(pending, isFree);
}

/** Whether a holder has told that the request ran or may have run. */
export function hasSettled(pending: Pending): boolean {
  return [...pending.verdicts.values()].some(({ type }) => type === "settled");
}

function everyGroup(
  pending: Pending,
  counts: (verdict: Verdict | undefined) => boolean,
): boolean {
  return pending.groups.every(({ holders, quorum }) => {
    const votes = holders.filter((holder) =>
      counts(pending.verdicts.get(holderName(holder))),
    );
    return votes.length >= quorum;
  });
}

function isFree(verdict: Verdict | undefined): boolean {
  return verdict?.type === "granted" || verdict?.type === "full";
}

function isPossible(verdict: Verdict | undefined, withRivals: boolean) {
  if (!verdict) return true;
  if (verdict.type === "held") return withRivals && !verdict.gone;
  return verdict.type !== "restarted";
}

function isGone(verdict: Verdict): boolean {
  return verdict.type === "held" && verdict.gone;
}

function comesFirst(verdict: Verdict, pending: Pending, self: string): boolean {
  if (verdict.type !== "held" || verdict.gone) return false;
  if (verdict.ticket !== pending.ticket) return verdict.ticket < pending.ticket;
  return verdict.host < self;
}
