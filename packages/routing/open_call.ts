import {
  type BackendServerId,
  type Call,
  type CallFaultCode,
  callFault,
} from "#model";
import type { AssignmentBasis, RoutingEffect } from "./effects.ts";
import type { SlotRequest, TakenSlot } from "./messages.ts";
import type { ServerState } from "./server_state.ts";

/** A call from its submission to its end. */
export interface OpenCall {
  readonly id: string;
  readonly class: string;
  readonly priority: Call["priority"];
  /** Latest useful start, in milliseconds of `Clock.now()`. */
  readonly latestStart: number;
  /** Latest start that meets the latency objective. */
  readonly targetStart?: number | undefined;
  /** Time at which the caller gives up. */
  readonly answerDeadline: number;
  /** Time of an answer that meets the objective. */
  readonly answerTarget?: number | undefined;
  /** The server's slowdown when the call was sent; 1 if unknown. */
  slowdownAtStart: number;
  /** A new one whenever the call starts without the dispatcher's grant. */
  ticket: number;
  readonly arrival: number;
  exclude: ReadonlySet<BackendServerId>;
  server: ServerState | undefined;
  assignedAt: number;
  /** Servers that were asked for their speed for this call. */
  checkCount: number;
  /** The present server's answer is awaited. */
  awaitingCheck: boolean;
  assignedBy: AssignmentBasis["by"];
}

/** A call as it is submitted, without a server. */
export function openCall(
  call: Call,
  options: {
    ticket: number;
    exclude: ReadonlySet<BackendServerId>;
    /** Time that its work takes, as far as this entry knows. */
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
    answerDeadline: deadline,
    answerTarget: target,
    slowdownAtStart: 1,
    ticket,
    arrival: now,
    exclude,
    server: undefined,
    assignedAt: 0,
    checkCount: 0,
    awaitingCheck: false,
    assignedBy: "local",
  };
}

/** What a dispatcher is told of a call that waits. */
export function slotRequest(call: OpenCall, now: number): SlotRequest {
  return {
    ticket: call.ticket,
    priority: call.priority,
    class: call.class,
    // Whole milliseconds take a third of the bytes.
    remainingMs: Math.floor(call.latestStart - now),
    answerMs: Math.floor(call.answerDeadline - now),
    targetMs: call.answerTarget && Math.floor(call.answerTarget - now),
    waitedMs: now - call.arrival,
    exclude: call.exclude.size > 0 ? [...call.exclude] : undefined,
  };
}

/** Tells the dispatcher of a slot that a call took. */
export function takenSlot(
  call: OpenCall,
  server: ServerState,
  now: number,
): TakenSlot {
  const { ticket, class: className, assignedAt } = call;
  const ageMs = now - assignedAt;
  return { ticket, class: className, server: server.record.id, ageMs };
}

/** Assigns a call to its server, with what is known of it. */
export function assignEffect(
  call: OpenCall,
  server: ServerState,
  now: number,
): RoutingEffect {
  const { assignedBy, checkCount } = call;
  const ageMs = now - server.slowdownAt;
  const reported = Number.isFinite(ageMs) && {
    slowdown: server.slowdown,
    inFlight: server.reportedInFlight,
    ageMs: Math.round(ageMs),
  };
  return {
    type: "assign",
    callId: call.id,
    server: server.record,
    basis: { by: assignedBy, checks: checkCount, ...reported },
  };
}

/** Rejects a call as not run. */
export function rejectEffect(
  callId: string,
  code: CallFaultCode,
  reason: { retryAfterMs?: number; detail?: string | undefined } = {},
): RoutingEffect {
  return { type: "reject", callId, fault: callFault(code, reason) };
}
