/** Intervals and timeouts in milliseconds, and limits, of every entry. */

/** Time after a server's last announcement at which its record expires. */
export const LEASE_MS = 9_000;

/**
 * Interval at which servers are told to announce themselves. Two announcements
 * in a row may be lost before the lease expires.
 */
export const RENEW_INTERVAL_MS = 3_000;

/** Longest allowed interval between two calls of `Presence.tick`. */
export const TICK_INTERVAL_MS = 100;

/** Changes are collected for this long; leaves are sent immediately. */
export const CHANGE_BATCH_MS = 200;

/** Number of servers from which on summaries are sent less often. */
const LARGE_SITE_SERVERS = 2_000;

/**
 * Interval between two summaries of an entry, in milliseconds. A renewal is at
 * most `RENEW_INTERVAL_MS` (3 s) old when it is summarised, so that 4 s of the
 * 9 s lease are left at the next summary. Sites of `LARGE_SITE_SERVERS` and
 * more send a summary every 3 s, which leaves 3 s of the lease and keeps the
 * target of 8,600 servers within 15 KB/s per entry.
 */
export function summaryIntervalMs(servers: number): number {
  return servers < LARGE_SITE_SERVERS ? 2_000 : 3_000;
}

/** Delay beyond the expected interval after which a list is requested. */
export const SILENCE_MARGIN_MS = 500;

/** An entry without new summaries for this long counts as lost. */
export const LOST_AFTER_MS = 7_000;

/**
 * Interval between the first two requests for the same list, up to a fifth shorter
 * at random. It doubles with each request that is not answered.
 */
export const STATE_REQUEST_INTERVAL_MS = 500;

/**
 * Longest interval between two requests for the same list, so that a request that
 * was lost delays the list by at most some 2 s more than a request after 500 ms.
 */
export const MAX_STATE_REQUEST_INTERVAL_MS = 2_000;

/** Shortest interval between two requests to a random peer. */
export const REQUEST_ROUND_INTERVAL_MS = 500;

/** Time after which a starting entry is ready even if some peer is silent. */
export const JOIN_TIMEOUT_MS = 3_000;

/** Time without a tick or message after which the process counts as stalled. */
export const STALL_THRESHOLD_MS = 500;

/**
 * Time after a stall during which messages may come from socket buffers.
 * Connections that were silent for 4.5 s are closed when the process resumes
 * and take 250 ms to be re-established.
 */
export const STALL_CATCH_UP_MS = 200;

/** Interval between two scans for records whose lease has expired. */
export const EXPIRY_SCAN_INTERVAL_MS = 250;

/**
 * How long a tombstone is kept. An outdated announcement can be as old as a
 * lease plus the time that a frozen process held it in its buffers.
 */
export const TOMBSTONE_TTL_MS = 600_000;

/** Upper limits on the records and tombstones that an entry keeps. */
export interface PresenceLimits {
  readonly servers: number;
  readonly serversPerService: number;
  readonly tombstones: number;
}

/**
 * Twice the target of 8,600 servers, with a tombstone for each of them when all
 * are replaced.
 */
export const DEFAULT_LIMITS: PresenceLimits = {
  servers: 20_000,
  serversPerService: 2_000,
  tombstones: 40_000,
};
