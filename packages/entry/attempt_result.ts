import type { AttemptEnd } from "#admission";
import { type CallFault, callFault } from "#model";
import type { Fault } from "#reachability";
import type { CallResultKind, ServerStatement } from "#routing";
import type { RequestResult, ResponseHead } from "./backend_response.ts";
import { cutOffFault } from "./final_fault.ts";

/** Why an attempt was aborted. */
export type StopReason =
  | "expired"
  | "caller_closed"
  /** The entry closed the caller's connection. */
  | "entry_closed"
  /** The entry stops before the call could end. */
  | "entry_stops"
  | "superseded"
  /** The entry reaches no server of the service. */
  | "cut_off";

/** What a response says about the requests that its server wants. */
export function statementOf(response: ResponseHead): ServerStatement {
  const { rateLimit, backOffMs } = response;
  return { rateLimit, backOffMs };
}

/** The fault of a call that was stopped before it was sent to a server. */
export function stopFault(reason: StopReason | undefined): CallFault {
  if (reason === "cut_off") return cutOffFault();
  const code = reason === "entry_stops" ? "entry_stopping" : "deadline_expired";
  return callFault(code);
}

/** What the end of a request proves about the call. */
export function toAttemptEnd(
  result: RequestResult,
  stopReason: StopReason | undefined,
): AttemptEnd {
  if (result.type === "answer") {
    const { notStarted, wrongServer } = result.response;
    return { type: notStarted || wrongServer ? "not_started" : "answered" };
  }
  const written = result.fault.type !== "not_connected";
  if (stopReason === "expired") return { type: "timeout", written };
  if (stopReason !== undefined) return { type: "cancelled", written };
  if (result.fault.type === "answer_cut") {
    return { type: "reset_in_body", forwarded: false };
  }
  return written ? { type: "reset", written } : { type: "never_connected" };
}

/** What the end of a request tells of its server. */
export function toResultKind(
  result: RequestResult,
  context: { stopReason: StopReason | undefined; fault: Fault },
): CallResultKind {
  const { stopReason, fault } = context;
  if (result.type === "answer") {
    const { notStarted, wrongServer, exceeded } = result.response;
    const excess = exceeded?.();
    if (excess) return excess.bound === "deadline" ? "expired" : "lost";
    if (notStarted || wrongServer) return "not_started";
    return result.response.status >= 500 ? "failed" : "answered";
  }
  if (stopReason === "expired") return "expired";
  // A server that this entry does not reach is not to blame.
  const isLost = stopReason === undefined && fault === "server";
  return isLost ? "lost" : "cancelled";
}
