/** Mean service time from which a round trip between entries hardly counts. */
const LONG_RUNNING_MS = 50;

/**
 * Whether a service's work is long against a question to its dispatcher. Then
 * every call asks, so that it is placed late and with all that is known; short
 * work uses slots that were granted ahead, to save the round trip.
 */
export function isLongRunning(meanMs: number): boolean {
  return meanMs >= LONG_RUNNING_MS;
}
