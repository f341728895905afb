import { SLOWDOWN_THRESHOLD } from "#routing";
import type { AttemptLine, CallLine } from "./call_lines.ts";

/** Part of the objective from which waiting is what made a call late. */
const LONG_WAIT_SHARE = 0.4;

/** What became of a call, by the place where it was lost. */
export type Loss =
  | "in_objective"
  | "late_waiting"
  | "late_at_server"
  | "late_after_resend"
  | "left_by_caller"
  | `refused_${string}`
  | `failed_${string}`;

/** How the server of an attempt was chosen. */
export type Choice = "asked" | "unasked" | "known_slow";

/** Slot time of a service, by how the servers were chosen. */
export interface SlotUse {
  attempts: number;
  /** Attempts that were cut at their deadline. */
  cut: number;
  ranMs: number;
}

/** What became of the calls of a service or a window. */
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

/** Splits what callers did not get by where it was lost. */
export class LossReport {
  readonly #windowMs: number;
  readonly #windows = new Map<number, LossCounter>();
  readonly #classes = new Map<string, LossCounter>();
  readonly #slots = new Map<string, SlotUse>();

  constructor(options: { windowMs: number }) {
    this.#windowMs = options.windowMs;
  }

  add(call: CallLine): void {
    const loss = lossOf(call);
    const arrival = Date.parse(call.time) - call.ms;
    const window = Math.floor(arrival / this.#windowMs) * this.#windowMs;
    counterOf(this.#windows, window).add(loss);
    counterOf(this.#classes, `${call.service} ${call.class}`).add(loss);
    for (const attempt of call.attempts) this.#addSlotUse(call, attempt);
  }

  /** By time of arrival, in milliseconds since 1970. */
  windows(): [start: number, row: LossRow][] {
    return [...this.#windows].sort(([a], [b]) => a - b);
  }

  /** By service and class. */
  classes(): [name: string, row: LossRow][] {
    return [...this.#classes].sort(([a], [b]) => (a < b ? -1 : 1));
  }

  /** By service and choice of servers. */
  slots(): [name: string, use: SlotUse][] {
    return [...this.#slots].sort(([a], [b]) => (a < b ? -1 : 1));
  }

  #addSlotUse({ service }: CallLine, attempt: AttemptLine): void {
    if (!attempt.server) return;
    const name = `${service} ${choiceOf(attempt)}`;
    const use = this.#slots.get(name) ?? { attempts: 0, cut: 0, ranMs: 0 };
    this.#slots.set(name, use);
    use.attempts += 1;
    use.ranMs += attempt.ranMs;
    if (attempt.end === "timeout") use.cut += 1;
  }
}

function counterOf<K>(counters: Map<K, LossCounter>, key: K): LossCounter {
  let counter = counters.get(key);
  if (!counter) {
    counter = new LossCounter();
    counters.set(key, counter);
  }
  return counter;
}

/** Where a call was lost. */
export function lossOf(call: CallLine): Loss {
  const { outcome, code = "server_error", objectiveMs, attempts } = call;
  if (call.stopped === "caller_closed") return "left_by_caller";
  if (outcome === "not-run") return `refused_${code}`;
  if (outcome === "unknown") return `failed_${code}`;
  if (objectiveMs === undefined || call.ms <= objectiveMs) {
    return "in_objective";
  }
  if (attempts.length > 1) return "late_after_resend";
  const waitedMs = attempts[0]?.waitedMs ?? 0;
  if (waitedMs >= LONG_WAIT_SHARE * objectiveMs) return "late_waiting";
  return "late_at_server";
}

function choiceOf({ basis }: AttemptLine): Choice {
  if ((basis?.slowdown ?? 1) >= SLOWDOWN_THRESHOLD) return "known_slow";
  return (basis?.checks ?? 0) > 0 ? "asked" : "unasked";
}
