/** A service and its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other weights of the route; 0 gets no requests. */
  readonly weight: number;
}

/**
 * Routes requests by host name and path prefix to services, so that callers
 * need not send mangobank's own headers.
 */
export interface HostRoute {
  readonly name: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** False for requests that run at most once. */
  readonly repeatable: boolean;
  /** Longest time that a caller waits for the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly targetMs: number;
  /** Most backend servers that one request may be sent to. */
  readonly attempts: number;
  /** Urgency among the routes of a service; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly WeightedService[];
  /** Whether requests need no key; false if absent. */
  readonly isPublic?: boolean;
  /** Whether responses are large; false if absent. */
  readonly isDownload?: boolean;
  /** Regions whose servers may be used; all if absent. */
  readonly allowedRegions?: readonly string[];
}

/** Limits on the requests and connections of callers, for all entries. */
export interface RequestLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleConnectionMs: number;
}

/** A backend server that is leaving and gets no new calls. */
export interface LeavingServer {
  readonly id: string;
  /** This incarnation and those before it. */
  readonly incarnation: number;
  /** Milliseconds since the Unix epoch at which it was recorded. */
  readonly at: number;
}

/** Longest timeout of a route, in milliseconds. */
export const MAX_ROUTE_TIMEOUT_MS = 600_000;

/** Name of a route's request class; routes with equal parameters share it. */
export function requestClassName(route: HostRoute): string {
  const { rank, repeatable, targetMs, timeoutMs, attempts } = route;
  const execution = repeatable ? "repeatable" : "once";
  return `${execution}-${rank}-${targetMs}-${timeoutMs}-${attempts}`;
}
