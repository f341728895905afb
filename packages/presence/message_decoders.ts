import * as z from "zod";
import { MESSAGE_VALUES, type MessageDecoders, messageList } from "#model";
import type {
  ChangesMessage,
  LeaveOperation,
  Operation,
  Position,
  PresenceMessages,
  StateMessage,
  SummaryMessage,
} from "./messages.ts";

const { count, text, milliseconds, bytes } = MESSAGE_VALUES;
/** Most parts of one list's state. */
const MAX_PARTS = 100_000;
/** Fields that a newer build has added at the end are ignored. */
const LATER_FIELDS = z.unknown();

/** -1 stands for no round, as in the position of a list that is not known. */
const POSITION = [text, count, count, z.int().min(-1)] as const;
const LOAD = z.int().min(0).max(255);

/**
 * The operations of a list. What a record says is decoded when it is taken into the
 * list (`decodePut`), as one that names no server still has a place there.
 */
const OPERATIONS = messageList(z.custom<Operation>(isOperation));

/** Decoders of the messages about the lists of servers. */
export const PRESENCE_DECODERS = {
  presence_changes: z.tuple(
    [text, count, count, OPERATIONS],
    LATER_FIELDS,
  ) as unknown as z.ZodType<ChangesMessage>,
  presence_summaries: messageList(
    z.tuple(
      [...POSITION, LOAD, z.boolean(), bytes, milliseconds.min(0)],
      LATER_FIELDS,
    ) as unknown as z.ZodType<SummaryMessage>,
  ),
  presence_ask: messageList(
    z.tuple([...POSITION], LATER_FIELDS) as unknown as z.ZodType<Position>,
  ),
  presence_leaves: messageList(z.custom<LeaveOperation>(isLeave)),
  presence_state: z
    .tuple(
      [
        ...POSITION,
        LOAD,
        z.boolean(),
        count,
        z.int().min(1).max(MAX_PARTS),
        OPERATIONS,
      ],
      LATER_FIELDS,
    )
    .refine(([, , , , , , part, parts]) => part < parts, {
      message: "a part beyond the last one",
    }) as unknown as z.ZodType<StateMessage>,
} satisfies MessageDecoders<PresenceMessages>;

function isOperation(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [type, service, id] = value;
  if (typeof service !== "string" || typeof id !== "string") return false;
  return type === 0 || type === 1 || isLeave(value);
}

function isLeave(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [type, service, id, incarnation, keepMs] = value;
  return (
    type === 2 &&
    typeof service === "string" &&
    typeof id === "string" &&
    Number.isSafeInteger(incarnation) &&
    Number.isFinite(keepMs)
  );
}
