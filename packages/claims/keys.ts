import { err, ok, type Result } from "neverthrow";
import { validate, version } from "uuid";
import { type CallFault, callFault, DEFAULT_CLOCK_SKEW_MS } from "#model";

/** Age above which a key is rejected. */
export const MAX_KEY_AGE_MS = 600_000;

/** A valid idempotency key. */
export interface ClaimKey {
  /** In lower case, so that the case of a UUID makes no difference. */
  readonly text: string;
  /** Creation time in the key, in milliseconds since the Unix epoch. */
  readonly created: number;
}

/** Parses a key, which must be a UUIDv7. */
export function parseKey(text: string): Result<ClaimKey, CallFault> {
  if (!validate(text) || version(text) !== 7) {
    const detail = "idempotency-key is not a UUIDv7";
    return err(callFault("invalid_request", { detail }));
  }
  const lowerCase = text.toLowerCase();
  const created = Number.parseInt(
    lowerCase.slice(0, 8) + lowerCase.slice(9, 13),
    16,
  );
  return ok({ text: lowerCase, created });
}

/**
 * Checks a key's age at a time of the wall clock, in milliseconds. A key may be
 * in the future by at most the clock skew.
 */
export function checkKeyAge(
  key: ClaimKey,
  wallTime: number,
  clockSkewMs = DEFAULT_CLOCK_SKEW_MS,
): Result<ClaimKey, CallFault> {
  if (wallTime - key.created > MAX_KEY_AGE_MS) {
    // An earlier request may have been executed and its claim have expired.
    const detail = `key is older than ${MAX_KEY_AGE_MS} ms`;
    return err(callFault("key_too_old", { outcome: "unknown", detail }));
  }
  const ahead = key.created - wallTime;
  if (ahead > clockSkewMs) {
    const detail = `key is ${ahead} ms ahead, at most ${clockSkewMs} allowed`;
    // Up to twice the limit, an entry with a faster clock may have accepted it.
    const outcome = ahead > 2 * clockSkewMs ? "not-run" : "unknown";
    return err(callFault("invalid_request", { outcome, detail }));
  }
  return ok(key);
}
