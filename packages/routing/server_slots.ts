import type { BackendServer } from "#model";
import { ColdPeriod, pacedRate } from "./cold_period.ts";
import {
  type ConcurrencyEstimator,
  FULL_SPEED_SHARE,
} from "./concurrency_estimator.ts";
import { NamedRate } from "./named_rate.ts";
import { SLOWDOWN_THRESHOLD } from "./placement_checks.ts";
import { RatePacer } from "./rate_pacer.ts";
import type { ServerHealth } from "./server_health.ts";
import { SLOWDOWN_TTL_MS } from "./server_state.ts";
import type { WarmUp } from "./warm_up.ts";

/** Weight of a credit in a server's load, relative to a slot in use. */
const CREDIT_WEIGHT = 0.3;
/**
 * Pause of a server that sheds a call; doubles with each further one until the
 * server answers a call.
 */
const SHED_PAUSE_MS = 25;
const SHED_PAUSE_MAX_MS = 1_000;
/** Time after which a server that shed calls gets one more slot back. */
const SHED_RECOVERY_MS = 200;

/** What the number of a server's usable slots depends on. */
interface LimitOptions {
  readonly warmUp: WarmUp;
  readonly concurrency: ConcurrencyEstimator;
  /** A limit to explore instead of the estimated one. */
  readonly exploredLimit: number | undefined;
  readonly now: number;
}

/** A dispatcher's view of one server: its slots, their use, and its health. */
export class ServerSlots {
  record: BackendServer;
  readonly health: ServerHealth;
  readonly startedAt: number;
  heapIndex = -1;
  /** Slots in use by calls of any entry. */
  inUse = 0;
  /** Credits that entries hold for this server. */
  credits = 0;
  /** Slots that may be in use now; 0 if the server gets no calls. */
  limit = 0;
  /** The rate limit that the server names. */
  readonly rateLimit = new NamedRate();
  readonly cold = new ColdPeriod();
  /**
   * Slots that may be in use while the server limits its rate. Its `limit` is 0
   * then, so that it only gets calls that are paced.
   */
  pacedLimit = 0;
  /** This server's part of the totals in the slot table. */
  countedFree = 0;
  countedLimit = 0;
  lastHeard: number;
  leaving = false;
  shedLimit = Number.POSITIVE_INFINITY;
  shedPauseMs = SHED_PAUSE_MS;
  pausedUntil = 0;
  /**
   * The slowdown that the server reported last; it counts until `slowedUntil`.
   */
  slowdown = 1;
  slowedUntil = 0;
  #shedAt = 0;
  #pacer: RatePacer | undefined;

  constructor(record: BackendServer, health: ServerHealth, now: number) {
    this.record = record;
    this.health = health;
    this.startedAt = now - record.startedMsAgo;
    this.lastHeard = now;
  }

  get free(): number {
    return Math.max(0, this.limit - this.inUse);
  }

  /** Whether the server would run one more call at full speed. */
  get hasFullSpeedSlot(): boolean {
    return this.inUse + 1 <= FULL_SPEED_SHARE * this.record.slots;
  }

  /** Spaces the requests to the server while it limits its rate. */
  get pacer(): RatePacer | undefined {
    return this.#pacer;
  }

  get isPaced(): boolean {
    return this.#pacer !== undefined;
  }

  /** Whether the server's requests are spaced only because it is cold. */
  get isPacedAsCold(): boolean {
    return this.isPaced && this.rateLimit.perSecond === undefined;
  }

  /**
   * Applies a change of the rate limit, of the warm-up, or of the requests a second
   * that a cold server gets; these are not limited if undefined.
   */
  updatePacer(coldPerSecond: number | undefined, now: number): void {
    const cold = this.cold.isCold(now) ? coldPerSecond : undefined;
    const rate = pacedRate({ named: this.rateLimit.perSecond, cold });
    if (!rate) this.#pacer = undefined;
    else if (this.#pacer) this.#pacer.setRate(rate.perSecond, now, rate);
    else this.#pacer = new RatePacer(rate.perSecond, now, rate);
  }

  /** Whether one more call is within the server's rate limit and slots. */
  hasPacedSlot(now: number): boolean {
    const isFull = this.inUse >= this.pacedLimit || now < this.slowedUntil;
    return !isFull && this.#pacer?.isReady(now) === true;
  }

  /** Load of a server that limits its rate, as `relativeLoad` of others. */
  pacedLoad(): number {
    return this.inUse / Math.max(1, this.pacedLimit);
  }

  /** Whether the server is slow, and used only when waiting would cost more. */
  get isSlow(): boolean {
    return this.health.status === "slow" || this.slowedUntil > 0;
  }

  /** How many times longer a call takes here than elsewhere. */
  get serviceTimeRatio(): number {
    const slowdown = this.slowedUntil > 0 ? this.slowdown : 1;
    return Math.max(this.health.serviceTimeRatio, slowdown);
  }

  /** Records the slowdown that the server reports, if it does. */
  recordSlowdown(slowdown: number | undefined, now: number): void {
    if (slowdown === undefined) return;
    this.slowdown = slowdown;
    this.slowedUntil =
      slowdown >= SLOWDOWN_THRESHOLD ? now + SLOWDOWN_TTL_MS : 0;
  }

  relativeLoad(): number {
    if (this.limit === 0) return Number.POSITIVE_INFINITY;
    return (this.inUse + CREDIT_WEIGHT * this.credits) / this.limit;
  }

  /**
   * Records that the server refused a call without starting it (load shedding).
   */
  recordShed(now: number): void {
    this.shedLimit = Math.max(1, Math.min(this.inUse, this.record.slots) - 1);
    this.pausedUntil = now + this.shedPauseMs;
    this.shedPauseMs = Math.min(SHED_PAUSE_MAX_MS, 2 * this.shedPauseMs);
    this.#shedAt = now;
  }

  recordAnswer(): void {
    this.shedPauseMs = SHED_PAUSE_MS;
  }

  refreshLimit(options: LimitOptions): void {
    const usable = this.#usableSlots(options);
    this.limit = this.#pacer ? 0 : usable;
    this.pacedLimit = this.#pacer ? usable : 0;
  }

  #usableSlots(options: LimitOptions): number {
    const { warmUp, concurrency, exploredLimit, now } = options;
    const { record, health } = this;
    if (now >= this.slowedUntil) this.slowedUntil = 0;
    const unavailable = this.leaving || record.state !== "ready";
    if (unavailable || health.status === "ejected" || now < this.pausedUntil) {
      return 0;
    }
    if (health.status === "trial") return 1;
    if (now - this.#shedAt >= SHED_RECOVERY_MS) {
      this.shedLimit += 1;
      this.#shedAt = now;
    }
    const warmLimit = warmUp.slots(this, now) * health.usableShare(now);
    const bestLimit = exploredLimit ?? concurrency.bestLimit(record.slots, now);
    const limit = Math.min(warmLimit, bestLimit, this.shedLimit);
    return Math.max(1, Math.floor(limit));
  }
}
