import type { BackendServer, CallFault, HostId } from "#model";
import type { DispatchMessage } from "./messages.ts";

/** What became of an assigned call. */
export interface CallResult {
  readonly kind: CallResultKind;
  /** Time from the assignment to the end of the answer, in milliseconds. */
  readonly serviceMs: number;
  /** The server's own report, in requests; may lag or mislead. */
  readonly inFlight?: number | undefined;
  /** Time that work takes there now, relative to the usual; from the answer. */
  readonly slowdown?: number | undefined;
  /** The server announced in its answer that it is leaving. */
  readonly leaving?: boolean | undefined;
}

/**
 * `answered`: complete answer; `failed`: error answer; `not_started`: the
 * server proved that it did not start the call (shed); `lost`: connection
 * broken; `expired`: cut at the call's deadline; `cancelled`: given up by the
 * caller.
 */
export type CallResultKind =
  | "answered"
  | "failed"
  | "not_started"
  | "lost"
  | "expired"
  | "cancelled";

/** A probe's answer. */
export type ProbeResult =
  | {
      readonly kind: "answered";
      readonly inFlight: number;
      /** Round trip, in milliseconds. */
      readonly ms: number;
      readonly leaving?: boolean | undefined;
    }
  | { readonly kind: "failed" };

/** A server's answer to the question how fast it works now. */
export type CheckResult =
  | {
      readonly kind: "answered";
      /** False where the server says that it should get no work. */
      readonly healthy: boolean;
      /** Another server answers there, or it is leaving. */
      readonly leaving: boolean;
      readonly slowdown: number | undefined;
      readonly inFlight: number | undefined;
      /** Round trip, in milliseconds. */
      readonly ms: number;
    }
  /** It refused the question, as it would a call. */
  | { readonly kind: "shed" }
  | { readonly kind: "failed" };

/** What decided an assignment, to be explained afterwards. */
export interface AssignmentBasis {
  /** A slot granted ahead, one that was asked for, or the entry's own choice. */
  readonly by: "credit" | "grant" | "local";
  /** Servers that were asked for their speed for this call. */
  readonly checks: number;
  /** The server's own figures, and their age in milliseconds. */
  readonly slowdown?: number;
  readonly inFlight?: number;
  readonly ageMs?: number;
}

/** What the composition root does for the router. */
export type RoutingEffect =
  | {
      readonly type: "assign";
      readonly callId: string;
      readonly server: BackendServer;
      readonly basis: AssignmentBasis;
    }
  | {
      readonly type: "reject";
      readonly callId: string;
      readonly fault: CallFault;
    }
  | { readonly type: "probe"; readonly server: BackendServer }
  /** Ask the server before the call goes there; `checked` takes the answer. */
  | {
      readonly type: "check";
      readonly callId: string;
      readonly server: BackendServer;
    }
  | SendEffect;

/** A message to another entry. */
export type SendEffect = {
  readonly type: "send";
  readonly to: HostId;
} & DispatchMessage;
