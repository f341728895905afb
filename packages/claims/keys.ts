import { err, ok, type Result } from "neverthrow";
import { validate, version } from "uuid";
import { type CallFault, callFault, DEFAULT_CLOCK_SKEW_MS } from "#model";

/** Age above which a key is refused, in milliseconds. */
export const KEY_WINDOW_MS = 600_000;

/** A checked idempotency key. */
export interface ClaimKey {
  /** In lower case, so that spellings of one UUID are one key. */
  readonly text: string;
  /** Milliseconds since the Unix epoch that the key itself carries. */
  readonly created: number;
}

/** Checks that a key is a UUIDv7. */
export function parseKey(text: string): Result<ClaimKey, CallFault> {
  if (!validate(text) || version(text) !== 7) {
    const detail = "idempotency-key is not a UUIDv7";
    return err(callFault("invalid_request", { detail }));
  }
  const lower = text.toLowerCase();
  const created = Number.parseInt(lower.slice(0, 8) + lower.slice(9, 13), 16);
  return ok({ text: lower, created });
}

/**
 * Checks a key's age against the wall clock (`epoch`, in milliseconds). A key
 * may be ahead by the largest difference between clocks.
 */
export function checkAge(
  key: ClaimKey,
  epoch: number,
  clockSkewMs = DEFAULT_CLOCK_SKEW_MS,
): Result<ClaimKey, CallFault> {
  if (epoch - key.created > KEY_WINDOW_MS) {
    // An earlier sending may have run and been forgotten since.
    const detail = `key is older than ${KEY_WINDOW_MS} ms`;
    return err(callFault("key_too_old", { outcome: "unknown", detail }));
  }
  const ahead = key.created - epoch;
  if (ahead > clockSkewMs) {
    const detail = `key is ${ahead} ms ahead, at most ${clockSkewMs} allowed`;
    // Up to twice the limit, an entry with a faster clock may have taken it.
    const outcome = ahead > 2 * clockSkewMs ? "not-run" : "unknown";
    return err(callFault("invalid_request", { outcome, detail }));
  }
  return ok(key);
}
