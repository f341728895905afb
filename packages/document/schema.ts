import * as z from "zod";
import { DEFAULT_CLOCK_SKEW_MS } from "#model";
import { checkService, checkStop } from "./checks.ts";
import {
  boolean,
  decimal,
  enumeration,
  integer,
  list,
  mapping,
  mappingByName,
  name,
  text,
} from "./fields.ts";

const percent = (description: string, max: number) =>
  decimal({ min: 0, max, unit: "percent", description });

/** Schema of a request class. */
export const CLASS_SCHEMA = mapping({
  priority: enumeration(
    ["urgent", "patient"],
    "Urgent requests go before patient ones at every queue.",
  ),
  deadline_ms: integer({
    min: 1,
    max: 3_600_000,
    unit: "milliseconds",
    description:
      "Time from arrival to the answer, unless the caller asks for less.",
  }),
  repeatable: boolean(
    "False for requests that must run at most once (bookings, orders).",
  ),
});

/** Schema of a route. */
export const ROUTE_SCHEMA = mapping({
  method: text(/^[A-Z]{1,16}$/, {
    expected: "an HTTP method in capitals",
    description: "HTTP method; any method if absent.",
  }).optional(),
  path: text(/^\/[^\s?#]{0,1023}$/, {
    expected: "a path that begins with / and has no space, ? or #",
    description: "Prefix of the path. The first route that matches counts.",
  }),
  class: name("Class of the requests that match."),
});

/** Schema of a service. */
export const SERVICE_SCHEMA = mapping({
  measuring_budget_percent: percent(
    "Share of the service's slots that measuring may take.",
    10,
  ).default(1),
  retry_budget_percent: percent(
    "Retries and hedges as a share of calls. 10 unless given, or 0 where no class is repeatable.",
    50,
  ).optional(),
  ejection_max_percent: percent(
    "Share of capacity that may be ejected as outliers. One server may always go if half of the slots stay; 0 ejects none.",
    90,
  ).default(30),
  drain_limit_s: integer({
    min: 1,
    max: 86_400,
    unit: "seconds",
    description:
      "Longest graceful drain of a planned stop before it counts as overdue.",
  }).default(600),
  cold_start_ms: integer({
    min: 0,
    max: 600_000,
    unit: "milliseconds",
    description: "Time over which a new server is ramped up to its full slots.",
  }).default(10_000),
  queue_length: integer({
    min: 0,
    max: 100_000,
    unit: "calls",
    description: "Calls that may wait for a slot, over all entries.",
  }).default(400),
  slots_per_server: integer({
    min: 1,
    max: 10_000,
    unit: "slots",
    description: "Slots of a server whose announcement names none.",
  }),
  connections_per_server: integer({
    min: 1,
    max: 100_000,
    unit: "connections",
    description: "Connections of a server whose announcement names none.",
  }),
  classes: mappingByName(CLASS_SCHEMA, {
    key: name("Name of the class."),
    max: 32,
  }).meta({ description: "Request classes by name, at least one." }),
  routes: list(ROUTE_SCHEMA, { min: 1, max: 256 }).meta({
    description: "Map requests to classes.",
  }),
}).superRefine(checkService);

const TIME_EXPECTED = "a time such as 2026-12-04T02:00:00Z, with a time zone";

/** Schema of a planned stop. */
export const STOP_SCHEMA = mapping({
  service: name("Service whose servers stop."),
  data_centre: name("Stops all servers of the service there.").optional(),
  servers: list(
    text(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/, {
      expected: "a server id of at most 128 letters, digits, and . _ : -",
      description: "Id of a server.",
    }),
    { min: 1, max: 10_000 },
  )
    .meta({
      description: "Stops these servers; exclusive with data_centre.",
    })
    .optional(),
  at: z.iso.datetime({ offset: true, error: TIME_EXPECTED }).meta({
    unit: "ISO 8601",
    description: "Start of the stop.",
    expected: TIME_EXPECTED,
  }),
  after: list(name("Name of a stop."), { min: 0, max: 100 })
    .meta({
      description: "Stops that must be done before this one starts.",
    })
    .default([]),
}).superRefine(checkStop);

/** Schema of a team's section. */
export const TEAM_SECTION_SCHEMA = mapping({
  services: mappingByName(SERVICE_SCHEMA, {
    key: name("Name of the service."),
    max: 2_000,
  })
    .meta({ description: "Services by name." })
    .default({}),
  stops: mappingByName(STOP_SCHEMA, {
    key: name("Name of the stop."),
    max: 2_000,
  })
    .meta({ description: "Planned stops by name." })
    .default({}),
});

/** Schema of a team. */
export const TEAM_SCHEMA = mapping({
  credential_sha256: text(/^[0-9a-f]{64}$/, {
    expected: "a SHA-256 of 64 lower-case hexadecimal digits",
    description: "SHA-256 of the team's credential.",
  }),
});

/** Schema of the section `system`. */
export const SYSTEM_SECTION_SCHEMA = mapping({
  regions: mappingByName(
    list(name("Name of a data centre."), { min: 1, max: 100 }),
    {
      key: name("Name of the region."),
      max: 100,
    },
  ).meta({ description: "Data centres by region." }),
  teams: mappingByName(TEAM_SCHEMA, {
    key: name("Name of the team."),
    max: 1_000,
  })
    .meta({ description: "Teams by name." })
    .default({}),
  sections: mappingByName(name("Name of a team."), {
    key: name("Name of the section."),
    max: 1_000,
  })
    .meta({ description: "Owning team by section." })
    .default({}),
  clock_skew_ms: integer({
    min: 100,
    max: DEFAULT_CLOCK_SKEW_MS,
    unit: "milliseconds",
    description:
      "Largest difference between the clocks of callers and hosts, and between hosts. A smaller one shortens the stop of an entry.",
  }).default(DEFAULT_CLOCK_SKEW_MS),
});

export type ServiceDefinition = z.output<typeof SERVICE_SCHEMA>;
export type StopDefinition = z.output<typeof STOP_SCHEMA>;
export type SystemSectionDefinition = z.output<typeof SYSTEM_SECTION_SCHEMA>;
export type TeamSectionDefinition = z.output<typeof TEAM_SECTION_SCHEMA>;
