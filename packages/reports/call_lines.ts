import { z } from "zod";

const ATTEMPT = z.object({
  server: z.string().optional(),
  end: z.string(),
  waitedMs: z.number(),
  ranMs: z.number(),
  basis: z
    .object({
      by: z.string().optional(),
      checks: z.number().optional(),
      slowdown: z.number().optional(),
    })
    .optional(),
});

const CALL = z.object({
  message: z.literal("call"),
  time: z.iso.datetime(),
  service: z.string(),
  class: z.string(),
  outcome: z.enum(["answered", "not-run", "unknown"]),
  code: z.string().optional(),
  stopped: z.string().optional(),
  /** Latency objective in milliseconds. */
  objectiveMs: z.number().optional(),
  ms: z.number(),
  attempts: z.array(ATTEMPT).default([]),
});

/** One attempt of a call in an entry's log. */
export type AttemptLine = z.infer<typeof ATTEMPT>;

/** The log line that an entry writes at the end of a call. */
export type CallLine = z.infer<typeof CALL>;

/**
 * Parses a line of an entry's log; undefined if it is another kind of line or
 * truncated. Text before the JSON is ignored, since log collectors put a time
 * or a host there.
 */
export function parseCallLine(line: string): CallLine | undefined {
  if (!line.includes('"call"')) return undefined;
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return CALL.safeParse(JSON.parse(line.slice(start))).data;
  } catch {
    return undefined;
  }
}
