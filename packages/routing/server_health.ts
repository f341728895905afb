import type { BackendServerId } from "#model";

/** Duration of the first ejection; doubles with each failed trial. */
export const EJECTION_MS = 1_000;
/**
 * First interval of trial calls to a slow server; doubles with each slow one.
 */
export const TRIAL_INTERVAL_MS = 200;

export type HealthStatus = "good" | "slow" | "ejected" | "trial";

/** Health of one server: its status and the evidence for it. */
export class ServerHealth {
  readonly id: BackendServerId;
  readonly slots: number;
  /** The server was removed; results of its last calls no longer count. */
  removed = false;
  status: HealthStatus = "good";
  /** Moving average of the service time relative to the expected one. */
  serviceTimeRatio = 1;
  /** Moving average of the share of calls that did not fail. */
  successRate = 1;
  slowEvidence = 0;
  recoveryEvidence = 0;
  failureEvidence = 0;
  samples = 0;
  successesInTrial = 0;
  failuresInTrial = 0;
  ejectionMs = EJECTION_MS;
  trialIntervalMs = TRIAL_INTERVAL_MS;
  /** End of the ejection, or time of the next trial call to a slow server. */
  nextTrialAt = 0;
  /** Time at which the server was found slow or ejected. */
  outSince = 0;
  reinstatedAt = Number.NEGATIVE_INFINITY;
  rampUpMs = 0;

  constructor(id: BackendServerId, slots: number) {
    this.id = id;
    this.slots = slots;
  }

  /**
   * Share of its slots that the server may use, from 0.1 to 1; ramps up after a
   * reinstatement.
   */
  usableShare(now: number): number {
    const age = now - this.reinstatedAt;
    const { rampUpMs } = this;
    return age >= rampUpMs ? 1 : Math.max(0.1, age / rampUpMs);
  }
}

/** A change of what is believed of a server, with the evidence for it. */
export interface HealthChange {
  readonly server: BackendServerId;
  readonly from: HealthStatus;
  readonly to: HealthStatus;
  readonly failureEvidence: number;
  readonly successRate: number;
  readonly serviceTimeRatio: number;
}
