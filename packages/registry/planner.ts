import type { Configuration, HostId, PlannedStop } from "#model";
import type { StopAdvanced } from "./commands.ts";
import type { StopRun } from "./stops.ts";

/** The configuration for entries, with the versions of the stops' phases. */
export interface RegistryConfiguration extends Configuration {
  readonly stops: readonly StopRun[];
}

/** What an entry reports about planned stops in its heartbeat. */
export interface InFlightReport {
  readonly entry: HostId;
  readonly incarnation: number;
  /** Version of the configuration that was in force at the entry. */
  readonly version: number;
  /** Calls in flight to the servers of each stop; 0 if absent. */
  readonly inFlight: Readonly<Record<string, number>>;
}

/**
 * Returns commands for the stops whose phase is due to advance: pending ones
 * whose time has come and whose predecessors are done, and running ones that
 * have no calls in flight or have exceeded the drain limit. The leader submits
 * the commands; a repeated one changes nothing.
 *
 * A stop is done when each entry of the view has reported no calls in flight
 * under a configuration in which the stop was draining. A lost entry cannot
 * report but may still have calls in flight until their deadline, so the stop
 * waits for the service's longest deadline after the loss (at most 12 minutes,
 * the time for which former views are kept).
 */
export function dueStops(
  configuration: RegistryConfiguration,
  wallTime: number,
  inFlightReports: readonly InFlightReport[],
): StopAdvanced[] {
  const runs = new Map(configuration.stops.map((run) => [run.stop, run]));
  return configuration.document.stops.flatMap((stop) => {
    const run = runs.get(stop.name);
    if (run === undefined) return [];
    const context = { configuration, run, runs, wallTime, inFlightReports };
    const phase = nextPhase(stop, context);
    if (phase === undefined) return [];
    const { version } = run;
    return [
      { type: "stop_advanced", stop: stop.name, version, phase, at: wallTime },
    ];
  });
}

interface PlanningContext {
  readonly configuration: RegistryConfiguration;
  readonly run: StopRun;
  readonly runs: ReadonlyMap<string, StopRun>;
  readonly wallTime: number;
  readonly inFlightReports: readonly InFlightReport[];
}

function nextPhase(
  stop: PlannedStop,
  context: PlanningContext,
): StopAdvanced["phase"] | undefined {
  const { run, runs, wallTime } = context;
  if (run.phase === "done") return undefined;
  if (run.phase === "pending") {
    const isDue = stop.at <= wallTime;
    const predecessorsDone = stop.after.every(
      (name) => runs.get(name)?.phase === "done",
    );
    return isDue && predecessorsDone ? "draining" : undefined;
  }
  if (isDrained(stop, context)) return "done";
  const drainLimitMs = (findService(stop, context)?.drainLimitS ?? 0) * 1_000;
  const isOverdue = wallTime >= run.since + drainLimitMs;
  return run.phase === "draining" && isOverdue ? "overdue" : undefined;
}

function isDrained(stop: PlannedStop, context: PlanningContext): boolean {
  const { configuration, run, inFlightReports } = context;
  const { entries } = configuration.view;
  // Without entries there are no reports; lost ones may have calls in flight.
  if (entries.length === 0) return false;
  const allReport = entries.every((entry) =>
    inFlightReports.some(
      (report) =>
        report.entry === entry.id &&
        report.incarnation === entry.incarnation &&
        report.version >= run.version &&
        (report.inFlight[stop.name] ?? 0) === 0,
    ),
  );
  return allReport && !mayHaveLostCalls(stop, context);
}

function mayHaveLostCalls(
  stop: PlannedStop,
  context: PlanningContext,
): boolean {
  const { configuration, wallTime } = context;
  const { view, formerViews } = configuration;
  const classes = findService(stop, context)?.classes ?? [];
  const longestDeadlineMs = Math.max(0, ...classes.map((c) => c.deadlineMs));
  // A restarted entry counts as present: its former connections are closed.
  const present = new Set(view.entries.map(({ id }) => id));
  return formerViews
    .filter(({ ended }) => ended + longestDeadlineMs > wallTime)
    .some(({ entries }) => entries.some(({ id }) => !present.has(id)));
}

function findService(stop: PlannedStop, { configuration }: PlanningContext) {
  const { services } = configuration.document;
  return services.find(({ name }) => name === stop.service);
}
