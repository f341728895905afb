import type { Result } from "neverthrow";
import type { DataCentre, PlannedStop, Service, Team } from "#model";
import type { DocumentFault } from "./faults.ts";
import {
  type ServiceInput,
  type StopInput,
  SYSTEM_SECTION_SCHEMA,
  TEAM_SECTION_SCHEMA,
} from "./schema.ts";
import { parseText } from "./source.ts";
import type { SourceMap } from "./source_map.ts";

/** Name of the section that holds regions, teams and owners. */
export const SYSTEM_SECTION = "system";

/** Text of a section as its team wrote it. */
export interface SectionText {
  readonly name: string;
  readonly text: string;
  /** Shown in errors; the section's name if absent. */
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

/** A section that is valid by itself. */
export type Section = SystemSection | TeamSection;

/** Reads a section and checks all that concerns it alone. */
export function parseSection(
  section: SectionText,
): Result<Section, DocumentFault[]> {
  const { name, text, file = name } = section;
  return name === SYSTEM_SECTION
    ? parseSystemSection(name, { file, text })
    : parseTeamSection(name, { file, text });
}

type Input = { readonly file: string; readonly text: string };

function parseSystemSection(
  name: string,
  input: Input,
): Result<SystemSection, DocumentFault[]> {
  return parseText(input, SYSTEM_SECTION_SCHEMA).map(({ value, source }) => ({
    kind: "system",
    name,
    regions: value.regions,
    teams: Object.entries(value.teams).map(([team, facts]) => ({
      name: team,
      credential: facts.credential_sha256,
    })),
    owners: value.sections,
    clockSkewMs: value.clock_skew_ms,
    source,
  }));
}

function parseTeamSection(
  name: string,
  input: Input,
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

function toService([name, facts]: [string, ServiceInput]): Service {
  const classes = Object.entries(facts.classes).map(([className, value]) => ({
    name: className,
    priority: value.priority,
    deadlineMs: value.deadline_ms,
    repeatable: value.repeatable,
  }));
  const mayRetry = classes.some(({ repeatable }) => repeatable);
  return {
    name,
    measuringBudgetPercent: facts.measuring_budget_percent,
    retryBudgetPercent:
      facts.retry_budget_percent ??
      (mayRetry ? DEFAULT_RETRY_BUDGET_PERCENT : 0),
    ejectionMaxPercent: facts.ejection_max_percent,
    drainLimitS: facts.drain_limit_s,
    coldStartMs: facts.cold_start_ms,
    queueLength: facts.queue_length,
    slotsPerServer: facts.slots_per_server,
    connectionsPerServer: facts.connections_per_server,
    classes,
    routes: facts.routes,
  };
}

function toStop([name, facts]: [string, StopInput]): PlannedStop {
  return {
    name,
    service: facts.service,
    ...(facts.data_centre === undefined
      ? {}
      : { dataCentre: facts.data_centre }),
    ...(facts.servers === undefined ? {} : { servers: facts.servers }),
    at: Date.parse(facts.at),
    after: facts.after,
  };
}
