import type { Result } from "neverthrow";
import type { DataCentre, PlannedStop, Service, Team } from "#model";
import type { DocumentFault } from "./faults.ts";
import {
  type ServiceDefinition,
  type StopDefinition,
  SYSTEM_SECTION_SCHEMA,
  TEAM_SECTION_SCHEMA,
} from "./schema.ts";
import { parseText } from "./source.ts";
import type { SourceMap } from "./source_map.ts";

/** Name of the section that defines regions, teams and section owners. */
export const SYSTEM_SECTION = "system";

/** The YAML text of a section. */
export interface SectionText {
  readonly name: string;
  readonly text: string;
  /** File name for error messages; the section's name if absent. */
  readonly file?: string;
}

export interface SystemSection {
  readonly kind: "system";
  readonly name: string;
  readonly regions: Readonly<Record<string, readonly DataCentre[]>>;
  readonly teams: readonly Team[];
  readonly owners: Readonly<Record<string, string>>;
  readonly clockSkewMs: number;
  readonly source: SourceMap;
}

export interface TeamSection {
  readonly kind: "team";
  readonly name: string;
  readonly services: readonly Service[];
  readonly stops: readonly PlannedStop[];
  readonly source: SourceMap;
}

/** A parsed section; checks across sections are made when they are merged. */
export type Section = SystemSection | TeamSection;

/** Parses a section and makes all checks that need no other section. */
export function parseSection(
  section: SectionText,
): Result<Section, DocumentFault[]> {
  const { name, text, file = name } = section;
  return name === SYSTEM_SECTION
    ? parseSystemSection(name, { file, text })
    : parseTeamSection(name, { file, text });
}

type ParserInput = { readonly file: string; readonly text: string };

function parseSystemSection(
  name: string,
  input: ParserInput,
): Result<SystemSection, DocumentFault[]> {
  return parseText(input, SYSTEM_SECTION_SCHEMA).map(({ value, source }) => ({
    kind: "system",
    name,
    regions: value.regions,
    teams: Object.entries(value.teams).map(([team, definition]) => ({
      name: team,
      credential: definition.credential_sha256,
    })),
    owners: value.sections,
    clockSkewMs: value.clock_skew_ms,
    source,
  }));
}

function parseTeamSection(
  name: string,
  input: ParserInput,
): Result<TeamSection, DocumentFault[]> {
  return parseText(input, TEAM_SECTION_SCHEMA).map(({ value, source }) => ({
    kind: "team",
    name,
    services: Object.entries(value.services).map(toService),
    stops: Object.entries(value.stops).map(toStop),
    source,
  }));
}

const DEFAULT_RETRY_BUDGET_PERCENT = 10;

function toService([name, definition]: [string, ServiceDefinition]): Service {
  const classes = Object.entries(definition.classes).map(
    ([className, value]) => ({
      name: className,
      priority: value.priority,
      deadlineMs: value.deadline_ms,
      repeatable: value.repeatable,
    }),
  );
  const mayRetry = classes.some(({ repeatable }) => repeatable);
  return {
    name,
    measuringBudgetPercent: definition.measuring_budget_percent,
    retryBudgetPercent:
      definition.retry_budget_percent ??
      (mayRetry ? DEFAULT_RETRY_BUDGET_PERCENT : 0),
    ejectionMaxPercent: definition.ejection_max_percent,
    drainLimitS: definition.drain_limit_s,
    coldStartMs: definition.cold_start_ms,
    queueLength: definition.queue_length,
    slotsPerServer: definition.slots_per_server,
    connectionsPerServer: definition.connections_per_server,
    classes,
    routes: definition.routes,
  };
}

function toStop([name, definition]: [string, StopDefinition]): PlannedStop {
  return {
    name,
    service: definition.service,
    ...(definition.data_centre === undefined
      ? {}
      : { dataCentre: definition.data_centre }),
    ...(definition.servers === undefined
      ? {}
      : { servers: definition.servers }),
    at: Date.parse(definition.at),
    after: definition.after,
  };
}
