import { checkAge, KEY_WINDOW_MS, parseKey } from "./keys.ts";
import {
  type AttemptName,
  answerBytes,
  type ClaimMessage,
  type ClaimRequest,
  type ClaimSend,
  type ClaimSettle,
  type Instant,
  MAX_ANSWER_BYTES,
  type StoredAnswer,
  type Verdict,
} from "./messages.ts";

/** How long a claim is kept, in milliseconds. */
export const CLAIM_KEPT_MS = KEY_WINDOW_MS + 60_000;

/** Limits of a holder's memory. */
export interface HolderLimits {
  /** Keys; about 0.3 KiB each without the answer. */
  readonly claims: number;
  /** Bytes of stored answers, over all keys. */
  readonly answerBytes: number;
}

export const DEFAULT_HOLDER_LIMITS: HolderLimits = {
  claims: 200_000,
  answerBytes: 64 * 1024 * 1024,
};

interface Claim {
  readonly host: string;
  readonly incarnation: number;
  readonly attempt: number;
  readonly ticket: number;
  readonly fingerprint: number;
  /** `Clock.now()` of the first claim that this holder saw. */
  readonly since: number;
  settled: boolean;
  answer: StoredAnswer | undefined;
}

/** Keeps the claims on keys for which this entry is one of the holders. */
export class ClaimHolder {
  readonly #incarnation: number;
  readonly #limits: HolderLimits;
  /** Oldest first. */
  readonly #claims = new Map<string, Claim>();
  /** Keys with a stored answer, oldest first. */
  readonly #answered = new Set<string>();
  readonly #incarnations = new Map<string, number>();
  #answerBytes = 0;
  #epoch = 0;
  #clockSkewMs: number | undefined;

  constructor(options: { incarnation: number; limits?: HolderLimits }) {
    this.#incarnation = options.incarnation;
    this.#limits = options.limits ?? DEFAULT_HOLDER_LIMITS;
  }

  /** Number of keys held. */
  get size(): number {
    return this.#claims.size;
  }

  /** Bytes of stored answers. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Takes the present view. */
  configure(
    view: {
      readonly epoch: number;
      readonly entries: readonly { id: string; incarnation: number }[];
    },
    clockSkewMs?: number,
  ): void {
    this.#clockSkewMs = clockSkewMs;
    this.#epoch = Math.max(this.#epoch, view.epoch);
    this.#incarnations.clear();
    for (const { id, incarnation } of view.entries) {
      this.#incarnations.set(id, incarnation);
    }
  }

  /** Takes a claimant's message; other kinds are ignored. */
  receive(from: string, message: ClaimMessage, at: Instant): ClaimSend[] {
    this.tick(at.now);
    switch (message.kind) {
      case "claim.request":
        return this.#request(from, message.payload, at);
      case "claim.settle":
        this.#settle(from, message.payload, at);
        return [];
      case "claim.release":
        this.#release(from, message.payload);
        return [];
      default:
        return [];
    }
  }

  /** Forgets claims whose time is over. */
  tick(now: number): void {
    for (const [key, claim] of this.#claims) {
      if (now - claim.since < CLAIM_KEPT_MS) return;
      this.#forget(key);
    }
  }

  #request(from: string, request: ClaimRequest, at: Instant): ClaimSend[] {
    const verdict = this.#judge(from, request, at);
    const { key, incarnation, attempt } = request;
    const holder = this.#incarnation;
    const payload = { key, incarnation, attempt, holder, verdict };
    const effects: ClaimSend[] = [
      { type: "send", to: from, kind: "claim.reply", payload },
    ];
    const claim = this.#claims.get(key);
    if (verdict.type === "held" && !verdict.gone && claim) {
      effects.push({
        type: "send",
        to: claim.host,
        kind: "claim.inquiry",
        payload: {
          key,
          incarnation: claim.incarnation,
          attempt: claim.attempt,
        },
      });
    }
    return effects;
  }

  #judge(from: string, request: ClaimRequest, at: Instant): Verdict {
    if (request.holder !== this.#incarnation) return { type: "restarted" };
    const claim = this.#claims.get(request.key);
    if (claim) return this.#judgeHeld(from, request, claim);
    if (request.epoch < this.#epoch) {
      return { type: "stale_view", epoch: this.#epoch };
    }
    // A message that was on its way for long must not claim a key whose
    // earlier claim has been forgotten.
    const fresh = parseKey(request.key).andThen((key) =>
      checkAge(key, at.epoch, this.#clockSkewMs),
    );
    if (fresh.isErr()) return { type: "key_refused" };
    if (this.#claims.size >= this.#limits.claims) return { type: "full" };
    this.#epoch = request.epoch;
    this.#claims.set(request.key, {
      host: from,
      incarnation: request.incarnation,
      attempt: request.attempt,
      ticket: request.ticket,
      fingerprint: request.fingerprint,
      since: at.now,
      settled: false,
      answer: undefined,
    });
    return { type: "granted" };
  }

  #judgeHeld(from: string, request: ClaimRequest, claim: Claim): Verdict {
    if (claim.fingerprint !== request.fingerprint) {
      return { type: "other_request" };
    }
    if (claim.settled) return { type: "settled", answer: claim.answer };
    if (isOwner(from, request, claim)) return { type: "granted" };
    const { host, ticket } = claim;
    const newest = this.#incarnations.get(host) ?? claim.incarnation;
    return { type: "held", host, ticket, gone: newest > claim.incarnation };
  }

  #settle(from: string, settle: ClaimSettle, at: Instant): void {
    const claim = this.#claims.get(settle.key);
    if (claim?.settled) {
      const missing = isOwner(from, settle, claim) && !claim.answer;
      if (missing) claim.answer = this.#store(settle);
      return;
    }
    if (!claim && this.#claims.size >= this.#limits.claims) return;
    // Only the attempt that won settles, so it replaces any other's claim.
    this.#claims.set(settle.key, {
      host: from,
      incarnation: settle.incarnation,
      attempt: settle.attempt,
      ticket: 0,
      fingerprint: settle.fingerprint,
      since: claim?.since ?? at.now,
      settled: true,
      answer: this.#store(settle),
    });
  }

  #store({ key, answer }: ClaimSettle): StoredAnswer | undefined {
    if (!answer) return undefined;
    const bytes = answerBytes(answer);
    if (bytes > MAX_ANSWER_BYTES || bytes > this.#limits.answerBytes) {
      return undefined;
    }
    for (const oldest of this.#answered) {
      if (this.#answerBytes + bytes <= this.#limits.answerBytes) break;
      this.#dropAnswer(oldest);
    }
    this.#answered.add(key);
    this.#answerBytes += bytes;
    // A decoded body is a view that would keep its whole network chunk alive.
    return { ...answer, body: new Uint8Array(answer.body) };
  }

  #release(from: string, release: AttemptName): void {
    const claim = this.#claims.get(release.key);
    if (!claim || claim.settled || !isOwner(from, release, claim)) return;
    this.#forget(release.key);
  }

  #dropAnswer(key: string): void {
    const claim = this.#claims.get(key);
    this.#answered.delete(key);
    if (!claim?.answer) return;
    this.#answerBytes -= answerBytes(claim.answer);
    claim.answer = undefined;
  }

  #forget(key: string): void {
    this.#dropAnswer(key);
    this.#claims.delete(key);
  }
}

function isOwner(from: string, name: AttemptName, claim: Claim): boolean {
  return (
    claim.host === from &&
    claim.incarnation === name.incarnation &&
    claim.attempt === name.attempt
  );
}
