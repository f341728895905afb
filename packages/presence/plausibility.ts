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

/** Names that go into headers, and addresses that can be connected to. */
const ID = /^[\x21-\x7e]{1,256}$/;
const HOST = /^[A-Za-z0-9:.-]{1,253}$/;
const MAX_PORT = 65_535;
/** Most slots; the search for the best limit takes time for each of them. */
const MAX_SLOTS = 100_000;

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
 * Whether a record of another process names a server that can exist and be used.
 * That process may run an earlier build, which took what this one refuses.
 */
export function isPossibleRecord(
  server: BackendServer,
  wallTime: number,
): boolean {
  const { id, address, sequence, slots } = server;
  return (
    isPossibleIncarnation(server, wallTime) &&
    sequence <= MAX_SEQUENCE &&
    ID.test(id) &&
    HOST.test(address.host) &&
    isWholeNumber(address.port, MAX_PORT) &&
    isWholeNumber(slots, MAX_SLOTS)
  );
}

function isWholeNumber(value: number, max: number): boolean {
  return Number.isInteger(value) && value >= 1 && value <= max;
}
