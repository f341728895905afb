import * as z from "zod";
import type { Address, Entry } from "./hosts.ts";

/**
 * Values in messages between processes. What they accept can be compared, added and
 * sent on; zod's numbers are finite, and its integers below 2^53.
 */
export const MESSAGE_VALUES = {
  /** A number of something, a version, an incarnation or a sequence number. */
  count: z.int().nonnegative(),
  /** A duration or an age in milliseconds; below 0 if a time has passed. */
  milliseconds: z
    .number()
    .min(Number.MIN_SAFE_INTEGER)
    .max(Number.MAX_SAFE_INTEGER),
  text: z.string(),
  bytes: z.instanceof(Uint8Array),
  /** Ports of 0 stand for none. */
  address: z.object({
    host: z.string().min(1).max(253),
    port: z.int().min(0).max(65_535),
  }) satisfies z.ZodType<Address>,
} as const;

const { count, text, address } = MESSAGE_VALUES;

/** The record of an entry; fields of newer builds are kept, since it is passed on. */
export const ENTRY_VALUE = z.looseObject({
  id: text,
  incarnation: count,
  dataCentre: text,
  http: address,
  peer: address,
  handover: address.optional(),
  processorShare: z.number().positive().optional(),
  state: z.enum(["ready", "stopping"]),
}) satisfies z.ZodType<Entry>;

/**
 * A list in a message. It is not read behind its first wrong item: zod collects an
 * issue of about a kilobyte for each, and a frame can hold half a million items.
 */
export function messageList<T extends z.ZodType>(item: T) {
  return z.array(z.unknown()).transform((values, context): z.output<T>[] => {
    const items: z.output<T>[] = [];
    for (const [index, value] of values.entries()) {
      const decoded = item.safeParse(value);
      if (!decoded.success) {
        for (const { message, path } of decoded.error.issues) {
          const itemPath = [index, ...path] as (string | number)[];
          context.addIssue({ code: "custom", message, path: itemPath });
        }
        return z.NEVER;
      }
      items.push(decoded.data);
    }
    return items;
  });
}

/**
 * Decoders of the payloads of a message map. Fields that a decoder doesn't know are
 * ignored.
 */
export type MessageDecoders<M> = {
  readonly [K in keyof M]: z.ZodType<M[K]>;
};
