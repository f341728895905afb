import type { BackendServer } from "#model";
import type { ServerHealth } from "./outlier_detector.ts";
import { SLOWED } from "./placement_checks.ts";

/** Weight of a new sample in the average of service times. */
const LATENCY_WEIGHT = 0.1;
/** Time for which a spell of slowness is assumed to go on. */
export const SLOWDOWN_TTL_MS = 100;
/** Age at which a reported load no longer counts. */
const REPORT_TTL_MS = 250;

/** What one entry knows of a backend server from its own calls. */
export class ServerState {
  record: BackendServer;
  health: ServerHealth;
  /** Position among the free servers; -1 if it is not one. */
  sampleIndex = -1;
  /** The server is no longer in the records. */
  removed = false;
  /** Calls of this entry that run on the server. */
  inFlight = 0;
  /** Calls that this entry gives it at the same time. */
  limit = 1;
  /** The server shed a call and gets none until then. */
  pausedUntil = 0;
  /** The server announced that it is leaving; final within an incarnation. */
  leaving = false;
  /** Time of the last result or probe answer. */
  lastHeard: number;
  /** Moving average of service times, in milliseconds; 0 if unknown. */
  latencyMs = 0;
  /** Start of the server's incarnation on this entry's clock. */
  startedAt: number;
  /** The server's own figure of its speed, and when it came. */
  slowdown = 1;
  slowdownAt = Number.NEGATIVE_INFINITY;
  /** Requests there by its last report, this entry's included. */
  reportedInFlight = 0;
  #othersInFlight = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;

  constructor(record: BackendServer, health: ServerHealth, now: number) {
    this.record = record;
    this.health = health;
    this.lastHeard = now;
    this.startedAt = now - record.startedMsAgo;
  }

  /** Takes over a newer announcement. */
  updateRecord(record: BackendServer, now: number): void {
    if (record.incarnation !== this.record.incarnation) {
      this.leaving = false;
      this.latencyMs = 0;
      this.startedAt = now - record.startedMsAgo;
    }
    if (record.sequence !== this.record.sequence) {
      this.recordInFlight(record.inFlight, now);
    }
    this.record = record;
    if (record.state === "leaving") this.leaving = true;
  }

  /** Takes over a load report; a lie can hide at most the others' calls. */
  recordInFlight(inFlight: number, now: number): void {
    this.reportedInFlight = inFlight;
    const bound = 2 * this.record.slots;
    this.#othersInFlight = Math.min(
      Math.max(0, inFlight - this.inFlight),
      bound,
    );
    this.#reportedAt = now;
  }

  /** Takes the server's own figure of how long work takes now. */
  recordSlowdown(slowdown: number | undefined, now: number): void {
    if (slowdown === undefined) return;
    this.slowdown = slowdown;
    this.slowdownAt = now;
  }

  /** Whether the server said lately that it is slow. */
  isSlow(now: number): boolean {
    return this.slowdown >= SLOWED && now - this.slowdownAt < SLOWDOWN_TTL_MS;
  }

  /** Adds a service time to the average. */
  recordServiceTime(serviceMs: number): void {
    this.latencyMs =
      this.latencyMs === 0
        ? serviceMs
        : this.latencyMs + LATENCY_WEIGHT * (serviceMs - this.latencyMs);
  }

  /** Calls of other entries there, as far as a recent report tells. */
  othersInFlight(now: number): number {
    const age = now - this.#reportedAt;
    if (age >= REPORT_TTL_MS) return 0;
    return this.#othersInFlight * (1 - age / REPORT_TTL_MS);
  }

  get ready(): boolean {
    return !this.leaving && this.record.state === "ready";
  }
}
