/** Whether a call ran on a server, as known from its final response. */
export type Outcome = "answered" | "not-run" | "unknown";

/** Why a call got an error from mangobank and not a server's response. */
export type CallFaultCode = keyof typeof CALL_FAULTS;

/** HTTP status of each fault, and the outcome that it implies. */
export const CALL_FAULTS = {
  unknown_service: { status: 404, outcome: "not-run" },
  unknown_route: { status: 404, outcome: "not-run" },
  invalid_request: { status: 400, outcome: "not-run" },
  unauthorized: { status: 401, outcome: "not-run" },
  quota_exceeded: { status: 429, outcome: "not-run" },
  header_too_large: { status: 431, outcome: "not-run" },
  body_too_large: { status: 413, outcome: "not-run" },
  request_timeout: { status: 408, outcome: "not-run" },
  deadline_expired: { status: 504, outcome: "not-run" },
  queue_full: { status: 503, outcome: "not-run" },
  no_server: { status: 503, outcome: "not-run" },
  key_required: { status: 400, outcome: "not-run" },
  key_too_old: { status: 409, outcome: "not-run" },
  claim_unavailable: { status: 503, outcome: "not-run" },
  already_running: { status: 409, outcome: "unknown" },
  already_run: { status: 409, outcome: "unknown" },
  quarantined: { status: 422, outcome: "not-run" },
  not_ready: { status: 503, outcome: "not-run" },
  entry_stopping: { status: 503, outcome: "not-run" },
  server_failed: { status: 502, outcome: "unknown" },
  depth_exceeded: { status: 508, outcome: "not-run" },
} as const satisfies Record<string, { status: number; outcome: Outcome }>;

/**
 * Why a ranked call was refused in an overload: there was no room in time when
 * it arrived, a call worth more took its place in a full queue, calls of higher
 * ranks overtook it, or it missed its objective and cannot start in time.
 */
export const REFUSAL_REASONS = [
  "no_room",
  "displaced",
  "overtaken",
  "late",
] as const;

export type RefusalReason = (typeof REFUSAL_REASONS)[number];

/** The error response to a call that got no response from a server. */
export interface CallFault {
  readonly type: "call_fault";
  readonly code: CallFaultCode;
  readonly outcome: Outcome;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly detail?: string;
  /** Why a ranked call was refused in an overload. */
  readonly reason?: RefusalReason;
}

/**
 * Default time after which a call that was not run may be retried, in
 * milliseconds. A server that refused a call has a free slot again after a
 * fraction of a call's duration, while a call that expired in the queue met a
 * longer overload.
 */
const DEFAULT_RETRY_AFTER_MS: Partial<Record<CallFaultCode, number>> = {
  server_failed: 100,
  deadline_expired: 1_000,
  // The other entries take calls at once.
  entry_stopping: 10,
};

/** Creates a fault; the outcome defaults to the one that its code implies. */
export function callFault(
  code: CallFaultCode,
  options: {
    outcome?: Outcome;
    retryAfterMs?: number | undefined;
    detail?: string | undefined;
    reason?: RefusalReason | undefined;
  } = {},
): CallFault {
  const outcome = options.outcome ?? CALL_FAULTS[code].outcome;
  const defaultMs =
    outcome === "not-run" ? DEFAULT_RETRY_AFTER_MS[code] : undefined;
  return {
    type: "call_fault",
    code,
    outcome,
    retryAfterMs: options.retryAfterMs ?? defaultMs,
    detail: options.detail,
    ...(options.reason && { reason: options.reason }),
  };
}
