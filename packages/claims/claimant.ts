import {
  type CallFault,
  callFault,
  type HostId,
  type Randomness,
} from "#model";
import type { ClaimEffect, KeyedCall, Settlement } from "./effects.ts";
import { groupsFor, holderName, type Views } from "./holders.ts";
import { checkAge, parseKey } from "./keys.ts";
import {
  type AttemptName,
  answerBytes,
  type ClaimMessage,
  type ClaimReply,
  type ClaimSend,
  type Instant,
  MAX_ANSWER_BYTES,
} from "./messages.ts";
import { Outcomes } from "./outcomes.ts";
import {
  hasSettled,
  type Pending,
  provedUnclaimed,
  standing,
} from "./pending.ts";

/** Time after which a call gives up that reaches no quorum and has no rival. */
export const UNAVAILABLE_AFTER_MS = 500;
/** Pause before holders are asked again; doubles up to the limit. */
const ROUND_MS = 25;
const LONGEST_ROUND_MS = 200;
/** Longer than a round, so that asking again does not lose sight of a rival. */
const RIVAL_REMEMBERED_MS = 1_000;
const RETRY_AFTER_MS = 1_000;
/** Calls that ask for a key at a time. */
const MAX_PENDING = 20_000;

interface Running extends AttemptName {
  readonly fingerprint: number;
  readonly holders: readonly HostId[];
}

/** Claims keys for the calls of this entry. */
export class Claimant {
  readonly #self: HostId;
  readonly #incarnation: number;
  readonly #randomness: Randomness;
  readonly #pending = new Map<string, Pending>();
  readonly #byAttempt = new Map<number, Pending>();
  readonly #running = new Map<string, Running>();
  readonly #outcomes = new Outcomes();
  #views: Views | undefined;
  #attempts = 0;
  #tickets = 0;

  constructor(options: {
    self: HostId;
    incarnation: number;
    randomness: Randomness;
  }) {
    this.#self = options.self;
    this.#incarnation = options.incarnation;
    this.#randomness = options.randomness;
  }

  /** Calls that wait for a decision. */
  get pending(): number {
    return this.#pending.size;
  }

  /**
   * Takes the views in force. Calls that are still waiting need the holders of
   * the new views too.
   */
  configure(views: Views, at: Instant): ClaimEffect[] {
    const changed = views.view.epoch !== this.#views?.view.epoch;
    this.#views = views;
    if (!changed) return [];
    return [...this.#pending.values()].flatMap((call) => this.#ask(call, at));
  }

  /** Asks for a key; gives exactly one grant, denial or replay, in time. */
  claim(call: KeyedCall, at: Instant): ClaimEffect[] {
    const { callId } = call;
    const key = parseKey(call.key).andThen((k) =>
      checkAge(k, at.epoch, this.#views?.clockSkewMs),
    );
    if (key.isErr()) return [{ type: "denied", callId, fault: key.error }];
    if (this.#pending.size >= MAX_PENDING) {
      return [this.#unavailable(callId, "too many claims are pending")];
    }
    const ticket = ++this.#tickets;
    const pending: Pending = {
      callId,
      key: key.value,
      fingerprint: call.fingerprint,
      ticket,
      unavailableAt: at.now + Math.min(call.waitMs, UNAVAILABLE_AFTER_MS),
      waitUntil: at.now + call.waitMs,
      attempt: 0,
      groups: [],
      asked: new Set(),
      awaiting: new Set(),
      verdicts: new Map(),
      yielded: true,
      nextRound: 0,
      rounds: 0,
      rivalSeen: Number.NEGATIVE_INFINITY,
    };
    this.#pending.set(callId, pending);
    return this.#ask(pending, at);
  }

  /** Gives up a call that is still waiting. */
  cancel(callId: string, at: Instant): ClaimEffect[] {
    const pending = this.#pending.get(callId);
    return pending ? this.#end(pending, at) : [];
  }

  /** Tells how a granted call ended. */
  settle(callId: string, outcome: Settlement, at: Instant): ClaimEffect[] {
    const running = this.#running.get(callId);
    if (!running) return [];
    this.#running.delete(callId);
    const { key, incarnation, attempt, fingerprint, holders } = running;
    const name = { key, incarnation, attempt };
    if (outcome.type === "not_started") {
      this.#outcomes.add(attempt, { type: "released" }, at.now);
      return holders.map((to) => release(to, name));
    }
    this.#outcomes.add(attempt, { type: "ran", fingerprint }, at.now);
    const kept =
      outcome.answer && answerBytes(outcome.answer) <= MAX_ANSWER_BYTES;
    const answer = kept ? outcome.answer : undefined;
    const payload = { ...name, fingerprint, answer };
    return holders.map((to) => ({
      type: "send",
      to,
      kind: "claim.settle",
      payload,
    }));
  }

  /** Takes a holder's message; other kinds are ignored. */
  receive(from: HostId, message: ClaimMessage, at: Instant): ClaimEffect[] {
    if (message.payload.incarnation !== this.#incarnation) return [];
    if (message.kind === "claim.reply") {
      return this.#reply(from, message.payload, at);
    }
    if (message.kind !== "claim.inquiry") return [];
    return this.#tellOutcome(from, message.payload);
  }

  /** Asks again and gives up calls whose time is over. */
  tick(at: Instant): ClaimEffect[] {
    this.#outcomes.expire(at.now);
    const effects: ClaimEffect[] = [];
    for (const pending of this.#pending.values()) {
      if (this.#isOver(pending, at.now)) {
        effects.push(...this.#giveUp(pending, at));
      } else if (at.now >= pending.nextRound) {
        effects.push(...this.#nextRound(pending, at));
      }
    }
    return effects;
  }

  #nextRound(pending: Pending, at: Instant): ClaimEffect[] {
    // The holder that may have the answer did not reply.
    if (hasSettled(pending)) {
      return this.#deny(pending, callFault("already_run"), at);
    }
    return this.#ask(pending, at);
  }

  #ask(pending: Pending, at: Instant): ClaimEffect[] {
    const groups = this.#views && groupsFor(pending.key, this.#views);
    this.#schedule(pending, at);
    if (!groups || !this.#views) return [];
    if (pending.yielded) this.#begin(pending);
    pending.groups = groups;
    const holders = new Map(
      groups.flatMap((group) =>
        group.holders.map((holder) => [holderName(holder), holder]),
      ),
    );
    const { key, attempt, ticket, fingerprint } = pending;
    const effects: ClaimEffect[] = [];
    for (const [name, holder] of holders) {
      if (pending.verdicts.get(name)?.type === "granted") continue;
      pending.asked.add(holder.id);
      pending.awaiting.add(name);
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
    // The votes given so far may satisfy the groups of a new view.
    return effects.length > 0 ? effects : this.#decide(pending, at);
  }

  #begin(pending: Pending): void {
    pending.attempt = ++this.#attempts;
    pending.yielded = false;
    pending.asked.clear();
    pending.awaiting.clear();
    pending.verdicts.clear();
    this.#byAttempt.set(pending.attempt, pending);
  }

  #schedule(pending: Pending, at: Instant): void {
    const longest = ROUND_MS * 2 ** Math.min(pending.rounds, 10);
    const pause = Math.min(longest, LONGEST_ROUND_MS);
    // Rivals that ask in step would keep taking votes from each other.
    pending.nextRound = at.now + pause * (0.5 + this.#randomness.next());
    pending.rounds++;
  }

  #reply(from: HostId, reply: ClaimReply, at: Instant): ClaimEffect[] {
    const pending = this.#byAttempt.get(reply.attempt);
    if (!pending || pending.key.text !== reply.key) {
      if (reply.verdict.type !== "granted") return [];
      // A grant that came after the end would block the key for the window.
      return this.#tellOutcome(from, reply);
    }
    const name = holderName({ id: from, incarnation: reply.holder });
    pending.awaiting.delete(name);
    if (reply.verdict.type === "restarted") {
      // The reply carries the new incarnation; the old one is what was asked.
      this.#markRestarted(pending, from, reply.holder);
    } else if (pending.verdicts.get(name)?.type !== "granted") {
      // A grant holds until it is given back, whatever comes late.
      pending.verdicts.set(name, reply.verdict);
      if (reply.verdict.type === "held") pending.rivalSeen = at.now;
    }
    return this.#decide(pending, at);
  }

  #markRestarted(pending: Pending, from: HostId, incarnation: number): void {
    for (const { holders } of pending.groups) {
      for (const holder of holders) {
        if (holder.id !== from || holder.incarnation === incarnation) continue;
        const name = holderName(holder);
        pending.awaiting.delete(name);
        if (pending.verdicts.get(name)?.type === "granted") continue;
        pending.verdicts.set(name, { type: "restarted" });
      }
    }
  }

  #decide(pending: Pending, at: Instant): ClaimEffect[] {
    const { callId } = pending;
    const state = standing(pending, this.#self);
    switch (state.type) {
      case "won":
        return this.#win(pending);
      case "answered":
        return [
          { type: "replayed", callId, answer: state.answer },
          ...this.#end(pending, at),
        ];
      case "ran":
        return this.#deny(pending, callFault("already_run"), at);
      case "rival_gone": {
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
        return this.#giveUp(pending, at);
      case "rival_first":
        return this.#yield(pending, at);
      case "open":
        return [];
    }
  }

  #win(pending: Pending): ClaimEffect[] {
    const { callId, key, attempt, fingerprint, asked } = pending;
    this.#pending.delete(callId);
    this.#byAttempt.delete(attempt);
    this.#running.set(callId, {
      key: key.text,
      incarnation: this.#incarnation,
      attempt,
      fingerprint,
      holders: [...asked],
    });
    return [{ type: "granted", callId }];
  }

  #isOver(pending: Pending, now: number): boolean {
    if (now >= pending.waitUntil) return true;
    return now >= pending.unavailableAt && !hasRival(pending, now);
  }

  #giveUp(pending: Pending, at: Instant): ClaimEffect[] {
    if (hasRival(pending, at.now)) {
      const retryAfterMs = RETRY_AFTER_MS;
      const fault = callFault("already_running", { retryAfterMs });
      return this.#deny(pending, fault, at);
    }
    const proved = pending.groups.length > 0 && provedUnclaimed(pending);
    const fault = callFault("claim_unavailable", {
      // An unreachable holder may know of an earlier run.
      outcome: proved ? "not-run" : "unknown",
      retryAfterMs: RETRY_AFTER_MS,
    });
    return this.#deny(pending, fault, at);
  }

  #unavailable(callId: string, detail: string): ClaimEffect {
    const fault = callFault("claim_unavailable", {
      outcome: "unknown",
      retryAfterMs: RETRY_AFTER_MS,
      detail,
    });
    return { type: "denied", callId, fault };
  }

  #deny(pending: Pending, fault: CallFault, at: Instant): ClaimEffect[] {
    const { callId } = pending;
    return [{ type: "denied", callId, fault }, ...this.#end(pending, at)];
  }

  #end(pending: Pending, at: Instant): ClaimEffect[] {
    this.#pending.delete(pending.callId);
    return this.#yield(pending, at);
  }

  /** Gives back the votes of an attempt, which never counts again. */
  #yield(pending: Pending, at: Instant): ClaimEffect[] {
    if (pending.yielded) return [];
    const { key, attempt, asked } = pending;
    pending.yielded = true;
    this.#byAttempt.delete(attempt);
    this.#outcomes.add(attempt, { type: "released" }, at.now);
    const name = {
      key: key.text,
      incarnation: this.#incarnation,
      attempt,
    };
    return [...asked].map((to) => release(to, name));
  }

  #tellOutcome(to: HostId, { key, attempt }: AttemptName): ClaimEffect[] {
    const outcome = this.#outcomes.get(attempt);
    if (!outcome) return [];
    const name = { key, incarnation: this.#incarnation, attempt };
    if (outcome.type === "released") return [release(to, name)];
    const { fingerprint } = outcome;
    const payload = { ...name, fingerprint };
    return [{ type: "send", to, kind: "claim.settle", payload }];
  }
}

function hasRival(pending: Pending, now: number): boolean {
  return now - pending.rivalSeen < RIVAL_REMEMBERED_MS;
}

function release(to: HostId, payload: AttemptName): ClaimSend {
  return { type: "send", to, kind: "claim.release", payload };
}
