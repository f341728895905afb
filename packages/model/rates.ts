import { err, ok, type Result } from "neverthrow";

/** A rate that could not be read, clipped for the log. */
export interface RateFault {
  readonly type: "malformed_rate";
  readonly text: string;
}

/** A rate that a header names; undefined if the header is absent. */
export type ParsedRate = Result<number | undefined, RateFault>;

/** Highest rate that is plausible for one server, in requests a second. */
const MAX_RATE_PER_S = 1_000_000;
const MAX_LOGGED_LENGTH = 40;

/** Parses a rate in requests a second: a decimal number without a sign. */
export function parseRate(header: string | string[] | undefined): ParsedRate {
  if (header === undefined) return ok(undefined);
  const text = String(header).trim();
  const rate = /^\d+(\.\d+)?$/.test(text) ? Number(text) : Number.NaN;
  if (rate <= MAX_RATE_PER_S) return ok(rate);
  const clipped = text.slice(0, MAX_LOGGED_LENGTH);
  return err({ type: "malformed_rate", text: clipped });
}
