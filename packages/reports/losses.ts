import { SLOWDOWN_THRESHOLD } from "#routing";
import type { AttemptLine, CallLine } from "./call_lines.ts";

/**
 * A late call that waited for this share of its objective is `late_waiting`.
 */
const LATE_WAIT_SHARE = 0.4;

/** Whether a call met its latency objective, or else where it was lost. */
export type Loss =
  | "in_objective"
  | "late_waiting"
  | "late_at_server"
  | "late_after_resend"
  | "left_by_caller"
  | `refused_${string}`
  | `failed_${string}`;

/**
 * How the backend server of an attempt was chosen: checked just before
 * (`asked`), not checked (`unasked`), or known to be slow.
 */
export type Choice = "asked" | "unasked" | "known_slow";

/** Attempts at backend servers and the slot time that they used. */
export interface SlotUse {
  attempts: number;
  /** Attempts that timed out at their deadline. */
  cut: number;
  ranMs: number;
}

/** Number of calls of a class or a time window, in total and by loss. */
export interface LossRow {
  readonly calls: number;
  readonly losses: ReadonlyMap<Loss, number>;
}

class LossCounter implements LossRow {
  calls = 0;
  readonly losses = new Map<Loss, number>();

  add(loss: Loss): void {
    this.calls += 1;
    this.losses.set(loss, (this.losses.get(loss) ?? 0) + 1);
  }
}

/** Counts calls by where they were lost, per time window and per class. */
export class LossReport {
  readonly #windowMs: number;
  readonly #windows = new Map<number, LossCounter>();
  readonly #classes = new Map<string, LossCounter>();
  readonly #slotUse = new Map<string, SlotUse>();

  constructor(options: { windowMs: number }) {
    this.#windowMs = options.windowMs;
  }

  add(call: CallLine): void {
    const loss = classifyCall(call);
    const arrival = Date.parse(call.time) - call.ms;
    const windowStart = Math.floor(arrival / this.#windowMs) * this.#windowMs;
    getOrCreateCounter(this.#windows, windowStart).add(loss);
    getOrCreateCounter(this.#classes, `${call.service} ${call.class}`).add(
      loss,
    );
    for (const attempt of call.attempts) this.#addSlotUse(call, attempt);
  }

  /** Rows by start of the window, in milliseconds since the Unix epoch. */
  windows(): [start: number, row: LossRow][] {
    return [...this.#windows].sort(([a], [b]) => a - b);
  }

  /** Rows by service and class, as `SERVICE CLASS`. */
  classes(): [name: string, row: LossRow][] {
    return [...this.#classes].sort(([a], [b]) => (a < b ? -1 : 1));
  }

  /** Rows by service and choice of servers, as `SERVICE CHOICE`. */
  slots(): [name: string, use: SlotUse][] {
    return [...this.#slotUse].sort(([a], [b]) => (a < b ? -1 : 1));
  }

  #addSlotUse({ service }: CallLine, attempt: AttemptLine): void {
    if (!attempt.server) return;
    const name = `${service} ${serverChoice(attempt)}`;
    const use = this.#slotUse.get(name) ?? { attempts: 0, cut: 0, ranMs: 0 };
    this.#slotUse.set(name, use);
    use.attempts += 1;
    use.ranMs += attempt.ranMs;
    if (attempt.end === "timeout") use.cut += 1;
  }
}

function getOrCreateCounter<K>(
  counters: Map<K, LossCounter>,
  key: K,
): LossCounter {
  let counter = counters.get(key);
  if (!counter) {
    counter = new LossCounter();
    counters.set(key, counter);
  }
  return counter;
}

/** Classifies a call by where it was lost. */
export function classifyCall(call: CallLine): Loss {
  const { outcome, code = "server_error", objectiveMs, attempts } = call;
  if (call.stopped === "caller_closed") return "left_by_caller";
  if (outcome === "not-run") return `refused_${code}`;
  if (outcome === "unknown") return `failed_${code}`;
  if (objectiveMs === undefined || call.ms <= objectiveMs) {
    return "in_objective";
  }
  if (attempts.length > 1) return "late_after_resend";
  const waitedMs = attempts[0]?.waitedMs ?? 0;
  if (waitedMs >= LATE_WAIT_SHARE * objectiveMs) return "late_waiting";
  return "late_at_server";
}

function serverChoice({ basis }: AttemptLine): Choice {
  if ((basis?.slowdown ?? 1) >= SLOWDOWN_THRESHOLD) return "known_slow";
  return (basis?.checks ?? 0) > 0 ? "asked" : "unasked";
}
