/** What is known about a call once it has its final answer. */
export type Outcome = "answered" | "not-run" | "unknown";

/** Why a call got an error from mangobank and not a server's answer. */
export type CallFaultCode = keyof typeof CALL_FAULTS;

/** HTTP status of each fault and the outcome that it proves by itself. */
export const CALL_FAULTS = {
  unknown_service: { status: 404, outcome: "not-run" },
  unknown_route: { status: 404, outcome: "not-run" },
  invalid_request: { status: 400, outcome: "not-run" },
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
  server_failed: { status: 502, outcome: "unknown" },
  depth_exceeded: { status: 508, outcome: "not-run" },
} as const satisfies Record<string, { status: number; outcome: Outcome }>;

/** The final answer of a call that no server answered. */
export interface CallFault {
  readonly type: "call_fault";
  readonly code: CallFaultCode;
  readonly outcome: Outcome;
  /** When the caller may come back, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly detail?: string;
}

/**
 * When a request that was not run may come back, in milliseconds, where nothing
 * better is known: a server that refused has room again after a fraction of a
 * call, while a call that waited in vain met a longer overload.
 */
const USUAL_RETRY_MS: Partial<Record<CallFaultCode, number>> = {
  server_failed: 100,
  deadline_expired: 1_000,
};

/** Makes a fault with the outcome that its code proves, unless told another. */
export function callFault(
  code: CallFaultCode,
  options: {
    outcome?: Outcome;
    retryAfterMs?: number | undefined;
    detail?: string | undefined;
  } = {},
): CallFault {
  const outcome = options.outcome ?? CALL_FAULTS[code].outcome;
  const usualMs = outcome === "not-run" ? USUAL_RETRY_MS[code] : undefined;
  return {
    type: "call_fault",
    code,
    outcome,
    retryAfterMs: options.retryAfterMs ?? usualMs,
    detail: options.detail,
  };
}
