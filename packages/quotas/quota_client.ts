import type { View } from "#model";
import { Account, type Decide, type QuotaDecision } from "./account.ts";
import { EntryCount } from "./entry_count.ts";
import {
  EMPTY_QUOTA_TABLE,
  type QuotaBounds,
  type QuotaTable,
  type TenantLimit,
  tokenLifetimeMs,
} from "./limits.ts";
import type { AskEffect, QuotaGrant, TenantGrant } from "./messages.ts";
import { OwnRate } from "./own_rate.ts";
import { type AskedTenants, OwnerLinks } from "./owner_links.ts";

/**
 * Longest wait of a request for a token. It is above the time for an owner to answer,
 * as the processor of a small host is taken from it for up to 100 ms.
 */
const MAX_WAIT_MS = 400;
/** Retry delay while no owner has answered. */
const UNAVAILABLE_RETRY_MS = 100;
/** Time until the next question, after an answer without tokens or a time. */
const ASK_AGAIN_MS = 20;
/**
 * Age of control's confirmation up to which an entry votes. An entry that is cut off
 * from control may have left the view, and its rate is divided among the others.
 */
export const MAX_CONFIRMATION_AGE_MS = 3_000;
/** Gap between two ticks from which silence may be this process's own fault. */
const STALL_MS = 30;

const UNLIMITED: QuotaDecision = { type: "admitted", usableUntil: 0 };

export interface QuotaClientOptions {
  readonly bounds: QuotaBounds;
  /** When the process started. */
  readonly startedAt: number;
  /** A random number in [0, 1). */
  readonly phase: number;
  /** Milliseconds since control's last confirmation of the configuration. */
  readonly confirmationAgeMs: () => number;
}

/**
 * Takes tokens for the requests of one entry, and asks the owners for them. Messages
 * are collected until `flush`, so that each owner gets one per turn. Times are in
 * milliseconds.
 *
 * Load pattern: tenants with a fraction of a request per second at each entry, beside
 * tenants that send many times their quota.
 */
export class QuotaClient {
  readonly #options: QuotaClientOptions;
  readonly #links: OwnerLinks;
  readonly #ownRate: OwnRate;
  readonly #entryCount = new EntryCount();
  readonly #accounts = new Map<string, Account>();
  /** Accounts with requests that wait. */
  readonly #waiting = new Set<Account>();
  readonly #lifetimeMs: number;
  #table: QuotaTable = EMPTY_QUOTA_TABLE;
  #tickedAt = 0;
  #wasStalled = false;

  constructor(options: QuotaClientOptions) {
    this.#options = options;
    this.#links = new OwnerLinks(options);
    const { overage } = options.bounds;
    this.#ownRate = new OwnRate({ overage, phase: options.phase });
    this.#lifetimeMs = tokenLifetimeMs(options.bounds);
  }

  /** Whether any tenant has a quota. */
  get isActive(): boolean {
    return this.#table.limits.size > 0;
  }

  /** Number of shards, and for how many an owner has this entry's vote. */
  votes(now: number): { readonly shards: number; readonly voted: number } {
    const { shardCount: shards } = this.#links;
    return { shards, voted: this.#links.votedShards(now) };
  }

  /** Whether requests wait, or answers, so that `tick` is due soon. */
  get isWaiting(): boolean {
    return this.#waiting.size > 0 || this.#links.isWaiting;
  }

  configure(
    table: QuotaTable,
    {
      view,
      formerViews = [],
    }: { readonly view: View; readonly formerViews?: readonly View[] },
    now: number,
  ): void {
    this.#table = table;
    this.#entryCount.configure(view, now);
    const shards = this.isActive ? table.shardCount : 0;
    this.#links.configure(view, shards, formerViews);
    this.#ownRate.retain(table.limits);
    for (const [name, account] of this.#accounts) {
      const limit = table.limits.get(name);
      if (limit) {
        // A time to come back that a lower quota gave may be far ahead.
        if (account.limit !== limit) account.refusedUntil = 0;
        account.limit = limit;
        continue;
      }
      account.endWaits(account.waiting, UNLIMITED);
      this.#accounts.delete(name);
      this.#waiting.delete(account);
    }
  }

  /** Number of entries over which the tenants' rates are divided. */
  entries(now: number): number {
    return this.#entryCount.count(now);
  }

  /**
   * Takes a token for a request. Undefined if the request has to wait for an owner's
   * answer; `decide` is then called once, and never before this returns.
   */
  take(tenant: string, now: number, decide: Decide): QuotaDecision | undefined {
    const limit = this.#table.limits.get(tenant);
    if (!limit) return UNLIMITED;
    const account = this.#account(limit);
    const usableUntil =
      account.waiting > 0 ? undefined : account.takeToken(now);
    if (usableUntil !== undefined) return { type: "admitted", usableUntil };
    if (now < account.refusedUntil) return this.#refuseAgain(account, now);
    if (this.#links.target(limit.shard, now) === undefined) {
      return this.#withoutOwner(account, now);
    }
    account.wait(decide, now);
    this.#waiting.add(account);
    return undefined;
  }

  /** Returns the token of a request that was not sent to a server. */
  giveBack(tenant: string, usableUntil: number, now: number): void {
    const account = this.#accounts.get(tenant);
    account?.addTokens(1, usableUntil, now);
    if (account?.waiting === 0) this.#waiting.delete(account);
  }

  /** The messages that are due, at most one to each owner. */
  flush(now: number): AskEffect[] {
    if (!this.isActive) return [];
    const byOwner = new Map<string, Map<string, AskedTenant>>();
    for (const account of this.#waiting) this.#collect(account, byOwner, now);
    for (const id of this.#links.due(now)) {
      if (!byOwner.has(id)) byOwner.set(id, new Map());
    }
    const isConfirmed =
      this.#options.confirmationAgeMs() <= MAX_CONFIRMATION_AGE_MS;
    const votingEntries = isConfirmed ? this.entries(now) : undefined;
    return [...byOwner].map(([to, tenants]) => ({
      to,
      ask: this.#links.ask(to, { tenants, votingEntries }, now),
    }));
  }

  /** Handles an owner's answer. */
  receive(from: string, grant: QuotaGrant, now: number): void {
    const question = this.#links.answered(from, grant, now);
    if (!question) return;
    const until = question.at + this.#lifetimeMs;
    for (const tenantGrant of grant.grants) {
      const account = this.#accounts.get(tenantGrant[0]);
      const asked = question.tenants.get(tenantGrant[0]);
      if (!account || !asked) continue;
      this.#settle(account, { from, asked, until, grant: tenantGrant }, now);
      if (account.waiting === 0) this.#waiting.delete(account);
    }
  }

  /** Passes over an owner to which there is no connection. */
  unreachable(id: string, now: number): void {
    this.#links.skip(id, now);
    this.#askOthers([id], now);
  }

  /** Looks for missing answers; to be called every 10 ms while `isWaiting`. */
  tick(now: number): void {
    const gapMs = now - this.#tickedAt;
    this.#tickedAt = now;
    // Answers that came during a stall of this process are read first.
    // On a host that is always late, missing answers are looked for all the same.
    const isStalled = gapMs >= STALL_MS && !this.#wasStalled;
    this.#wasStalled = isStalled;
    if (!isStalled) this.#askOthers(this.#links.checkAnswers(now), now);
    const maxWaitMs = isStalled ? 2 * MAX_WAIT_MS : MAX_WAIT_MS;
    for (const account of this.#waiting) {
      const overdue = account.waitingSince(now - maxWaitMs);
      for (let i = 0; i < overdue; i++) {
        account.endWaits(1, this.#withoutOwner(account, now));
      }
      if (overdue > 0) this.#passOver(account, now);
      if (account.waiting === 0) this.#waiting.delete(account);
    }
  }

  /** Asks the standbys for the requests that silent owners were asked for. */
  #askOthers(silent: readonly string[], now: number): void {
    if (silent.length === 0) return;
    for (const account of this.#waiting) {
      const { askedOwner } = account;
      if (askedOwner !== undefined && !silent.includes(askedOwner)) continue;
      account.asked = 0;
      account.askAgainAt = now;
    }
  }

  #collect(
    account: Account,
    byOwner: Map<string, Map<string, AskedTenant>>,
    now: number,
  ): void {
    const waiting = account.waiting - account.asked;
    if (waiting <= 0 || now < account.askAgainAt) return;
    const target = this.#links.target(account.limit.shard, now);
    if (target === undefined) {
      while (account.waiting > 0) {
        account.endWaits(1, this.#withoutOwner(account, now));
      }
      this.#waiting.delete(account);
      return;
    }
    const tenants = byOwner.get(target) ?? new Map();
    byOwner.set(target, tenants);
    const wanted = account.wanted(now);
    tenants.set(account.limit.name, { wanted, waiting });
    account.asked = account.waiting;
    account.askedOwner = target;
  }

  #settle(
    account: Account,
    answer: {
      from: string;
      asked: AskedTenant;
      until: number;
      grant: TenantGrant;
    },
    now: number,
  ): void {
    const { from, asked, until, grant } = answer;
    const [, tokens, retryAfterMs] = grant;
    account.addTokens(Math.min(tokens, asked.wanted), until, now);
    if (tokens >= asked.wanted) return;
    const unserved = Math.max(0, asked.waiting - tokens);
    if (retryAfterMs > 0) {
      account.owner = from;
      account.answeredAt = now;
      account.refusal = "refused";
      account.refusedUntil = now + retryAfterMs;
      account.endWaits(unserved, this.#refusal(account, retryAfterMs, now));
      return;
    }
    if (this.#links.votesFor(from, account.limit.shard, now)) {
      // The owner has too few votes, and no other one can have more of this entry.
      for (let i = 0; i < unserved && account.waiting > 0; i++) {
        account.endWaits(1, this.#withoutOwner(account, now));
      }
      this.#passOver(account, now);
      return;
    }
    account.asked = Math.max(0, account.asked - unserved);
    account.askAgainAt = now + ASK_AGAIN_MS;
  }

  /** Refuses without a question for a moment, as no owner can judge. */
  #passOver(account: Account, now: number): void {
    account.owner = undefined;
    account.refusal = "unavailable";
    account.refusedUntil = now + UNAVAILABLE_RETRY_MS;
  }

  #refuseAgain(account: Account, now: number): QuotaDecision {
    account.countRefused(now);
    return account.refusal === "unavailable"
      ? this.#withoutOwner(account, now)
      : this.#refusal(account, Math.ceil(account.refusedUntil - now), now);
  }

  #refusal(account: Account, retryAfterMs: number, now: number): QuotaDecision {
    return { type: "refused", retryAfterMs, basis: account.basis(now) };
  }

  /** Admits a request at the entry's own small rate, or refuses it. */
  #withoutOwner(account: Account, now: number): QuotaDecision {
    const entries = this.entries(now);
    if (this.#ownRate.tryTake(account.limit, { entries, now }))
      return UNLIMITED;
    const retryAfterMs = UNAVAILABLE_RETRY_MS;
    const basis = account.basis(now);
    return { type: "unavailable", retryAfterMs, basis };
  }

  #account(limit: TenantLimit): Account {
    const known = this.#accounts.get(limit.name);
    if (known) return known;
    const account = new Account(limit);
    this.#accounts.set(limit.name, account);
    return account;
  }
}

type AskedTenant =
  AskedTenants extends ReadonlyMap<string, infer Asked> ? Asked : never;
