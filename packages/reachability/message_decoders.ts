import * as z from "zod";
import { MESSAGE_VALUES, type MessageDecoders, messageList } from "#model";
import type { ReachabilityMessages } from "./messages.ts";

/** Decoders of the messages about the servers that entries reach. */
export const REACHABILITY_DECODERS = {
  "reachability.cut_off": z.object({
    services: messageList(MESSAGE_VALUES.text),
  }),
} satisfies MessageDecoders<ReachabilityMessages>;
