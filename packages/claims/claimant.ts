import {
  type CallFault,
  callFault,
  type HostId,
  type Randomness,
} from "#model";
import type { ClaimEffect, KeyedCall, Settlement } from "./effects.ts";
import { type ClaimViews, holderGroupsFor, holderKey } from "./holders.ts";
import { checkKeyAge, parseKey } from "./keys.ts";
import {
  type AttemptId,
  answerBytes,
  type ClaimMessage,
  type ClaimReply,
  type ClaimSend,
  type Instant,
  MAX_ANSWER_BYTES,
} from "./messages.ts";
import {
  evaluateVerdicts,
  hasSettledVerdict,
  isProvenUnclaimed,
  type PendingClaim,
} from "./pending_claim.ts";
import { RecentOutcomes } from "./recent_outcomes.ts";

/** Time after which a claim fails that reaches no quorum and has no rival. */
export const NO_QUORUM_TIMEOUT_MS = 500;
/**
 * Delay before holders are asked again; doubles in each round up to the limit.
 */
const INITIAL_ROUND_DELAY_MS = 25;
const MAX_ROUND_DELAY_MS = 200;
/** How long a rival is assumed to exist; longer than a round of requests. */
const RIVAL_MEMORY_MS = 1_000;
const RETRY_AFTER_MS = 1_000;
/** Maximum number of concurrent undecided claims. */
const MAX_PENDING = 20_000;

/** A call whose key was granted and which has not been settled. */
interface GrantedCall extends AttemptId {
  readonly fingerprint: number;
  readonly holders: readonly HostId[];
}

/**
 * Claims idempotency keys for the calls of this entry: requests votes from the
 * holders of a key, and grants the call once a quorum of each group agrees.
 */
export class Claimant {
  readonly #self: HostId;
  readonly #incarnation: number;
  readonly #randomness: Randomness;
  readonly #pendingClaims = new Map<string, PendingClaim>();
  readonly #pendingByAttempt = new Map<number, PendingClaim>();
  readonly #grantedCalls = new Map<string, GrantedCall>();
  readonly #outcomes = new RecentOutcomes();
  #views: ClaimViews | undefined;
  #lastAttempt = 0;
  #lastTicket = 0;

  constructor(options: {
    self: HostId;
    incarnation: number;
    randomness: Randomness;
  }) {
    this.#self = options.self;
    this.#incarnation = options.incarnation;
    this.#randomness = options.randomness;
  }

  /** Number of undecided claims. */
  get pendingCount(): number {
    return this.#pendingClaims.size;
  }

  /**
   * Applies the views in force. Undecided claims then also need the votes of
   * the holders in a new view.
   */
  configure(views: ClaimViews, at: Instant): ClaimEffect[] {
    const changed = views.view.epoch !== this.#views?.view.epoch;
    this.#views = views;
    if (!changed) return [];
    return [...this.#pendingClaims.values()].flatMap((call) =>
      this.#requestVotes(call, at),
    );
  }

  /** Claims a key; exactly one effect grants, denies or replays it later. */
  claim(call: KeyedCall, at: Instant): ClaimEffect[] {
    const { callId } = call;
    const key = parseKey(call.key).andThen((k) =>
      checkKeyAge(k, at.wallTime, this.#views?.clockSkewMs),
    );
    if (key.isErr()) return [{ type: "denied", callId, fault: key.error }];
    if (this.#pendingClaims.size >= MAX_PENDING) {
      return [this.#unavailableDenial(callId, "too many claims are pending")];
    }
    const ticket = ++this.#lastTicket;
    const pending: PendingClaim = {
      callId,
      key: key.value,
      fingerprint: call.fingerprint,
      ticket,
      quorumDeadline: at.now + Math.min(call.waitMs, NO_QUORUM_TIMEOUT_MS),
      rivalDeadline: at.now + call.waitMs,
      attempt: 0,
      groups: [],
      contactedHolders: new Set(),
      awaitedHolders: new Set(),
      verdicts: new Map(),
      votesReleased: true,
      nextRoundAt: 0,
      rounds: 0,
      rivalSeenAt: Number.NEGATIVE_INFINITY,
    };
    this.#pendingClaims.set(callId, pending);
    return this.#requestVotes(pending, at);
  }

  /** Cancels an undecided claim. */
  cancel(callId: string, at: Instant): ClaimEffect[] {
    const pending = this.#pendingClaims.get(callId);
    return pending ? this.#finish(pending, at) : [];
  }

  /** Reports the result of a granted call to the holders. */
  settle(callId: string, outcome: Settlement, at: Instant): ClaimEffect[] {
    const granted = this.#grantedCalls.get(callId);
    if (!granted) return [];
    this.#grantedCalls.delete(callId);
    const { key, incarnation, attempt, fingerprint, holders } = granted;
    const attemptId = { key, incarnation, attempt };
    if (outcome.type === "not_started") {
      this.#outcomes.add(attempt, { type: "released" }, at.now);
      return holders.map((to) => releaseMessage(to, attemptId));
    }
    this.#outcomes.add(attempt, { type: "ran", fingerprint }, at.now);
    const kept =
      outcome.answer && answerBytes(outcome.answer) <= MAX_ANSWER_BYTES;
    const answer = kept ? outcome.answer : undefined;
    const payload = { ...attemptId, fingerprint, answer };
    return holders.map((to) => ({
      type: "send",
      to,
      kind: "claim.settle",
      payload,
    }));
  }

  /** Handles a message of a holder; ignores other kinds of messages. */
  receive(from: HostId, message: ClaimMessage, at: Instant): ClaimEffect[] {
    if (message.payload.incarnation !== this.#incarnation) return [];
    if (message.kind === "claim.reply") {
      return this.#handleReply(from, message.payload, at);
    }
    if (message.kind !== "claim.inquiry") return [];
    return this.#sendOutcome(from, message.payload);
  }

  /** Repeats requests to holders and denies claims that timed out. */
  tick(at: Instant): ClaimEffect[] {
    this.#outcomes.expire(at.now);
    const effects: ClaimEffect[] = [];
    for (const pending of this.#pendingClaims.values()) {
      if (this.#isTimedOut(pending, at.now)) {
        effects.push(...this.#denyUndecided(pending, at));
      } else if (at.now >= pending.nextRoundAt) {
        effects.push(...this.#startNextRound(pending, at));
      }
    }
    return effects;
  }

  #startNextRound(pending: PendingClaim, at: Instant): ClaimEffect[] {
    // The request was executed, but no holder replied with its answer in time.
    if (hasSettledVerdict(pending)) {
      return this.#deny(pending, callFault("already_run"), at);
    }
    return this.#requestVotes(pending, at);
  }

  #requestVotes(pending: PendingClaim, at: Instant): ClaimEffect[] {
    const groups = this.#views && holderGroupsFor(pending.key, this.#views);
    this.#scheduleNextRound(pending, at);
    if (!groups || !this.#views) return [];
    if (pending.votesReleased) this.#beginAttempt(pending);
    pending.groups = groups;
    const holders = new Map(
      groups.flatMap((group) =>
        group.holders.map((holder) => [holderKey(holder), holder]),
      ),
    );
    const { key, attempt, ticket, fingerprint } = pending;
    const effects: ClaimEffect[] = [];
    for (const [holderId, holder] of holders) {
      if (pending.verdicts.get(holderId)?.type === "granted") continue;
      pending.contactedHolders.add(holder.id);
      pending.awaitedHolders.add(holderId);
      effects.push({
        type: "send",
        to: holder.id,
        kind: "claim.request",
        payload: {
          key: key.text,
          incarnation: this.#incarnation,
          attempt,
          ticket,
          holder: holder.incarnation,
          epoch: this.#views.view.epoch,
          fingerprint,
        },
      });
    }
    // The votes so far may already form a quorum in the groups of a new view.
    return effects.length > 0 ? effects : this.#evaluate(pending, at);
  }

  #beginAttempt(pending: PendingClaim): void {
    pending.attempt = ++this.#lastAttempt;
    pending.votesReleased = false;
    pending.contactedHolders.clear();
    pending.awaitedHolders.clear();
    pending.verdicts.clear();
    this.#pendingByAttempt.set(pending.attempt, pending);
  }

  #scheduleNextRound(pending: PendingClaim, at: Instant): void {
    const backoff = INITIAL_ROUND_DELAY_MS * 2 ** Math.min(pending.rounds, 10);
    const delay = Math.min(backoff, MAX_ROUND_DELAY_MS);
    // Jitter, since rivals in lockstep would keep taking votes from each other.
    pending.nextRoundAt = at.now + delay * (0.5 + this.#randomness.next());
    pending.rounds++;
  }

  #handleReply(from: HostId, reply: ClaimReply, at: Instant): ClaimEffect[] {
    const pending = this.#pendingByAttempt.get(reply.attempt);
    if (!pending || pending.key.text !== reply.key) {
      if (reply.verdict.type !== "granted") return [];
      // A grant that arrives after the end would block the key until it
      // expires.
      return this.#sendOutcome(from, reply);
    }
    const holderId = holderKey({ id: from, incarnation: reply.holder });
    pending.awaitedHolders.delete(holderId);
    if (reply.verdict.type === "restarted") {
      // The reply has the new incarnation, while the old one was asked.
      this.#markRestarted(pending, from, reply.holder);
    } else if (pending.verdicts.get(holderId)?.type !== "granted") {
      // A grant is valid until it is released, whatever arrives later.
      pending.verdicts.set(holderId, reply.verdict);
      if (reply.verdict.type === "held") pending.rivalSeenAt = at.now;
    }
    return this.#evaluate(pending, at);
  }

  #markRestarted(
    pending: PendingClaim,
    from: HostId,
    incarnation: number,
  ): void {
    for (const { holders } of pending.groups) {
      for (const holder of holders) {
        if (holder.id !== from || holder.incarnation === incarnation) continue;
        const holderId = holderKey(holder);
        pending.awaitedHolders.delete(holderId);
        if (pending.verdicts.get(holderId)?.type === "granted") continue;
        pending.verdicts.set(holderId, { type: "restarted" });
      }
    }
  }

  #evaluate(pending: PendingClaim, at: Instant): ClaimEffect[] {
    const { callId } = pending;
    const state = evaluateVerdicts(pending, this.#self);
    switch (state.type) {
      case "won":
        return this.#grant(pending);
      case "answered":
        return [
          { type: "replayed", callId, answer: state.answer },
          ...this.#finish(pending, at),
        ];
      case "ran":
        return this.#deny(pending, callFault("already_run"), at);
      case "rival_restarted": {
        const detail = "the entry that claimed the key has restarted";
        return this.#deny(pending, callFault("already_run", { detail }), at);
      }
      case "other_request": {
        const detail = "the key belongs to a request with other content";
        const outcome = "unknown";
        const fault = callFault("invalid_request", { outcome, detail });
        return this.#deny(pending, fault, at);
      }
      case "full":
        return this.#denyUndecided(pending, at);
      case "rival_has_priority":
        return this.#releaseVotes(pending, at);
      case "open":
        return [];
    }
  }

  #grant(pending: PendingClaim): ClaimEffect[] {
    const { callId, key, attempt, fingerprint, contactedHolders } = pending;
    this.#pendingClaims.delete(callId);
    this.#pendingByAttempt.delete(attempt);
    this.#grantedCalls.set(callId, {
      key: key.text,
      incarnation: this.#incarnation,
      attempt,
      fingerprint,
      holders: [...contactedHolders],
    });
    return [{ type: "granted", callId }];
  }

  #isTimedOut(pending: PendingClaim, now: number): boolean {
    if (now >= pending.rivalDeadline) return true;
    return now >= pending.quorumDeadline && !sawRivalRecently(pending, now);
  }

  #denyUndecided(pending: PendingClaim, at: Instant): ClaimEffect[] {
    if (sawRivalRecently(pending, at.now)) {
      const retryAfterMs = RETRY_AFTER_MS;
      const fault = callFault("already_running", { retryAfterMs });
      return this.#deny(pending, fault, at);
    }
    const isProven = pending.groups.length > 0 && isProvenUnclaimed(pending);
    const fault = callFault("claim_unavailable", {
      // An unreachable holder may know of an earlier execution.
      outcome: isProven ? "not-run" : "unknown",
      retryAfterMs: RETRY_AFTER_MS,
    });
    return this.#deny(pending, fault, at);
  }

  #unavailableDenial(callId: string, detail: string): ClaimEffect {
    const fault = callFault("claim_unavailable", {
      outcome: "unknown",
      retryAfterMs: RETRY_AFTER_MS,
      detail,
    });
    return { type: "denied", callId, fault };
  }

  #deny(pending: PendingClaim, fault: CallFault, at: Instant): ClaimEffect[] {
    const { callId } = pending;
    return [{ type: "denied", callId, fault }, ...this.#finish(pending, at)];
  }

  #finish(pending: PendingClaim, at: Instant): ClaimEffect[] {
    this.#pendingClaims.delete(pending.callId);
    return this.#releaseVotes(pending, at);
  }

  /** Ends an attempt and releases its votes. */
  #releaseVotes(pending: PendingClaim, at: Instant): ClaimEffect[] {
    if (pending.votesReleased) return [];
    const { key, attempt, contactedHolders } = pending;
    pending.votesReleased = true;
    this.#pendingByAttempt.delete(attempt);
    this.#outcomes.add(attempt, { type: "released" }, at.now);
    const attemptId = {
      key: key.text,
      incarnation: this.#incarnation,
      attempt,
    };
    return [...contactedHolders].map((to) => releaseMessage(to, attemptId));
  }

  #sendOutcome(to: HostId, { key, attempt }: AttemptId): ClaimEffect[] {
    const outcome = this.#outcomes.get(attempt);
    if (!outcome) return [];
    const attemptId = { key, incarnation: this.#incarnation, attempt };
    if (outcome.type === "released") return [releaseMessage(to, attemptId)];
    const { fingerprint } = outcome;
    const payload = { ...attemptId, fingerprint };
    return [{ type: "send", to, kind: "claim.settle", payload }];
  }
}

function sawRivalRecently(pending: PendingClaim, now: number): boolean {
  return now - pending.rivalSeenAt < RIVAL_MEMORY_MS;
}

function releaseMessage(to: HostId, payload: AttemptId): ClaimSend {
  return { type: "send", to, kind: "claim.release", payload };
}
