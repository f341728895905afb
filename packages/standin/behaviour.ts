import type { Randomness } from "#model";

/** How a stand-in serves requests; all fields may change at any time. */
export interface Behaviour {
  /** Service time of one request, in milliseconds. */
  readonly serviceMs: (randomness: Randomness) => number;
  /** Multiplies the service time, as at a straggler. */
  readonly slowness: number;
  /** Status with which every request fails at once, counted as run. */
  readonly failStatus: number | undefined;
  /** Answers every request 503 with proof that it was not started. */
  readonly shedding: boolean;
  /** Resets the connection after half of the body. */
  readonly resetMidBody: boolean;
  /** Reports this instead of the requests in flight. */
  readonly claimedInFlight: number | undefined;
  /** Reports this state instead of `ready`. */
  readonly unhealthy: boolean;
  /** Time over which a new incarnation is slower. */
  readonly coldStartMs: number;
  /** Multiplies the service time at the start of an incarnation. */
  readonly coldSlowness: number;
}

export const DEFAULT_BEHAVIOUR: Behaviour = {
  serviceMs: () => 5,
  slowness: 1,
  failStatus: undefined,
  shedding: false,
  resetMidBody: false,
  claimedInFlight: undefined,
  unhealthy: false,
  coldStartMs: 0,
  coldSlowness: 1,
};

/** Exponentially distributed service times with this mean. */
export function exponential(meanMs: number): Behaviour["serviceMs"] {
  return (randomness) => -Math.log(1 - randomness.next()) * meanMs;
}

/** The service time of a request at a server of this age. */
export function serviceTime(
  behaviour: Behaviour,
  { ageMs, randomness }: { ageMs: number; randomness: Randomness },
): number {
  const { coldStartMs, coldSlowness, slowness } = behaviour;
  const coldness = coldStartMs > 0 ? Math.max(0, 1 - ageMs / coldStartMs) : 0;
  const factor = slowness * (1 + (coldSlowness - 1) * coldness);
  return behaviour.serviceMs(randomness) * factor;
}
