import { checkKeyAge, MAX_KEY_AGE_MS, parseKey } from "./keys.ts";
import {
  type AttemptId,
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

/** How long a claim is kept; longer than its key is accepted. */
export const CLAIM_RETENTION_MS = MAX_KEY_AGE_MS + 60_000;

/** Limits on the memory of a holder. */
export interface HolderLimits {
  /** Number of claims; each takes about 0.3 KiB without the answer. */
  readonly claims: number;
  /** Total bytes of the stored answers. */
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
  /** `Clock.now()` at which this holder first saw a claim on the key. */
  readonly createdAt: number;
  settled: boolean;
  answer: StoredAnswer | undefined;
}

/**
 * Stores claims on idempotency keys, with the answers of completed requests.
 * Each key has several holders in different entries, which vote on its claims.
 */
export class ClaimHolder {
  readonly #incarnation: number;
  readonly #limits: HolderLimits;
  /** By key, oldest first. */
  readonly #claims = new Map<string, Claim>();
  /** Keys of the claims with a stored answer, oldest first. */
  readonly #answeredKeys = new Set<string>();
  readonly #latestIncarnations = new Map<string, number>();
  #answerBytes = 0;
  #epoch = 0;
  #clockSkewMs: number | undefined;

  constructor(options: { incarnation: number; limits?: HolderLimits }) {
    this.#incarnation = options.incarnation;
    this.#limits = options.limits ?? DEFAULT_HOLDER_LIMITS;
  }

  /** Number of claims. */
  get size(): number {
    return this.#claims.size;
  }

  /** Total bytes of the stored answers. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Applies the current view. */
  configure(
    view: {
      readonly epoch: number;
      readonly entries: readonly { id: string; incarnation: number }[];
    },
    clockSkewMs?: number,
  ): void {
    this.#clockSkewMs = clockSkewMs;
    this.#epoch = Math.max(this.#epoch, view.epoch);
    this.#latestIncarnations.clear();
    for (const { id, incarnation } of view.entries) {
      this.#latestIncarnations.set(id, incarnation);
    }
  }

  /** Handles a message of a claimant; ignores other kinds of messages. */
  receive(from: string, message: ClaimMessage, at: Instant): ClaimSend[] {
    this.tick(at.now);
    switch (message.kind) {
      case "claim.request":
        return this.#handleRequest(from, message.payload, at);
      case "claim.settle":
        this.#handleSettle(from, message.payload, at);
        return [];
      case "claim.release":
        this.#handleRelease(from, message.payload);
        return [];
      default:
        return [];
    }
  }

  /** Removes expired claims. */
  tick(now: number): void {
    for (const [key, claim] of this.#claims) {
      if (now - claim.createdAt < CLAIM_RETENTION_MS) return;
      this.#removeClaim(key);
    }
  }

  #handleRequest(
    from: string,
    request: ClaimRequest,
    at: Instant,
  ): ClaimSend[] {
    const verdict = this.#decide(from, request, at);
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

  #decide(from: string, request: ClaimRequest, at: Instant): Verdict {
    if (request.holder !== this.#incarnation) return { type: "restarted" };
    const claim = this.#claims.get(request.key);
    if (claim) return this.#decideClaimed(from, request, claim);
    if (request.epoch < this.#epoch) {
      return { type: "stale_view", epoch: this.#epoch };
    }
    // A delayed message must not claim a key whose earlier claim has expired.
    const checkedKey = parseKey(request.key).andThen((key) =>
      checkKeyAge(key, at.wallTime, this.#clockSkewMs),
    );
    if (checkedKey.isErr()) return { type: "key_refused" };
    if (this.#claims.size >= this.#limits.claims) return { type: "full" };
    this.#epoch = request.epoch;
    this.#claims.set(request.key, {
      host: from,
      incarnation: request.incarnation,
      attempt: request.attempt,
      ticket: request.ticket,
      fingerprint: request.fingerprint,
      createdAt: at.now,
      settled: false,
      answer: undefined,
    });
    return { type: "granted" };
  }

  #decideClaimed(from: string, request: ClaimRequest, claim: Claim): Verdict {
    if (claim.fingerprint !== request.fingerprint) {
      return { type: "other_request" };
    }
    if (claim.settled) return { type: "settled", answer: claim.answer };
    if (isOwner(from, request, claim)) return { type: "granted" };
    const { host, ticket } = claim;
    const latestIncarnation =
      this.#latestIncarnations.get(host) ?? claim.incarnation;
    return {
      type: "held",
      host,
      ticket,
      gone: latestIncarnation > claim.incarnation,
    };
  }

  #handleSettle(from: string, settle: ClaimSettle, at: Instant): void {
    const claim = this.#claims.get(settle.key);
    if (claim?.settled) {
      const lacksAnswer = isOwner(from, settle, claim) && !claim.answer;
      if (lacksAnswer) claim.answer = this.#storeAnswer(settle);
      return;
    }
    if (!claim && this.#claims.size >= this.#limits.claims) return;
    // Only the attempt that won the quorum settles, so it replaces any claim.
    this.#claims.set(settle.key, {
      host: from,
      incarnation: settle.incarnation,
      attempt: settle.attempt,
      ticket: 0,
      fingerprint: settle.fingerprint,
      createdAt: claim?.createdAt ?? at.now,
      settled: true,
      answer: this.#storeAnswer(settle),
    });
  }

  #storeAnswer({ key, answer }: ClaimSettle): StoredAnswer | undefined {
    if (!answer) return undefined;
    const bytes = answerBytes(answer);
    if (bytes > MAX_ANSWER_BYTES || bytes > this.#limits.answerBytes) {
      return undefined;
    }
    for (const oldestKey of this.#answeredKeys) {
      if (this.#answerBytes + bytes <= this.#limits.answerBytes) break;
      this.#dropAnswer(oldestKey);
    }
    this.#answeredKeys.add(key);
    this.#answerBytes += bytes;
    // Copied, since a decoded body would keep its whole network chunk in
    // memory.
    return { ...answer, body: new Uint8Array(answer.body) };
  }

  #handleRelease(from: string, release: AttemptId): void {
    const claim = this.#claims.get(release.key);
    if (!claim || claim.settled || !isOwner(from, release, claim)) return;
    this.#removeClaim(release.key);
  }

  #dropAnswer(key: string): void {
    const claim = this.#claims.get(key);
    this.#answeredKeys.delete(key);
    if (!claim?.answer) return;
    this.#answerBytes -= answerBytes(claim.answer);
    claim.answer = undefined;
  }

  #removeClaim(key: string): void {
    this.#dropAnswer(key);
    this.#claims.delete(key);
  }
}

function isOwner(from: string, attemptId: AttemptId, claim: Claim): boolean {
  return (
    claim.host === from &&
    claim.incarnation === attemptId.incarnation &&
    claim.attempt === attemptId.attempt
  );
}
