import type { Clock } from "#model";
import type { Logger } from "#telemetry";
import type { KeyAccess } from "#tenants";

export interface ReadinessOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly keyAccess: KeyAccess;
  /** Whether the configuration was confirmed recently. */
  readonly isConfirmed: () => boolean;
  readonly confirmationAgeMs: () => number;
  /** Whether a configuration document is in force. */
  readonly hasDocument: () => boolean;
  /** Whether enough lists of servers are known. */
  readonly knowsServers: () => boolean;
  readonly isStopping: () => boolean;
  /** Number of control hosts with an open link. */
  readonly linkedControls: () => number;
}

/** Judges what an entry may serve, and logs each change of it. */
export class Readiness {
  readonly #options: ReadinessOptions;
  readonly #startedAt: number;
  #logged = "";
  #loggedAt: number;

  constructor(options: ReadinessOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#loggedAt = this.#startedAt;
  }

  /** Whether a configuration document is in force and recently confirmed. */
  mayServe(): boolean {
    return this.#options.isConfirmed() && this.#options.hasDocument();
  }

  /** Whether requests with keys will soon be refused, as control is not reached. */
  keyLeaseEnds(): boolean {
    return this.#options.keyAccess.isEnding(this.#now());
  }

  /** What is missing for the entry to get new calls. */
  missing(): string[] {
    const { isStopping, knowsServers } = this.#options;
    const reasons: string[] = [];
    if (!this.mayServe()) reasons.push("configuration not confirmed");
    if (!knowsServers()) reasons.push("joining");
    if (isStopping()) reasons.push("stopping");
    if (this.keyLeaseEnds()) reasons.push("lease on keys ends");
    return reasons;
  }

  /** Logs what is served if that has changed; to be called a few times a second. */
  logChange(): void {
    const { clock, logger, keyAccess, confirmationAgeMs, linkedControls } =
      this.#options;
    const servesRoutes = this.mayServe();
    const servesKeys = servesRoutes && keyAccess.mayUseKeys(this.#now());
    const missing = this.missing();
    const state = JSON.stringify([servesRoutes, servesKeys, missing]);
    if (state === this.#logged) return;
    const now = clock.now();
    logger.info("readiness changed", {
      servesRoutes,
      servesKeys,
      missing,
      sinceStartMs: Math.round(now - this.#startedAt),
      formerForMs: Math.round(now - this.#loggedAt),
      confirmedMsAgo: finite(confirmationAgeMs()),
      keyLeaseMs: finite(keyAccess.leaseAgeMs(this.#now())),
      linkedControls: linkedControls(),
    });
    this.#logged = state;
    this.#loggedAt = now;
  }

  #now() {
    const { clock } = this.#options;
    return { steady: clock.now(), wall: clock.wallTime() };
  }
}

/** A rounded number of milliseconds; undefined for "never". */
function finite(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}
