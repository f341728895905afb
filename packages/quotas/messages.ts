/** Requests of one tenant for which an entry wants tokens. */
export type TenantAsk = readonly [tenant: string, wanted: number];

/**
 * Tokens for one tenant. If there are fewer than were wanted, `retryAfterMs` is the
 * time until the next one; 0 if the owner has too few votes to judge that.
 */
export type TenantGrant = readonly [
  tenant: string,
  tokens: number,
  retryAfterMs: number,
];

/** The shards that an entry lets the receiver of its message own. */
export interface Votes {
  /** Number of shards into which the sender divides the tenants. */
  readonly shardCount: number;
  readonly shards: readonly number[];
  /** Number of entries over which the sender divides a tenant's rate. */
  readonly entries: number;
}

/** A time of an owner's clock, which only that owner reads. */
export interface OwnerStamp {
  /** Incarnation of the owner. */
  readonly incarnation: number;
  /** Whole milliseconds of the owner's `Clock.now()`. */
  readonly ms: number;
}

export interface QuotaAsk {
  /** Increases with each message to the same entry. */
  readonly sequence: number;
  readonly asks: readonly TenantAsk[];
  /** Replaces the sender's former votes; they are withdrawn if it is absent. */
  readonly votes?: Votes | undefined;
  /** The latest stamp of the receiver, from which votes are valid. */
  readonly stamp?: OwnerStamp | undefined;
}

export interface QuotaGrant {
  /** Sequence of the message that is answered. */
  readonly sequence: number;
  readonly grants: readonly TenantGrant[];
  readonly stamp: OwnerStamp;
}

/** Messages between the entries that take requests and the owners of quotas. */
export interface QuotaMessages {
  readonly quota_ask: QuotaAsk;
  readonly quota_grant: QuotaGrant;
}

/** Sends a message to an entry; `to` may be the entry itself. */
export interface AskEffect {
  readonly to: string;
  readonly ask: QuotaAsk;
}
