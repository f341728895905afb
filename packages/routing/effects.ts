import type { BackendServer, CallFault, HostId } from "#model";
import type { DispatchMessage } from "./messages.ts";
import type { HealthChange } from "./server_health.ts";

/** Some servers of a service are cold, or none is any more. */
export interface ColdServersChange {
  readonly service: string;
  /** Number of cold servers. */
  readonly servers: number;
  readonly coldRequestsPerS: number | undefined;
}

/** What a server says in any answer about the requests that it wants. */
export interface ServerStatement {
  /**
   * Requests a second that the server takes from all entries together, if it
   * names a limit.
   */
  readonly rateLimit?: number | undefined;
  /**
   * Time for which the server wants no requests from this entry, in
   * milliseconds, if it refused the request and named one.
   */
  readonly backOffMs?: number | undefined;
  /** Time for which the server stays cold, in milliseconds, if it says so. */
  readonly warmUpMs?: number | undefined;
}

/** The outcome of an assigned call. */
export interface CallResult extends ServerStatement {
  readonly kind: CallResultKind;
  /** Time from the assignment to the end of the answer, in milliseconds. */
  readonly serviceMs: number;
  /** Requests in flight that the server reports; may be outdated or wrong. */
  readonly inFlight?: number | undefined;
  /**
   * Slowdown that the server reports in its answer: service time relative to
   * its usual one.
   */
  readonly slowdown?: number | undefined;
  /** The server announced in its answer that it is leaving. */
  readonly leaving?: boolean | undefined;
}

/**
 * `answered`: complete answer; `failed`: error answer; `not_started`: the
 * server proved that it did not start the call (load shedding); `lost`:
 * connection broken; `expired`: cut off at the call's deadline; `cancelled`:
 * given up by the caller.
 */
export type CallResultKind =
  | "answered"
  | "failed"
  | "not_started"
  | "lost"
  | "expired"
  | "cancelled";

/** The result of a probe. */
export type ProbeResult = ServerStatement &
  (
    | {
        readonly kind: "answered";
        readonly inFlight: number;
        /** Round trip, in milliseconds. */
        readonly ms: number;
        readonly leaving?: boolean | undefined;
      }
    | { readonly kind: "failed" }
    /** The entry did not reach the server, which is not to blame. */
    | { readonly kind: "unreachable" }
  );

/** The result of a check, which asks a server how fast it works now. */
export type CheckResult = ServerStatement &
  (
    | {
        readonly kind: "answered";
        /** False if the server says that it should get no calls. */
        readonly healthy: boolean;
        /** The server is leaving, or another one answers at its address. */
        readonly leaving: boolean;
        readonly slowdown: number | undefined;
        readonly inFlight: number | undefined;
        /** Round trip, in milliseconds. */
        readonly ms: number;
      }
    /** The server refused the check, as it would refuse a call. */
    | { readonly kind: "shed" }
    | { readonly kind: "failed"; readonly failure?: CheckFailure }
    /** The entry did not reach the server, which is not to blame. */
    | { readonly kind: "unreachable"; readonly failure?: CheckFailure }
  );

/**
 * How a check failed: the server did not accept a connection in time or refused
 * it, or did not answer in time, broke its connection, or sent something else.
 */
export type CheckFailure =
  | "not_accepted"
  | "refused"
  | "no_answer"
  | "connection_lost"
  | "malformed";

/** The reasons for an assignment, for the log. */
export interface AssignmentBasis {
  /**
   * By a slot granted in advance, by a slot granted on request, or by the
   * entry's own choice.
   */
  readonly by: "credit" | "grant" | "local";
  /** Number of servers whose speed was checked for this call. */
  readonly checks: number;
  /** How checks for this call failed, if any did. */
  readonly failedChecks?: readonly CheckFailure[];
  /**
   * Slowdown and requests in flight that the server reported, and the age of
   * the report in milliseconds.
   */
  readonly slowdown?: number;
  readonly inFlight?: number;
  readonly ageMs?: number;
  /** The rate limit that the server names, in requests a second. */
  readonly rateLimit?: number;
  /** Present if the server is cold and the requests to it are spaced. */
  readonly cold?: true;
}

/** A change of what an entry knows of a server's rate limit. */
export interface RateLimitChange {
  readonly server: BackendServer;
  /** Requests a second over all entries; undefined without a limit. */
  readonly perSecond: number | undefined;
  readonly previous: number | undefined;
}

/** A server has asked this entry to send nothing for a time. */
export interface BackOff {
  readonly server: BackendServer;
  /** With jitter, in milliseconds. */
  readonly ms: number;
}

/** A change of what the dispatcher or this entry believes of a server. */
export interface ServiceHealthChange extends HealthChange {
  readonly service: string;
  /** Whose belief it is. */
  readonly by: "dispatcher" | "entry";
}

/** Actions that the router's owner executes for it. */
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
  /**
   * Check the server's speed before the call is sent to it. The result is
   * passed to `Router.handleCheckResult`.
   */
  | {
      readonly type: "check";
      readonly callId: string;
      readonly server: BackendServer;
    }
  /** For the log. */
  | ({ readonly type: "rate_limit_changed" } & RateLimitChange)
  | ({ readonly type: "server_backs_off" } & BackOff)
  | ({ readonly type: "cold_servers_changed" } & ColdServersChange)
  | ({ readonly type: "server_health_changed" } & ServiceHealthChange)
  | SendEffect;

/** A message to another entry. */
export type SendEffect = {
  readonly type: "send";
  readonly to: HostId;
} & DispatchMessage;
