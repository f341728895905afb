import assert from "node:assert/strict";
import { test } from "node:test";
import { formatFault } from "./faults.ts";
import { mergeSections } from "./merge.ts";
import { parseSection } from "./section.ts";

const SHA = "0".repeat(64);
const SYSTEM = `regions:
  lv-central: [riga-a, riga-b]
teams:
  bookings: { credential_sha256: "${SHA}" }
sections:
  alloc: bookings
  report: bookings
`;

function section(service: string, stops = ""): string {
  return `services:
  ${service}:
    slots_per_server: 6
    connections_per_server: 300
    classes: { lookup: { priority: patient, deadline_ms: 9, repeatable: true } }
    routes: [{ path: /, class: lookup }]
stops:${stops === "" ? " {}" : stops}
`;
}

function merge(texts: Record<string, string>) {
  const sections = Object.entries(texts).map(([name, text]) =>
    parseSection({ name, text })._unsafeUnwrap(),
  );
  return mergeSections(sections);
}

const AT = "at: 2026-12-04T02:00:00Z";

const BAD_DOCUMENTS: Record<
  string,
  { texts: Record<string, string>; errors: string[] }
> = {
  "no section system": {
    texts: { alloc: section("alloc") },
    errors: [
      "system:1: missing_section: expected the section system with regions, teams and sections",
    ],
  },
  "an unknown team, and an owner of system": {
    texts: { system: `${SYSTEM}  other: nobody\n  system: bookings\n` },
    errors: [
      'system:8: sections.other: unknown_team: expected one of the team names bookings, found "nobody"',
      "system:9: sections.system: invalid_key: expected no owner of system, which belongs to the credential of control's settings",
    ],
  },
  "a data centre in two regions": {
    texts: { system: SYSTEM.replace("teams:", "  north: [riga-b]\nteams:") },
    errors: [
      'system:3: regions.north.0: duplicate_data_centre: expected a data centre that region lv-central does not have already, found "riga-b"',
    ],
  },
  "a section without an owner": {
    texts: { system: SYSTEM, stray: section("stray") },
    errors: [
      "stray:1: section_without_owner: expected an owner of section stray under sections of system",
    ],
  },
  "a service in two sections": {
    texts: {
      system: SYSTEM,
      alloc: section("alloc"),
      report: section("alloc"),
    },
    errors: [
      'report:2: services.alloc: duplicate_service: expected a service that section alloc does not have already, found "alloc"',
    ],
  },
  "stops of unknown services, places and stops": {
    texts: {
      system: SYSTEM,
      alloc: section(
        "alloc",
        `
  a: { service: other, data_centre: riga-a, ${AT} }
  b: { service: alloc, data_centre: riga-c, ${AT}, after: [a, z] }`,
      ),
    },
    errors: [
      'alloc:8: stops.a.service: unknown_service: expected a service of the document, found "other"',
      'alloc:9: stops.b.data_centre: unknown_data_centre: expected one of the data centre names riga-a, riga-b, found "riga-c"',
      'alloc:9: stops.b.after.1: unknown_stop: expected a stop of the document, found "z"',
    ],
  },
  "a stop of another section's servers, under a name in use": {
    texts: {
      system: SYSTEM,
      alloc: section("alloc", `\n  a: { service: alloc, servers: [x], ${AT} }`),
      report: section(
        "report",
        `\n  a: { service: alloc, servers: [x], ${AT} }`,
      ),
    },
    errors: [
      'report:8: stops.a: duplicate_stop: expected a stop that no other section has, found "a"',
      'report:8: stops.a.service: unknown_service: expected a service of section report, because a team stops only its own servers, found "alloc"',
    ],
  },
  "a cycle of stops over two sections": {
    texts: {
      system: SYSTEM,
      alloc: section(
        "alloc",
        `
  a: { service: alloc, servers: [x], ${AT}, after: [b] }
  c: { service: alloc, servers: [x], ${AT}, after: [a] }`,
      ),
      report: section(
        "report",
        `\n  b: { service: report, servers: [x], ${AT}, after: [a] }`,
      ),
    },
    errors: [
      'alloc:8: stops.a.after: stop_cycle: expected no cycle of stops that wait for each other, found "a -> b -> a"',
      'report:8: stops.b.after: stop_cycle: expected no cycle of stops that wait for each other, found "a -> b -> a"',
    ],
  },
};

for (const [name, { texts, errors }] of Object.entries(BAD_DOCUMENTS)) {
  test(`a document is rejected for ${name}`, () => {
    const faults = merge(texts)._unsafeUnwrapErr();
    assert.deepEqual(faults.map(formatFault), errors);
  });
}

test("the order of sections does not change the document", () => {
  const texts = { alloc: section("alloc"), report: section("report") };
  const forward = merge({ system: SYSTEM, ...texts });
  const { alloc, report } = texts;
  const backward = merge({ report, alloc, system: SYSTEM });
  assert.deepEqual(forward._unsafeUnwrap(), backward._unsafeUnwrap());
});

// Failure: a small text expands to a document that fits into no peer frame.
test("a document that aliases expand beyond the limit is rejected", () => {
  const first = `  a0: &a
    slots_per_server: 6
    connections_per_server: 300
    classes: { lookup: { priority: patient, deadline_ms: 9, repeatable: true } }
    routes: [${Array.from({ length: 250 }, (_, i) => `{ path: /${i + 1_000}, class: lookup }`).join(", ")}]
`;
  const others = Array.from({ length: 89 }, (_, i) => `  a${i + 1}: *a\n`);
  const alloc = `services:\n${first}${others.join("")}`;
  const faults = merge({ system: SYSTEM, alloc })._unsafeUnwrapErr();
  assert.equal(faults[0]?.type, "document_too_large");
});

test("a section without services and stops needs no owner", () => {
  assert.ok(merge({ system: SYSTEM, old: "services: {}" }).isOk());
});

// Failure: a recursive search for cycles exceeds the stack.
test("a chain of 2,000 stops does not exhaust the stack", () => {
  const stops = Array.from({ length: 2_000 }, (_, index) => {
    const after = index === 0 ? "" : `, after: [s${index - 1}]`;
    return `\n  s${index}: { service: alloc, servers: [x], ${AT}${after} }`;
  }).join("");
  const texts = { system: SYSTEM, alloc: section("alloc", stops) };
  assert.ok(merge(texts).isOk());
});
