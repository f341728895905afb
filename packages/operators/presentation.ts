import { formatAddress } from "#model";
import type { RegistryConfiguration, SectionRevision } from "#registry";
import type { HostStatus } from "./ports.ts";

/**
 * Turns a value of the model into the published form: keys in snake_case. Names
 * that operators chose have no capitals and stay as they are.
 */
export function toPublished(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toPublished);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value).map(([key, member]) => {
    return [key.replace(/[A-Z]/g, toSnake), toPublished(member)] as const;
  });
  return Object.fromEntries(entries);
}

function toSnake(capital: string): string {
  return `_${capital.toLowerCase()}`;
}

/** Formats a time of the Unix epoch as ISO 8601. */
export function formatTime(epochMs: number): string {
  return new Date(epochMs).toISOString();
}

/** A section as operators see it. */
export function presentSection(revision: SectionRevision) {
  return {
    section: revision.section,
    revision: revision.revision,
    document_revision: revision.documentRevision,
    team: revision.team,
    change_id: revision.changeId,
    at: formatTime(revision.at),
    text: revision.text,
  };
}

/** The document in force as operators see it. */
export function presentDocument({ document, version }: RegistryConfiguration) {
  const stops = document.stops.map((stop) => {
    return { ...stop, at: formatTime(stop.at) };
  });
  return { version, document: toPublished({ ...document, stops }) };
}

/** The planned stops with their progress as operators see them. */
export function presentStops(configuration: RegistryConfiguration) {
  const { document, stops } = configuration;
  const runs = new Map(stops.map((run) => [run.stop, run]));
  return document.stops.map((stop) => {
    const run = runs.get(stop.name);
    return {
      ...(toPublished(stop) as object),
      at: formatTime(stop.at),
      phase: run?.phase ?? "pending",
      since: run === undefined ? undefined : formatTime(run.since),
    };
  });
}

/** A host as operators see it. */
export function presentHost(host: HostStatus) {
  const { lastHeard, laggingSince, http, peer, ...facts } = host;
  return {
    ...(toPublished(facts) as object),
    http: http && formatAddress(http),
    peer: formatAddress(peer),
    last_heard: lastHeard === undefined ? undefined : formatTime(lastHeard),
    lagging_since:
      laggingSince === undefined ? undefined : formatTime(laggingSince),
  };
}

/** What is in force, and where it is not yet. */
export function presentStatus(
  configuration: RegistryConfiguration,
  live: {
    readonly hosts: readonly HostStatus[];
    readonly leader: string | undefined;
  },
) {
  const { document, version, view, stops } = configuration;
  const entries = live.hosts.filter(({ role }) => role === "entry");
  const lagging = entries.filter(
    (host) => host.state !== "stopping" && (host.version ?? 0) < version,
  );
  const present = new Set(entries.map(({ id }) => id));
  const silent = view.entries.filter(({ id }) => !present.has(id));
  return {
    document_revision: document.revision,
    version,
    epoch: view.epoch,
    leader: live.leader,
    entries: view.entries.length,
    in_force_everywhere: lagging.length === 0 && silent.length === 0,
    lagging: lagging.map(presentHost),
    silent: silent.map(({ id }) => id),
    running_stops: stops
      .filter(({ phase }) => phase === "draining" || phase === "overdue")
      .map(({ stop, phase, since }) => {
        return { stop, phase, since: formatTime(since) };
      }),
  };
}
