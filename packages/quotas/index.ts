/**
 * Quotas of tenants over all entries: an owner of the token buckets of each shard of
 * tenants, and the tokens that an entry has in hand.
 *
 * @module
 */
export {
  Account,
  type Decide,
  type QuotaDecision,
  type RefusalBasis,
} from "./account.ts";
export { EntryCount } from "./entry_count.ts";
export {
  DEFAULT_QUOTA_BOUNDS,
  EMPTY_QUOTA_TABLE,
  type QuotaBounds,
  type QuotaTable,
  quotaTable,
  type TenantLimit,
  VOTE_MARGIN_MS,
} from "./limits.ts";
export { QUOTA_DECODERS } from "./message_decoders.ts";
export type {
  AskEffect,
  QuotaAsk,
  QuotaGrant,
  QuotaMessages,
} from "./messages.ts";
export { QuotaClient, type QuotaClientOptions } from "./quota_client.ts";
export { type Asker, QuotaOwner } from "./quota_owner.ts";
