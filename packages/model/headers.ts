/** HTTP header names of the published protocols, in lower case. */
export const HEADERS = {
  service: "mangobank-service",
  deadline: "mangobank-deadline-ms",
  key: "idempotency-key",
  depth: "mangobank-depth",
  retries: "mangobank-retries",
  outcome: "mangobank-outcome",
  requestId: "mangobank-request-id",
  error: "mangobank-error",
  retryAfter: "retry-after",
  retryAfterMs: "mangobank-retry-after-ms",
  inFlight: "mangobank-in-flight",
  serverState: "mangobank-server-state",
  notStarted: "mangobank-not-started",
  rateLimit: "mangobank-rate-limit",
  apiKey: "mangobank-api-key",
  tenant: "mangobank-tenant",
  changeId: "mangobank-change-id",
} as const;

/** Prefix of the request paths that mangobank handles itself. */
export const INTERNAL_PATH_ROOT = "/.mangobank/";
