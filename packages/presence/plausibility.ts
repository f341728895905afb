import type { BackendServer } from "#model";

/**
 * How far a start may lie ahead of the clock of the host that takes the
 * announcement, in milliseconds. Clocks may jump by seconds in either direction;
 * two hosts differ by less than 30 s, as for the age of keys.
 */
export const MAX_START_AHEAD_MS = 30_000;

/**
 * Most that a sequence may be ahead of the known one. A record ends 9 s after its
 * last announcement, so that even a sequence that counts milliseconds stays below.
 */
export const MAX_SEQUENCE_STEP = 100_000;

/** Whether an incarnation is a time at which a server can have started. */
export function isPossibleStart(
  { incarnation }: Pick<BackendServer, "incarnation">,
  wallTime: number,
): boolean {
  return incarnation <= wallTime + MAX_START_AHEAD_MS;
}
