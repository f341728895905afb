import * as z from "zod";
import { MESSAGE_VALUES, type MessageDecoders, messageList } from "#model";
import type { ClaimMessages } from "./messages.ts";

const { count, text, bytes } = MESSAGE_VALUES;

/** A header that HTTP can carry (RFC 9110). */
const HEADER = z.tuple([
  z.string().regex(/^[\w!#$%&'*+.^`|~-]+$/),
  z.string().regex(/^[\t\x20-\x7e\x80-\xff]*$/),
]);
/** An answer that can be sent again; others count as not stored. */
const STORED_ANSWER = z
  .object({
    status: z.int().min(200).max(599),
    headers: messageList(HEADER),
    body: bytes,
  })
  .optional()
  .catch(undefined);

const ATTEMPT = { key: text, incarnation: count, attempt: count };
const VERDICT = z.discriminatedUnion("type", [
  z.object({ type: z.literal("granted") }),
  z.object({
    type: z.literal("held"),
    host: text,
    ticket: z.number(),
    gone: z.boolean(),
  }),
  z.object({ type: z.literal("settled"), answer: STORED_ANSWER }),
  z.object({ type: z.literal("other_request") }),
  z.object({ type: z.literal("full") }),
  z.object({ type: z.literal("stale_view"), epoch: count }),
  z.object({ type: z.literal("restarted") }),
  z.object({ type: z.literal("key_refused") }),
]);

/** Decoders of the messages between claimants and holders. */
export const CLAIM_DECODERS = {
  "claim.request": z.object({
    ...ATTEMPT,
    ticket: z.number(),
    holder: count,
    epoch: count,
    fingerprint: z.number(),
  }),
  "claim.reply": z.object({ ...ATTEMPT, holder: count, verdict: VERDICT }),
  "claim.settle": z.object({
    ...ATTEMPT,
    fingerprint: z.number(),
    answer: STORED_ANSWER,
  }),
  "claim.release": z.object(ATTEMPT),
  "claim.inquiry": z.object(ATTEMPT),
} satisfies MessageDecoders<ClaimMessages>;
