import { type BackendServer, hasSameAddress } from "#model";
import { ColdPeriod } from "./cold_period.ts";
import { NamedRate } from "./named_rate.ts";
import { SLOWDOWN_THRESHOLD } from "./placement_checks.ts";
import type { ServerHealth } from "./server_health.ts";

/** Weight of a new sample in the average of service times. */
const LATENCY_WEIGHT = 0.1;
/** Time for which a reported slowdown is assumed to last. */
export const SLOWDOWN_TTL_MS = 100;
/** Age at which a reported load no longer counts. */
const REPORT_TTL_MS = 250;

/** One entry's view of a backend server, from its own calls. */
export class ServerState {
  record: BackendServer;
  health: ServerHealth;
  /** Position in the set of free servers; -1 if not in it. */
  sampleIndex = -1;
  /** The server is no longer in the records. */
  removed = false;
  /** Calls of this entry that run on the server. */
  inFlight = 0;
  /** Calls that this entry may run on the server at the same time. */
  limit = 1;
  /** Time until which the server gets no calls after it shed one. */
  pausedUntil = 0;
  /**
   * The server announced that it is leaving, or another one answers at its address;
   * final within an incarnation at an address.
   */
  leaving = false;
  /** Time of the last result or probe answer. */
  lastHeard: number;
  /** Moving average of service times, in milliseconds; 0 if unknown. */
  latencyMs = 0;
  /** Start of the server's incarnation on this entry's clock. */
  startedAt: number;
  /** The slowdown that the server reported last, and the time of the report. */
  slowdown = 1;
  slowdownAt = Number.NEGATIVE_INFINITY;
  /** Requests in flight by the server's last report, this entry's included. */
  reportedInFlight = 0;
  /** Time until which this incarnation wants no requests from this entry. */
  backOffUntil = Number.NEGATIVE_INFINITY;
  /** The rate limit that this incarnation of the server names. */
  rateLimit = new NamedRate();
  /** Whether the dispatcher has told this entry of the rate limit. */
  isRateLimitShared = false;
  /** How long this incarnation of the server is cold. */
  cold = new ColdPeriod();
  /** Whether the service limits the requests to cold servers. */
  limitsCold = false;
  #othersInFlight = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;

  constructor(record: BackendServer, health: ServerHealth, now: number) {
    this.record = record;
    this.health = health;
    this.lastHeard = now;
    this.startedAt = now - record.startedMsAgo;
    this.cold.recordAnnouncement(record.warmUpRemainingMs, now);
  }

  /** Applies a newer announcement of the server. */
  updateRecord(record: BackendServer, now: number): void {
    if (!hasSameAddress(record, this.record)) this.leaving = false;
    if (record.incarnation !== this.record.incarnation) {
      this.leaving = false;
      this.rateLimit = new NamedRate();
      this.cold = new ColdPeriod();
      this.backOffUntil = Number.NEGATIVE_INFINITY;
      this.latencyMs = 0;
      this.startedAt = now - record.startedMsAgo;
    }
    if (record.sequence !== this.record.sequence) {
      this.recordInFlight(record.inFlight, now);
    }
    this.record = record;
    this.cold.recordAnnouncement(record.warmUpRemainingMs, now);
    if (record.state === "leaving") this.leaving = true;
  }

  /**
   * Applies a load report. A wrong report can hide only the calls of other
   * entries, and add at most twice the server's slots.
   */
  recordInFlight(inFlight: number, now: number): void {
    this.reportedInFlight = inFlight;
    const bound = 2 * this.record.slots;
    this.#othersInFlight = Math.min(
      Math.max(0, inFlight - this.inFlight),
      bound,
    );
    this.#reportedAt = now;
  }

  /** Records the slowdown that the server reports, if it does. */
  recordSlowdown(slowdown: number | undefined, now: number): void {
    if (slowdown === undefined) return;
    this.slowdown = slowdown;
    this.slowdownAt = now;
  }

  /** Whether the server recently reported that it is slow. */
  isSlow(now: number): boolean {
    return (
      this.slowdown >= SLOWDOWN_THRESHOLD &&
      now - this.slowdownAt < SLOWDOWN_TTL_MS
    );
  }

  /** Adds a service time to the moving average. */
  recordServiceTime(serviceMs: number): void {
    this.latencyMs =
      this.latencyMs === 0
        ? serviceMs
        : this.latencyMs + LATENCY_WEIGHT * (serviceMs - this.latencyMs);
  }

  /**
   * Calls of other entries on the server by its last report, whose weight
   * decreases with its age.
   */
  othersInFlight(now: number): number {
    const age = now - this.#reportedAt;
    if (age >= REPORT_TTL_MS) return 0;
    return this.#othersInFlight * (1 - age / REPORT_TTL_MS);
  }

  /** Whether the server limits its rate, so that only paced calls may go there. */
  get isRateLimited(): boolean {
    return this.rateLimit.perSecond !== undefined;
  }

  /** Whether the server is cold, so that only paced calls may go there. */
  isCold(now: number): boolean {
    return this.limitsCold && this.cold.isCold(now);
  }

  /** Whether only paced calls may go to the server. */
  isPaced(now: number): boolean {
    return this.isRateLimited || this.isCold(now);
  }

  get ready(): boolean {
    return !this.leaving && this.record.state === "ready";
  }

  /** Time for which the server still wants no requests, in milliseconds. */
  backOffMs(now: number): number {
    return Math.max(0, this.backOffUntil - now);
  }

  /**
   * Whether the server wants a request of this entry: the one place that all
   * sends ask. `paced` requests are within its rate limit, or that of a cold server.
   */
  accepts(now: number, { paced = false } = {}): boolean {
    if (!this.ready || this.backOffMs(now) > 0) return false;
    return paced || !this.isPaced(now);
  }
}
