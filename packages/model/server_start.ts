import type { LeavingServer } from "./host_routes.ts";

/**
 * How far a start may lie ahead of the clock of the host that takes the
 * announcement, in milliseconds. Clocks may jump by seconds in either direction;
 * two hosts differ by less than 30 s, as for the age of keys.
 */
export const MAX_START_AHEAD_MS = 30_000;

/**
 * Whether a recorded leave names a start that its server can have had when it was
 * recorded. An earlier build recorded any whole number, which covers all starts
 * that follow; snapshots and logs keep such a leave.
 */
export function isPossibleLeave(leave: LeavingServer): boolean {
  return isPossibleStart(leave, leave.at);
}

/**
 * Whether an incarnation is a time at which a server can have started, for a host
 * that takes it at `wallTime`.
 */
export function isPossibleStart(
  { incarnation }: { readonly incarnation: number },
  wallTime: number,
): boolean {
  return incarnation <= wallTime + MAX_START_AHEAD_MS;
}
