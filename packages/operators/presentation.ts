import { formatAddress } from "#model";
import type { RegistryConfiguration, SectionRevision } from "#registry";
import type { HostStatus } from "./ports.ts";

/**
 * Converts the keys of a model value to the snake_case of the API. Names chosen
 * by operators contain no capitals and so stay as they are.
 */
export function toPublished(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toPublished);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value).map(([key, member]) => {
    return [key.replace(/[A-Z]/g, toSnakeCase), toPublished(member)] as const;
  });
  return Object.fromEntries(entries);
}

function toSnakeCase(capital: string): string {
  return `_${capital.toLowerCase()}`;
}

/** Formats milliseconds since the Unix epoch as ISO 8601. */
export function formatTime(epochMs: number): string {
  return new Date(epochMs).toISOString();
}

/** The API's form of a section. */
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

/** The API's form of the document in force. */
export function presentDocument({ document, version }: RegistryConfiguration) {
  const stops = document.stops.map((stop) => {
    return { ...stop, at: formatTime(stop.at) };
  });
  return { version, document: toPublished({ ...document, stops }) };
}

/** The API's form of the planned stops, with their progress. */
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

/** The API's form of a host. */
export function presentHost(host: HostStatus) {
  const { lastHeard, laggingSince, http, peer, ...fields } = host;
  return {
    ...(toPublished(fields) as object),
    http: http && formatAddress(http),
    peer: formatAddress(peer),
    last_heard: lastHeard === undefined ? undefined : formatTime(lastHeard),
    lagging_since:
      laggingSince === undefined ? undefined : formatTime(laggingSince),
  };
}

/** The API's status: what is in force, and which entries lag or are silent. */
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
  const liveIds = new Set(entries.map(({ id }) => id));
  const silent = view.entries.filter(({ id }) => !liveIds.has(id));
  return {
    document_revision: document.revision,
    version,
    epoch: view.epoch,
    leader: live.leader,
    entries: view.entries.length,
    in_force_everywhere: lagging.length === 0 && silent.length === 0,
    ...(document.evacuated && { evacuated: document.evacuated }),
    lagging: lagging.map(presentHost),
    silent: silent.map(({ id }) => id),
    running_stops: stops
      .filter(({ phase }) => phase === "draining" || phase === "overdue")
      .map(({ stop, phase, since }) => {
        return { stop, phase, since: formatTime(since) };
      }),
  };
}
