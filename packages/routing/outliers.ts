import type { BackendServerId, Service } from "#model";
import type { CallResultKind } from "./effects.ts";

/** Evidence for "three times slower" (log likelihood) that convicts. */
const SLOW_THRESHOLD = 12;
/** Assumed slowdown of a straggler in the sequential test. */
const SLOW_FACTOR = 3;
/** Evidence against slowness in each completed call. */
const COMPLETION_EVIDENCE = Math.log(SLOW_FACTOR);
/** A single call counts for at most this many mean service times. */
const RATIO_CAP = 8;
/** A convicted server must be this much slower than the median one. */
const SLOW_VERSUS_MEDIAN = 2.5;
/** Evidence of normal speed that clears a straggler. */
const CLEAR_THRESHOLD = 3;
/** Failures in a row that eject a server. */
const FAIL_THRESHOLD = 3;
const SUCCESS_STEP = 0.5;
/** Ejected only below this share of the median success rate. */
const SUCCESS_VERSUS_MEDIAN = 0.9;
/** A lower success rate counts from so many standard deviations of chance. */
const SUCCESS_DEVIATIONS = 3;
/** A trial fails from this multiple of the failures that are usual elsewhere. */
const TRIAL_FAILURES_VERSUS_USUAL = 1.5;
/** First ejection; doubles with each failed trial. */
const EJECT_MS = 1_000;
const EJECT_MAX_MS = 30_000;
/** Successes in trial that end an ejection. */
const TRIAL_SUCCESSES = 5;
/** Longest time from reinstatement to all slots; shorter after a short one. */
const REINSTATE_MAX_MS = 5_000;
const REINSTATE_MIN_MS = 500;
/** First interval of trial calls to a straggler; doubles with each slow one. */
const SLOW_TRIAL_MS = 200;
const SLOW_TRIAL_MAX_MS = 2_000;
/** The same once a trial call was fast. */
const SLOW_RETRIAL_MS = 100;
const SAMPLE_WEIGHT = 1 / 16;
const MEAN_WEIGHT = 1 / 256;

export type Standing = "good" | "slow" | "ejected" | "trial";

/** What became of a call on a server. */
export interface Observation {
  readonly kind: CallResultKind;
  readonly class: string;
  readonly serviceMs: number;
  /** Calls that had to finish there first, as a share of its slots. */
  readonly crowding: number;
}

/** Evidence about one server. */
export class ServerHealth {
  readonly id: BackendServerId;
  readonly slots: number;
  /** Results of the server's last calls no longer count. */
  removed = false;
  standing: Standing = "good";
  /** Moving average of service time over the expected one. */
  ratio = 1;
  /** Moving share of calls that did not fail. */
  success = 1;
  slowEvidence = 0;
  clearEvidence = 0;
  failEvidence = 0;
  samples = 0;
  successesInTrial = 0;
  failuresInTrial = 0;
  ejectMs = EJECT_MS;
  trialMs = SLOW_TRIAL_MS;
  /** End of the ejection, or time of the next trial of a straggler. */
  until = 0;
  /** Time at which the server was taken out. */
  outSince = 0;
  reinstatedAt = Number.NEGATIVE_INFINITY;
  reinstateMs = 0;

  constructor(id: BackendServerId, slots: number) {
    this.id = id;
    this.slots = slots;
  }

  /** Share of its slots that the server may use, from 0 to 1. */
  allowance(now: number): number {
    const age = now - this.reinstatedAt;
    const { reinstateMs } = this;
    return age >= reinstateMs ? 1 : Math.max(0.1, age / reinstateMs);
  }
}

/**
 * Detects stragglers and failing servers of one service from outcomes. A
 * straggler shows in service time at equal crowding, by a sequential test; a
 * failing server in its success rate, however quick it is. Both are relative
 * to the median server, so that a fault of all is blamed on none.
 */
export class Outliers {
  #service: Service;
  readonly #servers = new Set<ServerHealth>();
  /** Mean service times by class. */
  readonly #means = new Map<string, Mean>();
  readonly #all: Mean = { ms: 0, samples: 0 };
  #slots = 0;
  #outSlots = 0;

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
    if (health.standing !== "good") this.#outSlots -= health.slots;
  }

  /** Mean service time of all classes, in milliseconds; 0 if unknown. */
  get meanMs(): number {
    return this.#all.ms;
  }

  /** Takes in an outcome; true if the server's standing has changed. */
  observe(health: ServerHealth, seen: Observation, now: number): boolean {
    if (health.removed) return false;
    const before = health.standing;
    if (seen.kind === "answered") this.#answered(health, seen, now);
    else if (seen.kind === "expired") this.#cutOff(health, seen, now);
    else if (seen.kind === "failed" || seen.kind === "lost") {
      this.#failed(health, now);
    }
    return health.standing !== before;
  }

  /** Weighs calls that still run; true if the server is found slow. */
  weighRunning(
    health: ServerHealth,
    calls: readonly Pick<Observation, "class" | "serviceMs" | "crowding">[],
    now: number,
  ): boolean {
    if (health.removed || health.standing !== "good") return false;
    let evidence = health.slowEvidence;
    let ratios = health.ratio;
    for (const call of calls) {
      const ratio = this.#ratio(call);
      evidence += slowExposure(ratio);
      if (ratio > ratios) ratios += SAMPLE_WEIGHT * (ratio - ratios);
    }
    if (evidence < SLOW_THRESHOLD) return false;
    return this.#convict(health, ratios, now);
  }

  /** Lets ended ejections go into trial; true if any standing changed. */
  tick(now: number): boolean {
    let changed = false;
    if (this.#outSlots === 0) return changed;
    for (const health of this.#servers) {
      if (health.standing !== "ejected" || now < health.until) continue;
      health.standing = "trial";
      health.successesInTrial = 0;
      health.failuresInTrial = 0;
      changed = true;
    }
    return changed;
  }

  /** Whether a straggler is due a call that tries it. */
  trialDue(health: ServerHealth, now: number): boolean {
    return health.standing === "slow" && now >= health.until;
  }

  trialStarted(health: ServerHealth, now: number): void {
    const fast = health.clearEvidence > 0;
    health.until = now + (fast ? SLOW_RETRIAL_MS : health.trialMs);
  }

  #answered(health: ServerHealth, seen: Observation, now: number): void {
    const ratio = this.#ratio(seen);
    health.samples += 1;
    health.ratio += SAMPLE_WEIGHT * (ratio - health.ratio);
    health.success += SAMPLE_WEIGHT * (1 - health.success);
    health.failEvidence = Math.max(0, health.failEvidence - SUCCESS_STEP);
    const evidence = slowExposure(ratio) - COMPLETION_EVIDENCE;
    health.slowEvidence = Math.max(0, health.slowEvidence + evidence);
    if (health.standing === "slow") this.#maybeClear(health, evidence, now);
    else if (health.standing === "trial") this.#trialSucceeded(health, now);
    else {
      this.#measure(seen);
      if (health.slowEvidence >= SLOW_THRESHOLD) {
        this.#convict(health, health.ratio, now);
      }
    }
  }

  /**
   * A call ran until its deadline. Under load a call may start late, so that
   * this is no failure; how long it ran tells whether the server is slow.
   */
  #cutOff(health: ServerHealth, seen: Observation, now: number): void {
    const ratio = this.#ratio(seen);
    health.samples += 1;
    if (ratio > health.ratio) {
      health.ratio += SAMPLE_WEIGHT * (ratio - health.ratio);
    }
    health.slowEvidence += slowExposure(ratio);
    if (health.standing === "trial") {
      this.#failed(health, now);
      return;
    }
    if (health.standing !== "good") return;
    if (health.slowEvidence < SLOW_THRESHOLD) return;
    this.#convict(health, Math.max(ratio, health.ratio), now);
  }

  #failed(health: ServerHealth, now: number): void {
    health.success -= SAMPLE_WEIGHT * health.success;
    health.failEvidence += 1;
    const usual = median([...this.#servers].map((s) => s.success));
    if (health.standing === "trial") {
      this.#trialFailed(health, { usual, now });
      return;
    }
    if (health.standing === "ejected") return;
    if (health.failEvidence < FAIL_THRESHOLD) return;
    if (health.success >= unusualSuccess(usual)) return;
    if (health.standing === "slow" || this.#mayTakeOut(health)) {
      this.#eject(health, now);
    }
  }

  /** When all servers fail part of their calls, so may one on trial. */
  #trialFailed(
    health: ServerHealth,
    { usual, now }: { usual: number; now: number },
  ): void {
    health.failuresInTrial += 1;
    const calls = health.successesInTrial + health.failuresInTrial;
    const expected = (1 - usual) * calls;
    const most = 1 + TRIAL_FAILURES_VERSUS_USUAL * expected;
    if (health.failuresInTrial < most) return;
    health.ejectMs = Math.min(EJECT_MAX_MS, 2 * health.ejectMs);
    this.#eject(health, now);
  }

  #eject(health: ServerHealth, now: number): void {
    if (health.standing === "good") {
      this.#outSlots += health.slots;
      health.outSince = now;
    }
    health.standing = "ejected";
    health.until = now + health.ejectMs;
  }

  #convict(health: ServerHealth, ratio: number, now: number): boolean {
    const usual = median([...this.#servers].map((s) => s.ratio));
    if (ratio < SLOW_VERSUS_MEDIAN * usual) return false;
    if (!this.#mayTakeOut(health)) return false;
    this.#outSlots += health.slots;
    health.outSince = now;
    health.ratio = ratio;
    health.standing = "slow";
    health.clearEvidence = 0;
    health.trialMs = SLOW_TRIAL_MS;
    health.until = now + SLOW_TRIAL_MS;
    return true;
  }

  #maybeClear(health: ServerHealth, evidence: number, now: number): void {
    health.clearEvidence = Math.max(0, health.clearEvidence - evidence);
    if (health.clearEvidence === 0) {
      health.trialMs = Math.min(SLOW_TRIAL_MAX_MS, 2 * health.trialMs);
    } else {
      health.until = Math.min(health.until, now + SLOW_RETRIAL_MS);
    }
    if (health.clearEvidence < CLEAR_THRESHOLD) return;
    health.ratio = 1;
    this.#reinstate(health, now);
  }

  #trialSucceeded(health: ServerHealth, now: number): void {
    health.successesInTrial += 1;
    if (health.successesInTrial < TRIAL_SUCCESSES) return;
    health.success = 1;
    health.ejectMs = EJECT_MS;
    this.#reinstate(health, now);
  }

  #reinstate(health: ServerHealth, now: number): void {
    health.standing = "good";
    health.slowEvidence = 0;
    health.failEvidence = 0;
    health.reinstatedAt = now;
    const outMs = Math.max(REINSTATE_MIN_MS, now - health.outSince);
    health.reinstateMs = Math.min(REINSTATE_MAX_MS, outMs);
    this.#outSlots -= health.slots;
  }

  /**
   * Keeps to the cap, but lets one server go that leaves half of the slots:
   * of three servers, each has more than the default cap of 30%.
   */
  #mayTakeOut(health: ServerHealth): boolean {
    const { ejectionMaxPercent } = this.#service;
    const first = ejectionMaxPercent > 0 && this.#outSlots === 0;
    if (first && 2 * health.slots <= this.#slots) return true;
    const limit = (this.#slots * ejectionMaxPercent) / 100;
    return this.#outSlots + health.slots <= limit;
  }

  #ratio(seen: Pick<Observation, "class" | "serviceMs" | "crowding">): number {
    const mean = this.#means.get(seen.class)?.ms ?? 0;
    if (mean === 0) return 1;
    const expected = mean * (1 + seen.crowding);
    return Math.min(RATIO_CAP, seen.serviceMs / expected);
  }

  #measure(seen: Observation): void {
    const bareMs = seen.serviceMs / (1 + seen.crowding);
    update(this.#all, bareMs);
    const known = this.#means.get(seen.class);
    if (known) {
      update(known, bareMs);
      return;
    }
    this.#means.set(seen.class, { ms: bareMs, samples: 1 });
  }
}

interface Mean {
  ms: number;
  samples: number;
}

function update(mean: Mean, sampleMs: number): void {
  mean.samples += 1;
  const weight = Math.max(MEAN_WEIGHT, 1 / mean.samples);
  const capMs = mean.samples > 1 ? RATIO_CAP * mean.ms : sampleMs;
  mean.ms += weight * (Math.min(sampleMs, capMs) - mean.ms);
}

/** Evidence of a running time, before the call's end is known. */
function slowExposure(ratio: number): number {
  return ratio * (1 - 1 / SLOW_FACTOR);
}

/** Success rate below which a server does worse than by chance. */
function unusualSuccess(usual: number): number {
  const variance = (usual * (1 - usual) * SAMPLE_WEIGHT) / (2 - SAMPLE_WEIGHT);
  const byChance = usual - SUCCESS_DEVIATIONS * Math.sqrt(variance);
  return Math.min(SUCCESS_VERSUS_MEDIAN * usual, byChance);
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 1;
}
