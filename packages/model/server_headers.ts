import { err, ok, type Result } from "neverthrow";
import { MAX_WARM_UP_MS } from "./backend_servers.ts";

/** A header of a backend server's response that could not be read. */
export interface HeaderFault {
  readonly type: "malformed_header";
  readonly name: string;
  /** The header's text, clipped for the log. */
  readonly text: string;
}

/** A number that a header states; undefined if the header is absent. */
export type ParsedNumber = Result<number | undefined, HeaderFault>;

/** Highest rate that is plausible for one server, in requests a second. */
export const MAX_RATE_PER_S = 1_000_000;
/** Longest time that a server may ask to wait, in seconds: a day. */
export const MAX_RETRY_AFTER_S = 86_400;
/** Most requests that a server may report as running or waiting. */
export const MAX_REPORTED_REQUESTS = 1_000_000;
/** Longest duration of work that a server may report, relative to the usual one. */
export const MAX_SLOWDOWN = 10_000;
const MAX_LOGGED_LENGTH = 40;

type Header = string | string[] | undefined;

/** Parses a rate limit in requests a second. */
export function parseRateLimit(header: Header): ParsedNumber {
  return parseDecimal(header, { name: "rate limit", max: MAX_RATE_PER_S });
}

/**
 * Parses the `Retry-After` of a refusal, in seconds with fractions; returns
 * milliseconds.
 */
export function parseRetryAfterMs(header: Header): ParsedNumber {
  return parseDecimal(header, {
    name: "retry-after",
    max: MAX_RETRY_AFTER_S,
  }).map((seconds) => seconds && seconds * 1_000);
}

/** Parses the time for which a server stays cold, in seconds; returns milliseconds. */
export function parseWarmUpMs(header: Header): ParsedNumber {
  const max = MAX_WARM_UP_MS / 1_000;
  return parseDecimal(header, { name: "warm-up", max }).map(
    (seconds) => seconds && seconds * 1_000,
  );
}

/** The fault of a header whose text is clipped for the log. */
export function headerFault(name: string, text: string): HeaderFault {
  const clipped = text.slice(0, MAX_LOGGED_LENGTH);
  return { type: "malformed_header", name, text: clipped };
}

/** Parses a decimal number without a sign. */
function parseDecimal(
  header: Header,
  { name, max }: { name: string; max: number },
): ParsedNumber {
  if (header === undefined) return ok(undefined);
  const text = String(header).trim();
  const value = /^\d+(\.\d+)?$/.test(text) ? Number(text) : Number.NaN;
  if (value <= max) return ok(value);
  return err(headerFault(name, text));
}
