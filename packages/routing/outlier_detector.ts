import type { BackendServerId, Service } from "#model";
import type { CallResultKind } from "./effects.ts";
import {
  EJECTION_MS,
  type HealthChange,
  type HealthStatus,
  ServerHealth,
  TRIAL_INTERVAL_MS,
} from "./server_health.ts";

/**
 * Evidence (log likelihood ratio) for "three times slower" from which a server
 * counts as slow.
 */
const SLOW_THRESHOLD = 12;
/** Slowdown of a slow server that the sequential test assumes. */
const SLOW_FACTOR = 3;
/** Evidence against slowness from each completed call. */
const COMPLETION_EVIDENCE = Math.log(SLOW_FACTOR);
/** Upper bound of a call's service time, as a multiple of the expected one. */
const MAX_RATIO = 8;
/**
 * A server counts as slow only if it is slower than the median one by this
 * factor.
 */
const SLOW_VERSUS_MEDIAN = 2.5;
/** Evidence of normal speed that reinstates a slow server. */
const RECOVERY_THRESHOLD = 3;
/**
 * Failure evidence that ejects a server: one a failure, less `SUCCESS_STEP` for
 * each success.
 */
const FAILURE_THRESHOLD = 3;
const SUCCESS_STEP = 0.5;
/** A server is ejected only below this share of the median success rate. */
const SUCCESS_VERSUS_MEDIAN = 0.9;
/** Standard deviations by which a success rate must be below the median. */
const SUCCESS_DEVIATIONS = 3;
/**
 * A trial fails at this multiple of the failures that are usual on other
 * servers, plus one.
 */
const TRIAL_FAILURES_VERSUS_USUAL = 1.5;
const EJECTION_MAX_MS = 30_000;
/** Successes during a trial that reinstate a server. */
const TRIAL_SUCCESSES = 5;
/**
 * Bounds of the ramp-up time from reinstatement to all slots, which equals the
 * time that the server was out.
 */
const RAMP_UP_MAX_MS = 5_000;
const RAMP_UP_MIN_MS = 500;
const TRIAL_INTERVAL_MAX_MS = 2_000;
/** Interval of trial calls once one of them was fast. */
const TRIAL_INTERVAL_AFTER_SUCCESS_MS = 100;
const SAMPLE_WEIGHT = 1 / 16;
const MEAN_WEIGHT = 1 / 256;
/** Most changes that wait to be taken. */
const MAX_CHANGES = 64;

/** The outcome of a call on a server. */
export interface Observation {
  readonly kind: CallResultKind;
  readonly class: string;
  readonly serviceMs: number;
  /** Calls that had to finish on the server first, as a share of its slots. */
  readonly queueRatio: number;
}

/**
 * Detects slow and failing servers of one service from the outcomes of calls. A
 * sequential test of service times at an equal queue ratio finds slow servers;
 * the success rate finds failing ones, however fast they are. Both are compared
 * with the median server, so that a fault of all servers ejects none.
 */
export class OutlierDetector {
  #service: Service;
  readonly #servers = new Set<ServerHealth>();
  /** Mean service times by request class. */
  readonly #means = new Map<string, Mean>();
  readonly #overallMean: Mean = { ms: 0, samples: 0 };
  #slots = 0;
  #outSlots = 0;
  #changes: HealthChange[] = [];

  constructor(service: Service) {
    this.#service = service;
  }

  configure(service: Service): void {
    this.#service = service;
  }

  add(id: BackendServerId, slots: number): ServerHealth {
    const health = new ServerHealth(id, slots);
    this.#servers.add(health);
    this.#slots += slots;
    return health;
  }

  remove(health: ServerHealth): void {
    if (!this.#servers.delete(health)) return;
    health.removed = true;
    this.#slots -= health.slots;
    if (health.status !== "good") this.#outSlots -= health.slots;
  }

  /** Removes and returns the changes of servers' status since the last call. */
  takeChanges(): readonly HealthChange[] {
    if (this.#changes.length === 0) return NO_CHANGES;
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /** Mean service time of all classes, in milliseconds; 0 if unknown. */
  get meanMs(): number {
    return this.#overallMean.ms;
  }

  /** Records an outcome; true if the server's status has changed. */
  observe(
    health: ServerHealth,
    observation: Observation,
    now: number,
  ): boolean {
    if (health.removed) return false;
    const before = health.status;
    if (observation.kind === "answered")
      this.#observeAnswer(health, observation, now);
    else if (observation.kind === "expired")
      this.#observeExpired(health, observation, now);
    else if (observation.kind === "failed" || observation.kind === "lost") {
      this.#observeFailure(health, now);
    }
    return health.status !== before;
  }

  /** Evaluates calls that still run; true if the server is found slow. */
  evaluateRunning(
    health: ServerHealth,
    calls: readonly Pick<Observation, "class" | "serviceMs" | "queueRatio">[],
    now: number,
  ): boolean {
    if (health.removed || health.status !== "good") return false;
    let evidence = health.slowEvidence;
    let averageRatio = health.serviceTimeRatio;
    for (const call of calls) {
      const ratio = this.#timeRatio(call);
      evidence += slownessEvidence(ratio);
      if (ratio > averageRatio)
        averageRatio += SAMPLE_WEIGHT * (ratio - averageRatio);
    }
    if (evidence < SLOW_THRESHOLD) return false;
    return this.#markSlow(health, averageRatio, now);
  }

  /**
   * Starts the trials of servers whose ejection has ended; true if any status
   * has changed.
   */
  tick(now: number): boolean {
    let changed = false;
    if (this.#outSlots === 0) return changed;
    for (const health of this.#servers) {
      if (health.status !== "ejected" || now < health.nextTrialAt) continue;
      this.#setStatus(health, "trial");
      health.successesInTrial = 0;
      health.failuresInTrial = 0;
      changed = true;
    }
    return changed;
  }

  /** Whether a slow server is due for a trial call. */
  isTrialDue(health: ServerHealth, now: number): boolean {
    return health.status === "slow" && now >= health.nextTrialAt;
  }

  startTrial(health: ServerHealth, now: number): void {
    const fast = health.recoveryEvidence > 0;
    health.nextTrialAt =
      now + (fast ? TRIAL_INTERVAL_AFTER_SUCCESS_MS : health.trialIntervalMs);
  }

  #observeAnswer(
    health: ServerHealth,
    observation: Observation,
    now: number,
  ): void {
    const ratio = this.#timeRatio(observation);
    health.samples += 1;
    health.serviceTimeRatio +=
      SAMPLE_WEIGHT * (ratio - health.serviceTimeRatio);
    health.successRate += SAMPLE_WEIGHT * (1 - health.successRate);
    health.failureEvidence = Math.max(0, health.failureEvidence - SUCCESS_STEP);
    const evidence = slownessEvidence(ratio) - COMPLETION_EVIDENCE;
    health.slowEvidence = Math.max(0, health.slowEvidence + evidence);
    if (health.status === "slow") this.#evaluateRecovery(health, evidence, now);
    else if (health.status === "trial") this.#trialSucceeded(health, now);
    else {
      this.#updateMeans(observation);
      if (health.slowEvidence >= SLOW_THRESHOLD) {
        this.#markSlow(health, health.serviceTimeRatio, now);
      }
    }
  }

  /**
   * Records a call that ran until its deadline. Under load a call may start
   * late, so this is no failure, but its run time tells whether the server is
   * slow.
   */
  #observeExpired(
    health: ServerHealth,
    observation: Observation,
    now: number,
  ): void {
    const ratio = this.#timeRatio(observation);
    health.samples += 1;
    if (ratio > health.serviceTimeRatio) {
      health.serviceTimeRatio +=
        SAMPLE_WEIGHT * (ratio - health.serviceTimeRatio);
    }
    health.slowEvidence += slownessEvidence(ratio);
    if (health.status === "trial") {
      this.#observeFailure(health, now);
      return;
    }
    if (health.status !== "good") return;
    if (health.slowEvidence < SLOW_THRESHOLD) return;
    this.#markSlow(health, Math.max(ratio, health.serviceTimeRatio), now);
  }

  #observeFailure(health: ServerHealth, now: number): void {
    health.successRate -= SAMPLE_WEIGHT * health.successRate;
    health.failureEvidence += 1;
    const usual = median([...this.#servers].map((s) => s.successRate));
    if (health.status === "trial") {
      this.#trialFailed(health, { usual, now });
      return;
    }
    if (health.status === "ejected") return;
    if (health.failureEvidence < FAILURE_THRESHOLD) return;
    if (health.successRate >= lowSuccessThreshold(usual)) return;
    if (health.status === "slow" || this.#mayRemove(health)) {
      this.#eject(health, now);
    }
  }

  /**
   * Records a failure during a trial. When all servers fail some of their
   * calls, a server on trial may do so too.
   */
  #trialFailed(
    health: ServerHealth,
    { usual, now }: { usual: number; now: number },
  ): void {
    health.failuresInTrial += 1;
    const calls = health.successesInTrial + health.failuresInTrial;
    const expected = (1 - usual) * calls;
    const failureLimit = 1 + TRIAL_FAILURES_VERSUS_USUAL * expected;
    if (health.failuresInTrial < failureLimit) return;
    health.ejectionMs = Math.min(EJECTION_MAX_MS, 2 * health.ejectionMs);
    this.#eject(health, now);
  }

  #eject(health: ServerHealth, now: number): void {
    if (health.status === "good") {
      this.#outSlots += health.slots;
      health.outSince = now;
    }
    this.#setStatus(health, "ejected");
    health.nextTrialAt = now + health.ejectionMs;
  }

  #markSlow(health: ServerHealth, ratio: number, now: number): boolean {
    const usual = median([...this.#servers].map((s) => s.serviceTimeRatio));
    if (ratio < SLOW_VERSUS_MEDIAN * usual) return false;
    if (!this.#mayRemove(health)) return false;
    this.#outSlots += health.slots;
    health.outSince = now;
    health.serviceTimeRatio = ratio;
    this.#setStatus(health, "slow");
    health.recoveryEvidence = 0;
    health.trialIntervalMs = TRIAL_INTERVAL_MS;
    health.nextTrialAt = now + TRIAL_INTERVAL_MS;
    return true;
  }

  #evaluateRecovery(health: ServerHealth, evidence: number, now: number): void {
    health.recoveryEvidence = Math.max(0, health.recoveryEvidence - evidence);
    if (health.recoveryEvidence === 0) {
      health.trialIntervalMs = Math.min(
        TRIAL_INTERVAL_MAX_MS,
        2 * health.trialIntervalMs,
      );
    } else {
      health.nextTrialAt = Math.min(
        health.nextTrialAt,
        now + TRIAL_INTERVAL_AFTER_SUCCESS_MS,
      );
    }
    if (health.recoveryEvidence < RECOVERY_THRESHOLD) return;
    health.serviceTimeRatio = 1;
    this.#reinstate(health, now);
  }

  #trialSucceeded(health: ServerHealth, now: number): void {
    health.successesInTrial += 1;
    if (health.successesInTrial < TRIAL_SUCCESSES) return;
    health.successRate = 1;
    health.ejectionMs = EJECTION_MS;
    this.#reinstate(health, now);
  }

  #reinstate(health: ServerHealth, now: number): void {
    this.#setStatus(health, "good");
    health.slowEvidence = 0;
    health.failureEvidence = 0;
    health.reinstatedAt = now;
    const outMs = Math.max(RAMP_UP_MIN_MS, now - health.outSince);
    health.rampUpMs = Math.min(RAMP_UP_MAX_MS, outMs);
    this.#outSlots -= health.slots;
  }

  #setStatus(health: ServerHealth, status: HealthStatus): void {
    const { id, status: from, failureEvidence } = health;
    const { successRate, serviceTimeRatio } = health;
    health.status = status;
    if (from === status) return;
    if (this.#changes.length >= MAX_CHANGES) return;
    const evidence = { failureEvidence, successRate, serviceTimeRatio };
    this.#changes.push({ server: id, from, to: status, ...evidence });
  }

  /**
   * Whether a server may be taken out within the cap. Unless the cap is 0, one
   * server may always go if half of the slots remain: of three servers, each
   * has more than the default cap of 30%.
   */
  #mayRemove(health: ServerHealth): boolean {
    const { ejectionMaxPercent } = this.#service;
    const isFirst = ejectionMaxPercent > 0 && this.#outSlots === 0;
    if (isFirst && 2 * health.slots <= this.#slots) return true;
    const limit = (this.#slots * ejectionMaxPercent) / 100;
    return this.#outSlots + health.slots <= limit;
  }

  #timeRatio(
    call: Pick<Observation, "class" | "serviceMs" | "queueRatio">,
  ): number {
    const mean = this.#means.get(call.class)?.ms ?? 0;
    if (mean === 0) return 1;
    const expected = mean * (1 + call.queueRatio);
    return Math.min(MAX_RATIO, call.serviceMs / expected);
  }

  #updateMeans(observation: Observation): void {
    const unqueuedMs = observation.serviceMs / (1 + observation.queueRatio);
    updateMean(this.#overallMean, unqueuedMs);
    const known = this.#means.get(observation.class);
    if (known) {
      updateMean(known, unqueuedMs);
      return;
    }
    this.#means.set(observation.class, { ms: unqueuedMs, samples: 1 });
  }
}

const NO_CHANGES: readonly HealthChange[] = [];

interface Mean {
  ms: number;
  samples: number;
}

function updateMean(mean: Mean, sampleMs: number): void {
  mean.samples += 1;
  const weight = Math.max(MEAN_WEIGHT, 1 / mean.samples);
  const capMs = mean.samples > 1 ? MAX_RATIO * mean.ms : sampleMs;
  mean.ms += weight * (Math.min(sampleMs, capMs) - mean.ms);
}

/** Evidence for slowness from a run time, before the call's end is known. */
function slownessEvidence(ratio: number): number {
  return ratio * (1 - 1 / SLOW_FACTOR);
}

/** Success rate below which a server fails more often than by chance. */
function lowSuccessThreshold(usual: number): number {
  const variance = (usual * (1 - usual) * SAMPLE_WEIGHT) / (2 - SAMPLE_WEIGHT);
  const byChance = usual - SUCCESS_DEVIATIONS * Math.sqrt(variance);
  return Math.min(SUCCESS_VERSUS_MEDIAN * usual, byChance);
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 1;
}
