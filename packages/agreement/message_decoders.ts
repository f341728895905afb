import * as z from "zod";
import { MESSAGE_VALUES, type MessageDecoders, messageList } from "#model";
import type { ConsensusMessages, ProposalRefusal } from "./messages.ts";

const { count, text, bytes } = MESSAGE_VALUES;
const integer = z.int();

const HEADER = { cluster: text, from: text, to: text, term: count };
const MEMBERSHIP = z.looseObject({
  voters: messageList(text),
  learners: messageList(text),
});
/** Fields of newer builds are kept, since entries are stored. */
const LOG_ENTRY = z.looseObject({
  index: count,
  term: count,
  id: text.optional(),
  command: bytes.optional(),
  membership: MEMBERSHIP.optional(),
});
const VOTE_REQUEST = z.object({
  ...HEADER,
  candidateTerm: count,
  lastIndex: count,
  lastTerm: count,
});
const VOTE_REPLY = z.object({
  ...HEADER,
  candidateTerm: count,
  granted: z.boolean(),
});
const MEMBER_CHANGE = z.discriminatedUnion("type", [
  z.object({ type: z.literal("add"), host: text }),
  z.object({ type: z.literal("promote"), member: text }),
  z.object({ type: z.literal("remove"), member: text }),
]);
const FAULT = z.looseObject({
  type: text,
}) as unknown as z.ZodType<ProposalRefusal["fault"]>;

/** Decoders of the messages between control hosts. */
export const CONSENSUS_DECODERS = {
  "agreement.pre_vote": VOTE_REQUEST,
  "agreement.pre_vote_reply": VOTE_REPLY,
  "agreement.vote": VOTE_REQUEST,
  "agreement.vote_reply": VOTE_REPLY,
  "agreement.append": z.object({
    ...HEADER,
    previousIndex: count,
    previousTerm: count,
    entries: messageList(LOG_ENTRY),
    commit: count,
    round: integer,
  }),
  "agreement.append_reply": z.object({
    ...HEADER,
    round: integer,
    accepted: z.boolean(),
    match: integer,
    refused: integer,
  }),
  "agreement.chunk": z.object({
    ...HEADER,
    index: count,
    snapshotTerm: count,
    membership: MEMBERSHIP,
    offset: count,
    total: count,
    bytes,
    round: integer,
  }),
  "agreement.chunk_reply": z.object({
    ...HEADER,
    index: count,
    offset: count,
    round: integer,
  }),
  "agreement.propose": z.object({
    ...HEADER,
    id: text,
    body: z.discriminatedUnion("type", [
      z.object({ type: z.literal("command"), bytes }),
      z.object({ type: z.literal("change"), change: MEMBER_CHANGE }),
    ]),
  }),
  "agreement.propose_refused": z.object({
    ...HEADER,
    id: text,
    proposedTerm: count,
    fault: FAULT,
  }),
  "agreement.read": z.object({ ...HEADER, ids: messageList(text) }),
  "agreement.read_reply": z.object({
    ...HEADER,
    ids: messageList(text),
    index: count,
  }),
  "agreement.announced": z.object({ ...HEADER, member: text }),
  "agreement.inquiry": z.object({ from: text }),
  "agreement.inquiry_reply": z.object({
    from: text,
    to: text,
    phase: z.enum(["empty", "founding", "formed"]),
  }),
  "agreement.found": z.object({
    from: text,
    to: text,
    cluster: text,
    attempt: count,
    members: messageList(text),
    formed: z.boolean(),
  }),
  "agreement.found_reply": z.object({
    from: text,
    to: text,
    cluster: text,
    bound: z.boolean(),
  }),
} satisfies MessageDecoders<ConsensusMessages>;
