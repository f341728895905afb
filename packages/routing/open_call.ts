import {
  type BackendServerId,
  type Call,
  type CallFaultCode,
  callFault,
} from "#model";
import type { RoutingEffect } from "./effects.ts";
import type { Taken } from "./messages.ts";
import type { ServerState } from "./server_state.ts";

/** A call from its submission to its end. */
export interface OpenCall {
  readonly id: string;
  readonly class: string;
  readonly priority: Call["priority"];
  /** Latest useful start, in milliseconds of `Clock.now()`. */
  readonly deadline: number;
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
}

/** Tells the dispatcher of a slot that a call took. */
export function taken(open: OpenCall, server: ServerState, now: number): Taken {
  const { ticket, class: name, assignedAt } = open;
  const ageMs = now - assignedAt;
  return { ticket, class: name, server: server.record.id, ageMs };
}

/** Rejects a call as not run. */
export function reject(
  callId: string,
  code: CallFaultCode,
  retryAfterMs?: number,
): RoutingEffect {
  return { type: "reject", callId, fault: callFault(code, { retryAfterMs }) };
}
