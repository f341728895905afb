import {
  CALL_FAULTS,
  type CallFault,
  type CallFaultCode,
  callFault,
} from "#model";

/** Time after which to retry a call that no entry can serve. */
const CUT_OFF_RETRY_MS = 1_000;

/** How an earlier attempt ended that may have executed the request. */
export interface EarlierRun {
  readonly detail: string;
}

/**
 * Codes that say nothing of whether the request was run, though they mostly come
 * with a request that was not. `quarantined` asks not to send it again.
 */
const CODES_OF_ANY_OUTCOME: ReadonlySet<CallFaultCode> = new Set([
  "deadline_expired",
  "quarantined",
]);

/**
 * The fault that a caller is told after all attempts. If an earlier attempt may
 * have executed the request, its outcome is unknown, whatever refused the
 * retry; a code that stands for a request that was not run would contradict
 * that, so it is only named in the detail.
 */
export function finalFault(
  last: CallFault,
  earlierRun: EarlierRun | undefined,
): CallFault {
  if (!earlierRun) return last;
  const { code, detail, retryAfterMs } = last;
  const outcome = "unknown";
  const mayStand =
    CODES_OF_ANY_OUTCOME.has(code) || CALL_FAULTS[code].outcome === outcome;
  if (mayStand) return callFault(code, { outcome, detail });
  return callFault("server_failed", {
    outcome,
    retryAfterMs,
    detail: `${earlierRun.detail}; retry refused: ${code}`,
  });
}

/** The fault of a call that neither this nor another entry can serve. */
export function cutOffFault(): CallFault {
  return callFault("no_server", {
    retryAfterMs: CUT_OFF_RETRY_MS,
    detail: "this entry reaches no server, and no other entry took the call",
  });
}
