import * as z from "zod";
import {
  CALL_FAULTS,
  type CallFaultCode,
  MAX_RATE_PER_S,
  MAX_RETRY_AFTER_S,
  MAX_SLOWDOWN,
  MAX_WARM_UP_MS,
  MESSAGE_VALUES,
  type MessageDecoders,
  messageList,
  REFUSAL_REASONS,
} from "#model";
import type { DispatchMessages } from "./messages.ts";

const { count, milliseconds, text } = MESSAGE_VALUES;
const flag = z.boolean();
const perSecond = z.number().min(0).max(MAX_RATE_PER_S);
const priority = z.enum(["urgent", "patient"]);

const HEADER = { service: text, epoch: count, sequence: count };
const SLOT_REQUEST = z.object({
  ticket: count,
  priority,
  class: text,
  remainingMs: milliseconds,
  answerMs: milliseconds.optional(),
  targetMs: milliseconds.optional(),
  waitedMs: milliseconds,
  exclude: messageList(text).optional(),
  rank: z.number().optional().catch(undefined),
  tenant: text.optional().catch(undefined),
});
const TAKEN_SLOT = z.object({
  ticket: count,
  class: text,
  server: text,
  ageMs: milliseconds,
  instead: count.optional(),
});
const RELEASED_SLOT = z.object({
  ticket: count,
  kind: z.enum([
    ...(["answered", "failed", "not_started", "lost"] as const),
    ...(["expired", "cancelled", "unused"] as const),
  ]),
  serviceMs: milliseconds,
  leaving: flag.optional(),
  // What a server says is passed on unchecked by builds that know no bound; the slot
  // is free in any case.
  slowdown: z.number().min(0).max(MAX_SLOWDOWN).optional().catch(undefined),
  rateLimit: perSecond.optional().catch(undefined),
  backOffMs: z
    .number()
    .min(0)
    .max(MAX_RETRY_AFTER_S * 1_000)
    .optional()
    .catch(undefined),
  warmUpMs: z.number().min(0).max(MAX_WARM_UP_MS).optional().catch(undefined),
});
const SERVER_RATE_LIMIT = z.object({
  server: text,
  incarnation: count,
  perSecond,
  ageMs: milliseconds,
});
const GRANT = z.object({
  ticket: count,
  server: text,
  slowed: flag.optional(),
  paced: flag.optional(),
});
const REJECT = z.object({
  ticket: count,
  code: z.enum(Object.keys(CALL_FAULTS) as [CallFaultCode]),
  retryAfterMs: milliseconds,
  detail: text.optional(),
  // A newer build may name reasons that this one does not know.
  reason: z.enum(REFUSAL_REASONS).optional().catch(undefined),
});

/** Decoders of the messages between an entry and a dispatcher. */
export const DISPATCH_DECODERS = {
  dispatch_report: z.object({
    ...HEADER,
    seen: count,
    taken: messageList(TAKEN_SLOT),
    wanted: messageList(SLOT_REQUEST),
    credits: messageList(text),
    rateLimitVersion: count.optional(),
    rateLimits: messageList(SERVER_RATE_LIMIT).optional(),
  }),
  dispatch_update: z.object({
    ...HEADER,
    wanted: messageList(SLOT_REQUEST),
    taken: messageList(TAKEN_SLOT),
    released: messageList(RELEASED_SLOT),
    cancelled: messageList(count),
    rateLimits: messageList(SERVER_RATE_LIMIT).optional(),
    ping: flag,
  }),
  dispatch_grant: z.object({
    ...HEADER,
    acknowledged: count,
    grants: messageList(GRANT),
    rejects: messageList(REJECT),
    credits: messageList(text),
    revoked: messageList(text),
    waitedMs: z.object({ urgent: milliseconds, patient: milliseconds }),
    patientDue: flag,
    avoid: messageList(text),
    rateLimits: z
      .object({
        version: count,
        isComplete: flag,
        limited: messageList(SERVER_RATE_LIMIT),
        unlimited: messageList(text),
      })
      .optional(),
  }),
} satisfies MessageDecoders<DispatchMessages>;
