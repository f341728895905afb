import type { TenantLimit } from "./limits.ts";

/** Time ahead for which a question asks, from what was refused before it. */
const EXPECTED_MS = 100;
/** Most tokens that a question asks for beyond the requests that wait. */
const MAX_EXPECTED = 64;

/** Tells a request that waits whether it may run. */
export type Decide = (decision: QuotaDecision) => void;

/** What a refusal rests on, for the log. */
export interface RefusalBasis {
  readonly ratePerS: number;
  /** The owner whose answer counts; undefined without an answer. */
  readonly owner: string | undefined;
  /** Milliseconds since that answer. */
  readonly ageMs: number | undefined;
}

/** Whether a request may run as far as its tenant's quota is concerned. */
export type QuotaDecision =
  | {
      readonly type: "admitted";
      /** Time until which the token may be given back and used again. */
      readonly usableUntil: number;
    }
  | {
      /** Over the quota; or `unavailable`: no owner has answered. */
      readonly type: "refused" | "unavailable";
      readonly retryAfterMs: number;
      readonly basis: RefusalBasis;
    };

interface Waiter {
  readonly decide: Decide;
  readonly since: number;
}

/** The tokens and the waiting requests of one tenant at one entry. */
export class Account {
  limit: TenantLimit;
  /** Number of waiting requests, from the first on, that a question is out for. */
  asked = 0;
  /** The owner that the question went to. */
  askedOwner: string | undefined;
  /** Earliest time of the next question, after one that gave nothing. */
  askAgainAt = 0;
  /** Until when requests are refused without a question. */
  refusedUntil = 0;
  refusal: "refused" | "unavailable" = "refused";
  owner: string | undefined;
  answeredAt = 0;
  readonly #tokens: { count: number; readonly until: number }[] = [];
  readonly #waiters: Waiter[] = [];
  #refusedCount = 0;
  #refusedSince = 0;

  constructor(limit: TenantLimit) {
    this.limit = limit;
  }

  get waiting(): number {
    return this.#waiters.length;
  }

  /** Takes a token in hand: the time until which it was usable, or undefined. */
  takeToken(now: number): number | undefined {
    for (let first = this.#tokens[0]; first; first = this.#tokens[0]) {
      if (first.count > 0 && first.until > now) {
        first.count--;
        return first.until;
      }
      this.#tokens.shift();
    }
    return undefined;
  }

  /** Adds tokens that may be used until then, first for the requests that wait. */
  addTokens(count: number, until: number, now: number): void {
    if (until <= now || count <= 0) return;
    this.#tokens.push({ count, until });
    while (this.#waiters.length > 0) {
      const usableUntil = this.takeToken(now);
      if (usableUntil === undefined) return;
      this.asked = Math.max(0, this.asked - 1);
      this.#waiters.shift()?.decide({ type: "admitted", usableUntil });
    }
  }

  wait(decide: Decide, now: number): void {
    this.#waiters.push({ decide, since: now });
  }

  /** Ends the wait of the first requests. */
  endWaits(count: number, decision: QuotaDecision): void {
    this.asked = Math.max(0, this.asked - count);
    for (const { decide } of this.#waiters.splice(0, count)) decide(decision);
  }

  /** Number of requests that have waited since before then. */
  waitingSince(time: number): number {
    const later = this.#waiters.findIndex(({ since }) => since > time);
    return later < 0 ? this.#waiters.length : later;
  }

  /** Counts a request that was refused without a question. */
  countRefused(now: number): void {
    if (this.#refusedCount === 0) this.#refusedSince = now;
    this.#refusedCount++;
  }

  /**
   * Tokens to ask for: those of the requests that wait, and of the requests that are
   * expected until the next question. Fewer are asked for than are expected within the
   * lifetime of a token, as unused ones are lost.
   */
  wanted(now: number): number {
    const elapsedMs = Math.max(EXPECTED_MS, now - this.#refusedSince);
    const expected = (this.#refusedCount / elapsedMs) * EXPECTED_MS;
    this.#refusedCount = 0;
    const waiting = Math.max(0, this.#waiters.length - this.asked);
    return waiting + Math.min(MAX_EXPECTED, Math.floor(expected));
  }

  basis(now: number): RefusalBasis {
    const { ratePerS } = this.limit;
    const { owner } = this;
    const ageMs =
      owner === undefined ? undefined : Math.round(now - this.answeredAt);
    return { ratePerS, owner, ageMs };
  }
}
