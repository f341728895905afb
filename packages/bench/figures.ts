import { build, type Histogram } from "hdr-histogram-js";
import type { Priority } from "#model";

function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** The measurements of one run, or of several runs together. */
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
  /** Calls that no server was assigned to in the call of `submit` itself. */
  deferred = 0;
  probeMs = 0;
  capacityMs = 0;
  /** Messages between entries. */
  messages = 0;
  /** 99th percentile of the waiting time of each run, in milliseconds. */
  readonly waitingP99sMs: number[] = [];

  record(priority: Priority, ms: { latency: number; waiting: number }): void {
    this.latency.recordValue(toMicroseconds(ms.latency));
    const waiting = toMicroseconds(ms.waiting);
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
    this.deferred += other.deferred;
    this.probeMs += other.probeMs;
    this.capacityMs += other.capacityMs;
    this.messages += other.messages;
    this.waitingP99sMs.push(percentileMs(other.waiting, 99));
  }
}

/** A percentile (0 to 100) of a histogram of microseconds, in milliseconds. */
export function percentileMs(from: Histogram, percentile: number): number {
  return from.getValueAtPercentile(percentile) / 1_000;
}

function toMicroseconds(ms: number): number {
  return Math.max(0, Math.round(ms * 1_000));
}
