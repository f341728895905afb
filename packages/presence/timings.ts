/** Durations in milliseconds and bounds that every entry shares. */

/** Time after its last announcement at which a server's record ends. */
export const LEASE_MS = 9_000;

/** Time between announcements that servers are told; two may be lost. */
export const RENEW_MS = 3_000;

/** How often the composition root calls `tick`, at least. */
export const TICK_MS = 100;

/** Changes of this time are sent together; leaves are sent at once. */
export const BATCH_MS = 200;

/** Servers from which on summaries are less frequent. */
const MANY_SERVERS = 2_000;

/**
 * Time between the summaries of an entry. A renewal is at most `RENEW_MS` old
 * when it is summarised, so that 4 s of a 9 s lease are left at the next
 * summary, or 3 s where 3 s between summaries keep the target of 8,600 servers
 * within 15 KB/s.
 */
export function summaryMs(servers: number): number {
  return servers < MANY_SERVERS ? 2_000 : 3_000;
}

/** Silence beyond the expected after which an entry's records are asked for. */
export const SILENCE_MARGIN_MS = 500;

/** An entry that nobody has heard of for this long counts as lost. */
export const LOST_MS = 7_000;

/** Time between two questions about the same entry's records. */
export const ASK_EVERY_MS = 500;

/** Time after which an entry counts as joined even if some peer is silent. */
export const JOIN_TIMEOUT_MS = 3_000;

/** Time without a tick after which the process counts as having stood still. */
export const STALL_MS = 500;

/**
 * Time after a stall in which messages may come from buffers. Links that were
 * silent for 3.5 s are closed at wake-up and take 250 ms to be renewed.
 */
export const CATCH_UP_MS = 200;

/** Time between two searches for records whose lease has ended. */
export const EXPIRY_SCAN_MS = 250;

/**
 * How long a leave is remembered. An older announcement can be as old as a
 * lease and the time for which a process was frozen with it in its buffers.
 */
export const TOMBSTONE_MS = 600_000;

/** Bounds on what servers can make an entry remember. */
export interface PresenceLimits {
  readonly servers: number;
  readonly serversPerService: number;
  readonly tombstones: number;
}

/** Room for twice the target of 8,600 servers, and for replacing them all. */
export const DEFAULT_LIMITS: PresenceLimits = {
  servers: 20_000,
  serversPerService: 2_000,
  tombstones: 40_000,
};
