/**
 * Quotas of tenants over all entries: an owner of the token buckets of each shard of
 * tenants, and the tokens that an entry has in hand.
 *
 * @module
 */
export type { QuotaDecision, RefusalBasis } from "./account.ts";
export { viewsWithVotes } from "./former_views.ts";
export {
  DEFAULT_QUOTA_BOUNDS,
  type QuotaBounds,
  type QuotaTable,
  quotaTable,
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
