/**
 * Share of `revokeMs` for which a confirmation entitles an entry to serve
 * requests with keys. The rest covers a clock that runs slow and the turn of the
 * event loop in which the lease was examined.
 */
const LEASE_SHARE = 0.9;
/**
 * Share from which the entry asks callers to use others. Requests with keys count
 * as lost at an entry without control for longer.
 */
const ENDING_SHARE = 0.5;
/**
 * A host was suspended if more time than this has passed by the wall clock than by
 * the steady clock, which does not count a suspension.
 */
const MAX_CLOCK_DIFFERENCE_MS = 250;

/** A moment by both clocks of a process, in milliseconds. */
export interface Moment {
  /** `Clock.now()`. */
  readonly steady: number;
  /** `Clock.wallTime()`. */
  readonly wall: number;
}

/**
 * An entry's right to act on its configuration as the current one: control's last
 * confirmation, counted from the question. Whatever control acknowledged before
 * the question is in force here, so that no entry that is cut off, frozen or
 * suspended acts on a key that was removed more than `revokeMs` ago.
 *
 * Load pattern: keys that are removed while entries are cut off or frozen and
 * requests wait in their queues.
 */
export class ConfigurationLease {
  readonly #revokeMs: number;
  #askedAt: Moment | undefined;

  constructor(revokeMs: number) {
    this.#revokeMs = revokeMs;
  }

  /** Records that control has confirmed the configuration. */
  confirm(askedAt: Moment): void {
    if (this.#askedAt && askedAt.steady <= this.#askedAt.steady) return;
    this.#askedAt = askedAt;
  }

  /** Milliseconds since the last confirmed question; infinite without one. */
  ageMs(now: Moment): number {
    if (!this.#askedAt) return Number.POSITIVE_INFINITY;
    const steadyMs = now.steady - this.#askedAt.steady;
    const wallMs = now.wall - this.#askedAt.wall;
    const isSuspended = wallMs - steadyMs > MAX_CLOCK_DIFFERENCE_MS;
    return isSuspended ? Number.POSITIVE_INFINITY : steadyMs;
  }

  /** Whether requests with keys may be sent to servers. */
  isValid(now: Moment): boolean {
    return this.ageMs(now) < LEASE_SHARE * this.#revokeMs;
  }

  /** Whether callers should use other entries, as the lease is about to end. */
  isEnding(now: Moment): boolean {
    return this.ageMs(now) >= ENDING_SHARE * this.#revokeMs;
  }
}
