/** A service with its part of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other parts of the route; 0 gets no requests. */
  readonly weight: number;
}

/**
 * A route by host name and path prefix. It names the services that its requests
 * go to, so that callers need no header of mangobank's.
 */
export interface HostRoute {
  readonly name: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** False for requests that run at most once. */
  readonly repeatable: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly targetMs: number;
  /** Most backend servers that one request may be sent to. */
  readonly attempts: number;
  /** Urgency among the routes of a service; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly WeightedService[];
}

/** Bounds on what callers may send, for all entries. */
export interface RequestLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleConnectionMs: number;
}

/** An incarnation of a backend server that takes no new work. */
export interface LeavingServer {
  readonly id: string;
  /** This incarnation and those before it. */
  readonly incarnation: number;
  /** Milliseconds since the Unix epoch at which it was recorded. */
  readonly at: number;
}

/** Longest timeout of a route, in milliseconds. */
export const MAX_ROUTE_TIMEOUT_MS = 600_000;

/** The request class of a route; routes that are served alike share one. */
export function requestClassName(route: HostRoute): string {
  const { rank, repeatable, targetMs, timeoutMs, attempts } = route;
  const runs = repeatable ? "repeatable" : "once";
  return `${runs}-${rank}-${targetMs}-${timeoutMs}-${attempts}`;
}
