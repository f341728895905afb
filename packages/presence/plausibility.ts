import {
  type BackendServer,
  isPossibleStart,
  MAX_START_AHEAD_MS,
} from "#model";

/**
 * Most that a sequence may be ahead of the known one. A record ends 9 s after its
 * last announcement, so that even a sequence that counts milliseconds stays below.
 */
export const MAX_SEQUENCE_STEP = 100_000;

/**
 * Highest sequence. Numbers above it cannot be a count of calls, nor a time in
 * milliseconds, and leave no room for the ones that follow.
 */
export const MAX_SEQUENCE = 10_000_000_000_000;

/**
 * Whether an incarnation that another process has taken can be a start. Its clock
 * may be ahead of this one, in addition to the server's.
 */
export function isPossibleIncarnation(
  record: { readonly incarnation: number },
  wallTime: number,
): boolean {
  return isPossibleStart(record, wallTime + MAX_START_AHEAD_MS);
}

/**
 * Whether a record of another process names a server that can exist. That process
 * may run an earlier build, which took what this one refuses. Whether the server can
 * be used at all is decided where the record is decoded.
 */
export function isPossibleRecord(
  server: BackendServer,
  wallTime: number,
): boolean {
  return (
    isPossibleIncarnation(server, wallTime) && server.sequence <= MAX_SEQUENCE
  );
}
