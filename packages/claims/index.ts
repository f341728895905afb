/**
 * At-most-once execution of non-repeatable requests: claims on idempotency
 * keys, held in memory by three entries per key.
 *
 * @module
 */
export * from "./claim_holder.ts";
export * from "./claimant.ts";
export * from "./claims.ts";
export * from "./effects.ts";
export * from "./holders.ts";
export * from "./keys.ts";
export * from "./message_decoders.ts";
export * from "./messages.ts";
