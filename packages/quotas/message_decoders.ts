import * as z from "zod";
import { MESSAGE_VALUES, type MessageDecoders } from "#model";
import type { QuotaMessages } from "./messages.ts";

const { count, text } = MESSAGE_VALUES;

const STAMP = z.object({ incarnation: count, ms: count });

/** Decoders of the messages between entries and owners of quotas. */
export const QUOTA_DECODERS = {
  quota_ask: z.object({
    sequence: count,
    asks: z.array(z.tuple([text, count]).readonly()),
    votes: z
      .object({
        shardCount: count,
        shards: z.array(count),
        entries: count,
      })
      .optional(),
    stamp: STAMP.optional(),
  }),
  quota_grant: z.object({
    sequence: count,
    grants: z.array(
      z.tuple([text, count, z.number().nonnegative()]).readonly(),
    ),
    stamp: STAMP,
  }),
} satisfies MessageDecoders<QuotaMessages>;
