/** Mean service time from which a round trip between entries is negligible. */
const LONG_RUNNING_MS = 50;

/**
 * Whether the calls of a service take long compared with a round trip to its
 * dispatcher. Then every call requests a slot, so that it is assigned late and
 * with the latest information. Short calls use slots that were granted in
 * advance, which saves the round trip.
 */
export function isLongRunning(meanMs: number): boolean {
  return meanMs >= LONG_RUNNING_MS;
}
