import type { PlannedStop, StopPhase, StopProgress } from "#model";

/** A planned stop's progress as the registry keeps it. */
export interface StopRun extends StopProgress {
  /**
   * Version of the configuration at which the phase began. Reports of entries
   * that had an older configuration say nothing about it.
   */
  readonly version: number;
}

/** Phases in the only order in which they may follow each other. */
const PHASE_ORDER: Readonly<Record<StopPhase, number>> = {
  pending: 0,
  draining: 1,
  overdue: 2,
  done: 3,
};

export type StopChange = "done" | "unchanged" | "unknown_stop" | "other_run";

interface KeptRun extends StopRun {
  /** What the run stops, and from when; another definition is another run. */
  readonly definition: string;
}

type Moment = { readonly at: number; readonly version: number };

/**
 * The progress of planned stops. A run is a stop's name with its definition
 * (service, servers, time); within a run, phases only go forward, each once.
 *
 * When the document changes while a stop runs:
 * - A stop that is gone from the document is cancelled; its servers get work
 *   again.
 * - A stop with another definition is another run. If the former run was
 *   draining or overdue for the same service and the new time has come, the
 *   new run begins as draining, so that its servers get no work in between.
 *   Otherwise it begins as pending.
 * - A change of `after` alone leaves the run as it is: it decides only when a
 *   pending stop starts.
 */
export class StopRuns {
  readonly #runs = new Map<string, KeptRun>();

  /** All runs in the order of their names. */
  all(): StopRun[] {
    return this.kept().map(({ stop, phase, since, version }) => {
      return { stop, phase, since, version };
    });
  }

  /** All runs as a snapshot has them. */
  kept(): KeptRun[] {
    return [...this.#runs.values()].sort((a, b) => (a.stop < b.stop ? -1 : 1));
  }

  /** Takes over the stops of an accepted document. */
  plan(stops: readonly PlannedStop[], { at, version }: Moment): void {
    const names = new Set(stops.map(({ name }) => name));
    for (const name of [...this.#runs.keys()]) {
      if (!names.has(name)) this.#runs.delete(name);
    }
    for (const stop of stops) {
      const former = this.#runs.get(stop.name);
      const definition = describeStop(stop);
      if (former?.definition === definition) continue;
      const phase = firstPhase(stop, { former, at });
      const run = { stop: stop.name, phase, since: at, version, definition };
      this.#runs.set(stop.name, run);
    }
  }

  /** Moves a run to a later phase. */
  advance(
    move: { stop: string; version: number; phase: StopPhase },
    { at, version }: Moment,
  ): StopChange {
    const run = this.#runs.get(move.stop);
    if (run === undefined) return "unknown_stop";
    if (run.version !== move.version) return "other_run";
    if (!mayFollow(run.phase, move.phase)) return "unchanged";
    this.#runs.set(move.stop, {
      ...run,
      phase: move.phase,
      since: at,
      version,
    });
    return "done";
  }

  /** Adds a run from a snapshot. */
  restore(run: KeptRun): void {
    this.#runs.set(run.stop, run);
  }
}

function mayFollow(present: StopPhase, next: StopPhase): boolean {
  if (present === "pending") return next === "draining";
  return PHASE_ORDER[next] > PHASE_ORDER[present];
}

function firstPhase(
  stop: PlannedStop,
  { former, at }: { former: KeptRun | undefined; at: number },
): StopPhase {
  const ran = former?.phase === "draining" || former?.phase === "overdue";
  if (!ran || stop.at > at) return "pending";
  const service = JSON.parse(former.definition)[0] as unknown;
  return service === stop.service ? "draining" : "pending";
}

function describeStop(stop: PlannedStop): string {
  const servers = [...(stop.servers ?? [])].sort();
  const { service, dataCentre = null, at } = stop;
  return JSON.stringify([service, dataCentre, servers, at]);
}
