import type { EntryLimits } from "#settings";

/** Limits for tests, which none of them reaches unless it sets its own. */
export const TEST_LIMITS: EntryLimits = {
  headerMaxBytes: 8_192,
  bodyMaxBytes: 100_000,
  headerTimeoutMs: 10_000,
  bodyTimeoutMs: 10_000,
  idleConnectionMs: 10_000,
  connectionsMax: 100,
  queueMaxCalls: 100,
  responseBodyMaxBytes: 1_000_000_000,
};
