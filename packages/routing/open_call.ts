import {
  type BackendServerId,
  type Call,
  type CallFaultCode,
  callFault,
} from "#model";
import type { AssignmentBasis, RoutingEffect } from "./effects.ts";
import type { Taken, Wanted } from "./messages.ts";
import type { ServerState } from "./server_state.ts";

/** A call from its submission to its end. */
export interface OpenCall {
  readonly id: string;
  readonly class: string;
  readonly priority: Call["priority"];
  /** Latest useful start, in milliseconds of `Clock.now()`. */
  readonly deadline: number;
  /** Latest start that meets the latency objective. */
  readonly target?: number | undefined;
  /** Time at which the caller gives up. */
  readonly expires: number;
  /** Time of an answer that meets the objective. */
  readonly objective?: number | undefined;
  /** The server's slowdown when the call was sent; 1 if unknown. */
  slowdown: number;
  /** A new one whenever the call starts without the dispatcher's grant. */
  ticket: number;
  readonly arrival: number;
  exclude: ReadonlySet<BackendServerId>;
  server: ServerState | undefined;
  assignedAt: number;
  /** Servers that were asked for their speed for this call. */
  checks: number;
  /** The present server's answer is awaited. */
  checking: boolean;
  by: AssignmentBasis["by"];
}

/** A call as it is submitted, without a server. */
export function openCall(
  call: Call,
  about: {
    ticket: number;
    exclude: ReadonlySet<BackendServerId>;
    /** Time that its work takes, as far as this entry knows. */
    reserveMs: number;
    now: number;
  },
): OpenCall {
  const { ticket, exclude, reserveMs, now } = about;
  const { id, priority, deadline, target } = call;
  return {
    id,
    class: call.class,
    priority,
    deadline: deadline - reserveMs,
    target: target && target - reserveMs,
    expires: deadline,
    objective: target,
    slowdown: 1,
    ticket,
    arrival: now,
    exclude,
    server: undefined,
    assignedAt: 0,
    checks: 0,
    checking: false,
    by: "local",
  };
}

/** What a dispatcher is told of a call that waits. */
export function wanted(open: OpenCall, now: number): Wanted {
  return {
    ticket: open.ticket,
    priority: open.priority,
    class: open.class,
    // Whole milliseconds take a third of the bytes.
    remainingMs: Math.floor(open.deadline - now),
    answerMs: Math.floor(open.expires - now),
    targetMs: open.objective && Math.floor(open.objective - now),
    waitedMs: now - open.arrival,
    exclude: open.exclude.size > 0 ? [...open.exclude] : undefined,
  };
}

/** Tells the dispatcher of a slot that a call took. */
export function taken(open: OpenCall, server: ServerState, now: number): Taken {
  const { ticket, class: name, assignedAt } = open;
  const ageMs = now - assignedAt;
  return { ticket, class: name, server: server.record.id, ageMs };
}

/** Assigns a call to its server, with what is known of it. */
export function assign(
  open: OpenCall,
  server: ServerState,
  now: number,
): RoutingEffect {
  const { by, checks } = open;
  const ageMs = now - server.slowdownAt;
  const figures = Number.isFinite(ageMs) && {
    slowdown: server.slowdown,
    inFlight: server.reported,
    ageMs: Math.round(ageMs),
  };
  return {
    type: "assign",
    callId: open.id,
    server: server.record,
    basis: { by, checks, ...figures },
  };
}

/** Rejects a call as not run. */
export function reject(
  callId: string,
  code: CallFaultCode,
  reason: { retryAfterMs?: number; detail?: string | undefined } = {},
): RoutingEffect {
  return { type: "reject", callId, fault: callFault(code, reason) };
}
