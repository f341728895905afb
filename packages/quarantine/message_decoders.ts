import * as z from "zod";
import { MESSAGE_VALUES, type MessageDecoders, messageList } from "#model";
import type { QuarantineMessages } from "./messages.ts";

const { count, text, milliseconds, address } = MESSAGE_VALUES;
const fingerprintAndMs = z.tuple([text, milliseconds]);
const round = z.object({ round: count });

/** Decoders of the messages about requests that may crash servers. */
export const QUARANTINE_DECODERS = {
  "quarantine.evidence": z.object({
    losses: messageList(
      z.object({
        server: text,
        incarnation: count,
        dataCentre: text,
        ageMs: milliseconds,
        runs: messageList(fingerprintAndMs),
      }),
    ),
    cleared: messageList(fingerprintAndMs),
  }),
  "quarantine.sync": round,
  "quarantine.synced": round,
  "quarantine.check": address.extend({ question: count }),
  "quarantine.checked": z.object({ question: count, isReached: z.boolean() }),
} satisfies MessageDecoders<QuarantineMessages>;
