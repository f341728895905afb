import { build, type Histogram } from "hdr-histogram-js";
import type { Priority } from "#model";

function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** What one run, or several runs together, measured. */
export class Figures {
  readonly latency = histogram();
  readonly waiting = histogram();
  readonly byPriority: Record<Priority, Histogram> = {
    urgent: histogram(),
    patient: histogram(),
  };
  offered = 0;
  rejected = 0;
  failed = 0;
  /** Calls whose first assignment did not come at once. */
  asked = 0;
  probeMs = 0;
  capacityMs = 0;
  /** Messages between entries. */
  messages = 0;
  /** p99 of waiting time of each run, in milliseconds. */
  readonly p99s: number[] = [];

  record(priority: Priority, ms: { latency: number; waiting: number }): void {
    this.latency.recordValue(micros(ms.latency));
    const waiting = micros(ms.waiting);
    this.waiting.recordValue(waiting);
    this.byPriority[priority].recordValue(waiting);
  }

  /** Adds the figures of another run. */
  add(other: Figures): void {
    this.latency.add(other.latency);
    this.waiting.add(other.waiting);
    this.byPriority.urgent.add(other.byPriority.urgent);
    this.byPriority.patient.add(other.byPriority.patient);
    this.offered += other.offered;
    this.rejected += other.rejected;
    this.failed += other.failed;
    this.asked += other.asked;
    this.probeMs += other.probeMs;
    this.capacityMs += other.capacityMs;
    this.messages += other.messages;
    this.p99s.push(quantile(other.waiting, 99));
  }
}

/** A percentile in milliseconds. */
export function quantile(from: Histogram, percentile: number): number {
  return from.getValueAtPercentile(percentile) / 1_000;
}

function micros(ms: number): number {
  return Math.max(0, Math.round(ms * 1_000));
}
