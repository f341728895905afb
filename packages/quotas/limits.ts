import { hash32, type Tenant } from "#model";

/** By how much the requests of a tenant may exceed its quota. */
export interface QuotaBounds {
  /** Fraction of what the quota allows within a window. */
  readonly overage: number;
  /** Requests within a window. */
  readonly slack: number;
  readonly windowMs: number;
}

export const DEFAULT_QUOTA_BOUNDS: QuotaBounds = {
  overage: 0.1,
  slack: 20,
  windowMs: 5_000,
};

/** Longest time for which a granted token may be used, from the question. */
const TOKEN_LIFETIME_MS = 250;
/** A shorter one would end before an owner's answer arrives. */
const MIN_TOKEN_LIFETIME_MS = 50;
/**
 * Time for which an owner counts a vote, from its stamp. Until then an entry that
 * lost its owner has none; the votes of idle entries cost a message each
 * `VOTE_INTERVAL_MS`.
 */
export const VOTE_MS = 1_500;
/** Longest time between two messages that renew votes. */
export const VOTE_INTERVAL_MS = 500;
/** Margin for the interval at which an owner looks for votes that have ended. */
export const VOTE_MARGIN_MS = 100;
/** Rate of all tenants of one shard, in requests per second. */
const RATE_PER_SHARD = 300;

/** A tenant's quota over all entries together. */
export interface TenantLimit {
  readonly name: string;
  readonly ratePerS: number;
  /** Tokens that an idle tenant has at its owner. */
  readonly capacity: number;
  readonly shard: number;
}

/** The tenants with a quota, and the shards into which they are divided. */
export interface QuotaTable {
  readonly shardCount: number;
  readonly limits: ReadonlyMap<string, TenantLimit>;
}

export const EMPTY_QUOTA_TABLE: QuotaTable = {
  shardCount: 1,
  limits: new Map(),
};

/** Derives the quotas from the tenants of the document. */
export function quotaTable(
  tenants: readonly Tenant[] | undefined,
  bounds: QuotaBounds,
): QuotaTable {
  const limited = (tenants ?? []).filter(({ ratePerS = 0 }) => ratePerS > 0);
  if (limited.length === 0) return EMPTY_QUOTA_TABLE;
  const total = limited.reduce((sum, { ratePerS = 0 }) => sum + ratePerS, 0);
  const shardCount = shardCountFor(total);
  const limits = limited.map(({ name, ratePerS = 0, burst = 0 }) => ({
    name,
    ratePerS,
    // Below one token no request would ever run.
    capacity: Math.max(1, burst + spareTokens(bounds)),
    shard: hash32(name) % shardCount,
  }));
  return {
    shardCount,
    limits: new Map(limits.map((limit) => [limit.name, limit])),
  };
}

/**
 * The next power of two, as every change of this number takes each tenant's tokens
 * away for a moment. Bounded, as each entry keeps votes for each shard.
 */
function shardCountFor(ratePerS: number): number {
  const needed = Math.min(64, Math.max(1, ratePerS / RATE_PER_SHARD));
  return 2 ** Math.ceil(Math.log2(needed));
}

/** Part of the slack that a bucket holds beyond the burst. */
const SPARE_SHARE = 0.6;

/**
 * Tokens that a bucket holds beyond the burst, so that the irregular requests of a small
 * tenant find one.
 */
function spareTokens({ slack }: QuotaBounds): number {
  return SPARE_SHARE * slack;
}

/**
 * Tokens that all votes together bring along to a new owner. An entry can move its vote
 * at most every `VOTE_MS`, so that these and the spare tokens stay within the slack of a
 * window.
 */
export function movedTokens({ slack, windowMs }: QuotaBounds): number {
  const moves = Math.floor(windowMs / VOTE_MS) + 1;
  return ((1 - SPARE_SHARE) * slack) / moves;
}

/**
 * Time for which a token may be used. The tokens that were granted before a window
 * and are used in it take up at most half of the overage.
 */
export function tokenLifetimeMs({ overage, windowMs }: QuotaBounds): number {
  const longest = Math.min(TOKEN_LIFETIME_MS, (overage * windowMs) / 2);
  return Math.max(MIN_TOKEN_LIFETIME_MS, longest);
}
