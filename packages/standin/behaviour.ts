import type { Randomness } from "#model";

/** How a stand-in server handles requests; may be changed while it runs. */
export interface Behaviour {
  /** Service time of one request, in milliseconds. */
  readonly serviceMs: (randomness: Randomness) => number;
  /** Factor on the service time; above 1 for a straggler. */
  readonly slowness: number;
  /** Status with which every request fails at once; they count as executed. */
  readonly failStatus: number | undefined;
  /**
   * Rejects every request with 503 and a header that says it was not started.
   */
  readonly shedding: boolean;
  /** Resets the connection after half of the response body. */
  readonly resetMidBody: boolean;
  /** Number of requests in flight to report instead of the true one. */
  readonly claimedInFlight: number | undefined;
  /** Requests a second that the server says it takes from all entries. */
  readonly rateLimit: number | undefined;
  /** Reports the state `unhealthy` instead of `ready`. */
  readonly unhealthy: boolean;
  /** Time over which a new incarnation warms up, in milliseconds. */
  readonly coldStartMs: number;
  /**
   * Factor on the service time at the start of an incarnation; falls linearly
   * to 1 over `coldStartMs`.
   */
  readonly coldSlowness: number;
}

export const DEFAULT_BEHAVIOUR: Behaviour = {
  serviceMs: () => 5,
  slowness: 1,
  failStatus: undefined,
  shedding: false,
  resetMidBody: false,
  claimedInFlight: undefined,
  rateLimit: undefined,
  unhealthy: false,
  coldStartMs: 0,
  coldSlowness: 1,
};

/** Exponentially distributed service times with the given mean. */
export function exponentialServiceMs(meanMs: number): Behaviour["serviceMs"] {
  return (randomness) => -Math.log(1 - randomness.next()) * meanMs;
}

/** The service time of a request, given the age of the incarnation. */
export function serviceTimeMs(
  behaviour: Behaviour,
  { ageMs, randomness }: { ageMs: number; randomness: Randomness },
): number {
  const { coldStartMs, coldSlowness, slowness } = behaviour;
  const coldFraction =
    coldStartMs > 0 ? Math.max(0, 1 - ageMs / coldStartMs) : 0;
  const factor = slowness * (1 + (coldSlowness - 1) * coldFraction);
  return behaviour.serviceMs(randomness) * factor;
}
