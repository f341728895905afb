import type { Configuration, HostId, PlannedStop } from "#model";
import type { StopAdvanced } from "./commands.ts";
import type { StopRun } from "./stops.ts";

/** What control gives to entries, with the versions of stops' phases. */
export interface RegistryConfiguration extends Configuration {
  readonly stops: readonly StopRun[];
}

/** What an entry reports about stops in its confirmation. */
export interface InFlightReport {
  readonly entry: HostId;
  readonly incarnation: number;
  /** Version of the configuration that was in force at the entry. */
  readonly version: number;
  /** Calls in flight to the servers of each stop; an absent one has none. */
  readonly inFlight: Readonly<Record<string, number>>;
}

/**
 * Tells which stops are due to advance: pending ones whose time has come and
 * whose predecessors are done, and running ones that have no calls in flight
 * or have passed the drain limit. A leader submits the commands; a repeated
 * one changes nothing.
 *
 * A stop is done when each entry of the view reported none under a
 * configuration in which the stop was draining. An entry that was lost cannot
 * report, but may still carry calls until their deadline; the stop waits for
 * the service's longest deadline after the loss (at most 12 minutes, the time
 * for which former views are kept).
 */
export function dueStops(
  configuration: RegistryConfiguration,
  epochNow: number,
  inFlightReports: readonly InFlightReport[],
): StopAdvanced[] {
  const runs = new Map(configuration.stops.map((run) => [run.stop, run]));
  return configuration.document.stops.flatMap((stop) => {
    const run = runs.get(stop.name);
    if (run === undefined) return [];
    const facts = { configuration, run, runs, epochNow, inFlightReports };
    const phase = nextPhase(stop, facts);
    if (phase === undefined) return [];
    const { version } = run;
    return [
      { type: "stop_advanced", stop: stop.name, version, phase, at: epochNow },
    ];
  });
}

interface Facts {
  readonly configuration: RegistryConfiguration;
  readonly run: StopRun;
  readonly runs: ReadonlyMap<string, StopRun>;
  readonly epochNow: number;
  readonly inFlightReports: readonly InFlightReport[];
}

function nextPhase(
  stop: PlannedStop,
  facts: Facts,
): StopAdvanced["phase"] | undefined {
  const { run, runs, epochNow } = facts;
  if (run.phase === "done") return undefined;
  if (run.phase === "pending") {
    const isDue = stop.at <= epochNow;
    const isFree = stop.after.every((name) => runs.get(name)?.phase === "done");
    return isDue && isFree ? "draining" : undefined;
  }
  if (isDrained(stop, facts)) return "done";
  const limitMs = (findService(stop, facts)?.drainLimitS ?? 0) * 1_000;
  const isLate = epochNow >= run.since + limitMs;
  return run.phase === "draining" && isLate ? "overdue" : undefined;
}

function isDrained(stop: PlannedStop, facts: Facts): boolean {
  const { configuration, run, inFlightReports } = facts;
  const { entries } = configuration.view;
  // Without entries nobody can tell; lost ones may still carry calls.
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
  return allReport && !mayCarryCalls(stop, facts);
}

function mayCarryCalls(stop: PlannedStop, facts: Facts): boolean {
  const { configuration, epochNow } = facts;
  const { view, formerViews } = configuration;
  const deadlines = findService(stop, facts)?.classes ?? [];
  const longest = Math.max(0, ...deadlines.map((c) => c.deadlineMs));
  // A restarted entry is present, and has broken its former connections.
  const present = new Set(view.entries.map(({ id }) => id));
  return formerViews
    .filter(({ ended }) => ended + longest > epochNow)
    .some(({ entries }) => entries.some(({ id }) => !present.has(id)));
}

function findService(stop: PlannedStop, { configuration }: Facts) {
  const { services } = configuration.document;
  return services.find(({ name }) => name === stop.service);
}
