import { xxHash32 } from "js-xxhash";
import {
  type BackendServerId,
  type Call,
  type CallFaultCode,
  callFault,
  type RefusalReason,
} from "#model";
import type {
  AssignmentBasis,
  CheckFailure,
  RoutingEffect,
} from "./effects.ts";
import type { SlotRequest, TakenSlot } from "./messages.ts";
import type { ServerState } from "./server_state.ts";

/** A call from its submission to its end, and its assignment to a server. */
export interface OpenCall {
  readonly id: string;
  readonly class: string;
  readonly priority: Call["priority"];
  /**
   * Latest start that leaves time for an answer before the deadline, in
   * milliseconds of `Clock.now()`.
   */
  readonly latestStart: number;
  /** Latest start that meets the latency objective. */
  readonly targetStart?: number | undefined;
  readonly rank?: number | undefined;
  /** Short hash of the tenant's name. */
  readonly tenant?: string | undefined;
  /** Expected service time, in milliseconds. */
  readonly workMs: number;
  /** Time at which the caller gives up. */
  readonly answerDeadline: number;
  /** Latest time of an answer that meets the latency objective. */
  readonly answerTarget?: number | undefined;
  /** The server's slowdown when the call was sent; 1 if unknown. */
  slowdownAtStart: number;
  /**
   * Number of the slot request. It is renewed whenever the call starts without
   * a grant of the dispatcher.
   */
  ticket: number;
  readonly arrival: number;
  exclude: ReadonlySet<BackendServerId>;
  server: ServerState | undefined;
  assignedAt: number;
  /** Number of servers whose speed was checked for this call. */
  checkCount: number;
  /** How checks failed; undefined if none did. */
  failedChecks: CheckFailure[] | undefined;
  /** Whether the answer of the chosen server to a check is awaited. */
  awaitingCheck: boolean;
  assignedBy: AssignmentBasis["by"];
}

/** Tenants with the same hash share what they get in an overload. */
function shortHash(name: string): string {
  return xxHash32(name).toString(36);
}

/** Creates a call as it is submitted, without a server. */
export function openCall(
  call: Call,
  options: {
    ticket: number;
    exclude: ReadonlySet<BackendServerId>;
    /** Service time that this entry expects, in milliseconds. */
    expectedServiceMs: number;
    now: number;
  },
): OpenCall {
  const { ticket, exclude, expectedServiceMs, now } = options;
  const { id, priority, deadline, target } = call;
  return {
    id,
    class: call.class,
    priority,
    latestStart: deadline - expectedServiceMs,
    targetStart: target && target - expectedServiceMs,
    rank: call.rank,
    tenant: call.access?.tenant && shortHash(call.access.tenant),
    workMs: expectedServiceMs,
    answerDeadline: deadline,
    answerTarget: target,
    slowdownAtStart: 1,
    ticket,
    arrival: now,
    exclude,
    server: undefined,
    assignedAt: 0,
    checkCount: 0,
    failedChecks: undefined,
    awaitingCheck: false,
    assignedBy: "local",
  };
}

/**
 * Creates the request for a slot that a waiting call sends to the dispatcher.
 */
export function slotRequest(call: OpenCall, now: number): SlotRequest {
  return {
    ticket: call.ticket,
    priority: call.priority,
    class: call.class,
    // Whole milliseconds take a third of the bytes of fractions.
    remainingMs: Math.floor(call.latestStart - now),
    answerMs: Math.floor(call.answerDeadline - now),
    targetMs: call.answerTarget && Math.floor(call.answerTarget - now),
    waitedMs: now - call.arrival,
    exclude: call.exclude.size > 0 ? [...call.exclude] : undefined,
    ...(call.rank !== undefined && { rank: call.rank }),
    ...(call.tenant !== undefined && { tenant: call.tenant }),
  };
}

/** Tells the dispatcher about a slot that a call took without a grant. */
export function takenSlot(
  call: OpenCall,
  server: ServerState,
  now: number,
): TakenSlot {
  const { ticket, class: className, assignedAt } = call;
  const ageMs = now - assignedAt;
  return { ticket, class: className, server: server.record.id, ageMs };
}

/**
 * Creates the effect that assigns a call to its server, with the load and
 * slowdown that the server reported last.
 */
export function assignEffect(
  call: OpenCall,
  server: ServerState,
  now: number,
): RoutingEffect {
  const { assignedBy, checkCount, failedChecks } = call;
  const ageMs = now - server.slowdownAt;
  const reported = Number.isFinite(ageMs) && {
    slowdown: server.slowdown,
    inFlight: server.reportedInFlight,
    ageMs: Math.round(ageMs),
  };
  const { perSecond } = server.rateLimit;
  const limited = {
    ...(perSecond !== undefined && { rateLimit: perSecond }),
    ...(server.isCold(now) && { cold: true as const }),
  };
  const checked = failedChecks && { failedChecks };
  const basis = { by: assignedBy, checks: checkCount, ...checked };
  return {
    type: "assign",
    callId: call.id,
    server: server.record,
    basis: { ...basis, ...reported, ...limited },
  };
}

/** Creates the effect that rejects a call, with the outcome `not-run`. */
export function rejectEffect(
  callId: string,
  code: CallFaultCode,
  reason: {
    retryAfterMs?: number;
    detail?: string | undefined;
    reason?: RefusalReason | undefined;
  } = {},
): RoutingEffect {
  return { type: "reject", callId, fault: callFault(code, reason) };
}
