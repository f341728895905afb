import { err, ok, type Result } from "neverthrow";
import type { Document, PlannedStop, Service } from "#model";
import type { DocumentFault } from "./faults.ts";
import { oneOf } from "./fields.ts";
import {
  type Section,
  SYSTEM_SECTION,
  type SystemSection,
  type TeamSection,
} from "./section.ts";
import { findCycles } from "./stop_order.ts";

/**
 * Longest merged document as JSON, which is longer than the CBOR that is sent.
 * An entry gets the document, views and stops in one peer frame of 1 MiB. For
 * example, 860 services with two classes and two routes each take 396,527
 * characters.
 */
export const MAX_DOCUMENT_JSON_CHARACTERS = 768 * 1024;

/**
 * Merges all sections of a document and makes the checks across sections. The
 * revision of the result is 0; the registry assigns it when it accepts the
 * document.
 */
export function mergeSections(
  sections: readonly Section[],
): Result<Document, DocumentFault[]> {
  const system = sections.find((section) => section.kind === "system");
  const teams = sections.filter((section) => section.kind === "team");
  if (system === undefined) {
    const place = { file: SYSTEM_SECTION, line: 1, key: "" };
    const expected = "the section system with regions, teams and sections";
    return err([{ type: "missing_section", ...place, expected }]);
  }
  const faults = [
    ...checkSystem(system),
    ...checkUniqueNames(sections),
    ...checkOwners(teams, system),
    ...checkServices(teams),
    ...checkStops(teams, system),
  ];
  if (faults.length > 0) return err(faults);
  const document: Document = {
    revision: 0,
    clockSkewMs: system.clockSkewMs,
    regions: system.regions,
    teams: system.teams,
    owners: system.owners,
    services: teams.flatMap(({ services }) => services).sort(byName),
    stops: teams.flatMap(({ stops }) => stops).sort(byName),
    hostRoutes: [],
  };
  const size = JSON.stringify(document).length;
  if (size <= MAX_DOCUMENT_JSON_CHARACTERS) return ok(document);
  const expected = `a document of at most ${MAX_DOCUMENT_JSON_CHARACTERS} characters as JSON, with defaults`;
  const details = { expected, found: size };
  return err([system.source.fault("document_too_large", [], details)]);
}

/** Sorts by name, so that the result does not depend on the section order. */
function byName(a: Service | PlannedStop, b: Service | PlannedStop): number {
  return a.name < b.name ? -1 : a.name > b.name ? 1 : 0;
}

function checkSystem(system: SystemSection): DocumentFault[] {
  const { source } = system;
  const faults: DocumentFault[] = [];
  const seen = new Map<string, string>();
  for (const [region, dataCentres] of Object.entries(system.regions)) {
    dataCentres.forEach((dataCentre, index) => {
      const first = seen.get(dataCentre);
      seen.set(dataCentre, first ?? region);
      if (first === undefined) return;
      const expected = `a data centre that region ${first} does not have already`;
      const details = { expected, found: dataCentre };
      const key = ["regions", region, index];
      faults.push(source.fault("duplicate_data_centre", key, details));
    });
  }
  const names = new Set(system.teams.map((team) => team.name));
  for (const [section, team] of Object.entries(system.owners)) {
    const key = ["sections", section];
    if (section === SYSTEM_SECTION) {
      const expected =
        "no owner of system, which belongs to the credential of control's settings";
      faults.push(source.fault("invalid_key", key, { expected }));
    } else if (!names.has(team)) {
      const expected = oneOf(names, "team");
      faults.push(source.fault("unknown_team", key, { expected, found: team }));
    }
  }
  return faults;
}

function checkUniqueNames(sections: readonly Section[]): DocumentFault[] {
  const seen = new Set<string>();
  const faults: DocumentFault[] = [];
  for (const section of sections) {
    if (seen.has(section.name)) {
      const expected = `only one section ${section.name}`;
      faults.push(section.source.fault("duplicate_section", [], { expected }));
    }
    seen.add(section.name);
  }
  return faults;
}

function checkOwners(
  teams: readonly TeamSection[],
  system: SystemSection,
): DocumentFault[] {
  return teams
    .filter(({ name }) => !Object.hasOwn(system.owners, name))
    .filter(({ services, stops }) => services.length + stops.length > 0)
    .map(({ name, source }) => {
      const expected = `an owner of section ${name} under sections of system`;
      return source.fault("section_without_owner", [], { expected });
    });
}

function checkServices(teams: readonly TeamSection[]): DocumentFault[] {
  const owners = new Map<string, string>();
  const faults: DocumentFault[] = [];
  for (const section of teams) {
    for (const { name } of section.services) {
      const other = owners.get(name);
      owners.set(name, other ?? section.name);
      if (other === undefined) continue;
      const expected = `a service that section ${other} does not have already`;
      const key = ["services", name];
      const details = { expected, found: name };
      faults.push(section.source.fault("duplicate_service", key, details));
    }
  }
  return faults;
}

function checkStops(
  teams: readonly TeamSection[],
  system: SystemSection,
): DocumentFault[] {
  const dataCentres = new Set(Object.values(system.regions).flat());
  const services = new Map<string, string>();
  const stops = new Map<string, PlannedStop>();
  const faults: DocumentFault[] = [];
  for (const section of teams) {
    for (const { name } of section.services) services.set(name, section.name);
    for (const stop of section.stops) {
      if (stops.has(stop.name)) {
        const expected = "a stop that no other section has";
        const details = { expected, found: stop.name };
        const key = ["stops", stop.name];
        faults.push(section.source.fault("duplicate_stop", key, details));
      } else stops.set(stop.name, stop);
    }
  }
  const cyclic = findCycles([...stops.values()]);
  for (const section of teams) {
    for (const stop of section.stops) {
      const key = ["stops", stop.name];
      const { source } = section;
      if (!services.has(stop.service)) {
        const expected = "a service of the document";
        const details = { expected, found: stop.service };
        faults.push(
          source.fault("unknown_service", [...key, "service"], details),
        );
      } else if (services.get(stop.service) !== section.name) {
        const expected = `a service of section ${section.name}, because a team stops only its own servers`;
        const details = { expected, found: stop.service };
        faults.push(
          source.fault("unknown_service", [...key, "service"], details),
        );
      }
      const { dataCentre } = stop;
      if (dataCentre !== undefined && !dataCentres.has(dataCentre)) {
        const expected = oneOf(dataCentres, "data centre");
        const details = { expected, found: dataCentre };
        const place = [...key, "data_centre"];
        faults.push(source.fault("unknown_data_centre", place, details));
      }
      stop.after.forEach((name, index) => {
        if (stops.has(name)) return;
        const details = { expected: "a stop of the document", found: name };
        const place = [...key, "after", index];
        faults.push(source.fault("unknown_stop", place, details));
      });
      const cycle = cyclic.get(stop.name);
      if (cycle !== undefined) {
        const expected = "no cycle of stops that wait for each other";
        const details = { expected, found: cycle.join(" -> ") };
        faults.push(source.fault("stop_cycle", [...key, "after"], details));
      }
    }
  }
  return faults;
}
