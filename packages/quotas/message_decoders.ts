import * as z from "zod";
import { MESSAGE_VALUES, type MessageDecoders, messageList } from "#model";
import type { QuotaMessages, TenantAsk, TenantGrant } from "./messages.ts";

const { count, text } = MESSAGE_VALUES;

// Fields that a newer build has added at the end are ignored.
const TENANT_ASK = z.tuple(
  [text, count],
  z.unknown(),
) as unknown as z.ZodType<TenantAsk>;
const TENANT_GRANT = z.tuple(
  [text, count, z.number().nonnegative()],
  z.unknown(),
) as unknown as z.ZodType<TenantGrant>;
const STAMP = z.object({ incarnation: count, ms: count });

/** Decoders of the messages between entries and owners of quotas. */
export const QUOTA_DECODERS = {
  quota_ask: z.object({
    sequence: count,
    asks: messageList(TENANT_ASK),
    votes: z
      .object({
        shardCount: count,
        shards: messageList(count),
        entries: count,
      })
      .optional(),
    stamp: STAMP.optional(),
  }),
  quota_grant: z.object({
    sequence: count,
    grants: messageList(TENANT_GRANT),
    stamp: STAMP,
  }),
} satisfies MessageDecoders<QuotaMessages>;
