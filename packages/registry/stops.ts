import type { PlannedStop, StopPhase, StopProgress } from "#model";

/** The progress of a planned stop in the registry. */
export interface StopRun extends StopProgress {
  /**
   * Version of the configuration with which the phase began. Reports of entries
   * with an older configuration do not count for this phase.
   */
  readonly version: number;
}

/** Order of the phases; a run only moves to a later one. */
const PHASE_ORDER: Readonly<Record<StopPhase, number>> = {
  pending: 0,
  draining: 1,
  overdue: 2,
  done: 3,
};

export type StopResult = "done" | "unchanged" | "unknown_stop" | "other_run";

interface StoredRun extends StopRun {
  /** Encoded service, servers and time; another definition is another run. */
  readonly definition: string;
}

type ChangePoint = { readonly at: number; readonly version: number };

/**
 * The progress of planned stops. A run is one execution of a stop, identified
 * by its name and definition (service, servers, time); its phases only advance,
 * each at most once.
 *
 * When the document changes while a stop runs:
 * - A stop that was removed from the document is cancelled; its servers get
 *   calls again.
 * - A stop with another definition is another run. If the former run was
 *   draining or overdue for the same service and the new time has come, the
 *   new run begins as draining, so that its servers get no calls in between.
 *   Otherwise it begins as pending.
 * - A change of `after` alone does not affect the run, since `after` only
 *   decides when a pending stop starts.
 */
export class StopRuns {
  readonly #runs = new Map<string, StoredRun>();

  /** All runs, sorted by the name of the stop. */
  all(): StopRun[] {
    return this.storedRuns().map(({ stop, phase, since, version }) => {
      return { stop, phase, since, version };
    });
  }

  /** All runs with their definitions, for a snapshot. */
  storedRuns(): StoredRun[] {
    return [...this.#runs.values()].sort((a, b) => (a.stop < b.stop ? -1 : 1));
  }

  /** Updates the runs to the stops of an accepted document. */
  plan(stops: readonly PlannedStop[], { at, version }: ChangePoint): void {
    const names = new Set(stops.map(({ name }) => name));
    for (const name of [...this.#runs.keys()]) {
      if (!names.has(name)) this.#runs.delete(name);
    }
    for (const stop of stops) {
      const former = this.#runs.get(stop.name);
      const definition = encodeDefinition(stop);
      if (former?.definition === definition) continue;
      const phase = firstPhase(stop, { former, at });
      const run = { stop: stop.name, phase, since: at, version, definition };
      this.#runs.set(stop.name, run);
    }
  }

  /** Moves a run to a later phase. */
  advance(
    transition: { stop: string; version: number; phase: StopPhase },
    { at, version }: ChangePoint,
  ): StopResult {
    const run = this.#runs.get(transition.stop);
    if (run === undefined) return "unknown_stop";
    if (run.version !== transition.version) return "other_run";
    if (!mayFollow(run.phase, transition.phase)) return "unchanged";
    this.#runs.set(transition.stop, {
      ...run,
      phase: transition.phase,
      since: at,
      version,
    });
    return "done";
  }

  /** Restores a run of a snapshot. */
  restore(run: StoredRun): void {
    this.#runs.set(run.stop, run);
  }
}

function mayFollow(present: StopPhase, next: StopPhase): boolean {
  if (present === "pending") return next === "draining";
  return PHASE_ORDER[next] > PHASE_ORDER[present];
}

function firstPhase(
  stop: PlannedStop,
  { former, at }: { former: StoredRun | undefined; at: number },
): StopPhase {
  const wasRunning =
    former?.phase === "draining" || former?.phase === "overdue";
  if (!wasRunning || stop.at > at) return "pending";
  const service = JSON.parse(former.definition)[0] as unknown;
  return service === stop.service ? "draining" : "pending";
}

function encodeDefinition(stop: PlannedStop): string {
  const servers = [...(stop.servers ?? [])].sort();
  const { service, dataCentre = null, at } = stop;
  return JSON.stringify([service, dataCentre, servers, at]);
}
