import type { Entry } from "#model";
import type { Actor, PutSection } from "./commands.ts";

/** Credential hashes of two teams. */
export const CREDENTIAL_SHA256 = {
  alloc: "a".repeat(64),
  report: "b".repeat(64),
};

export const SYSTEM_ACTOR: Actor = { type: "system" };
export const ALLOC_ACTOR: Actor = {
  type: "team",
  credentialSha256: CREDENTIAL_SHA256.alloc,
};
export const REPORT_ACTOR: Actor = {
  type: "team",
  credentialSha256: CREDENTIAL_SHA256.report,
};

export const SYSTEM_TEXT = `regions: { lv-central: [riga-a, riga-b] }
teams:
  alloc-team: { credential_sha256: "${CREDENTIAL_SHA256.alloc}" }
  report-team: { credential_sha256: "${CREDENTIAL_SHA256.report}" }
sections: { alloc: alloc-team, report: report-team }
`;

/** A section with one service and the given stops. */
export function sectionText(service: string, stops: readonly string[] = []) {
  return `services:
  ${service}:
    slots_per_server: 6
    connections_per_server: 300
    drain_limit_s: 60
    classes:
      lookup: { priority: patient, deadline_ms: 5000, repeatable: true }
    routes: [{ path: /, class: lookup }]
stops:
${stops.map((stop) => `  ${stop}\n`).join("") || "  {}"}
`;
}

/** A `put_section` command with defaults. */
export function putSection(
  section: string,
  overrides: Partial<PutSection> & Pick<PutSection, "actor">,
): PutSection {
  const text =
    section === "system"
      ? SYSTEM_TEXT
      : sectionText(section.split("-")[0] ?? "");
  return {
    type: "put_section",
    section,
    text,
    baseRevision: 0,
    changeId: `${section}-${overrides.baseRevision ?? 0}`,
    at: 1_000,
    ...overrides,
  };
}

/** An entry at loopback addresses. */
export function entry(id: string, overrides: Partial<Entry> = {}): Entry {
  return {
    id,
    incarnation: 1,
    dataCentre: "riga-a",
    http: { host: "127.0.0.1", port: 8_000 },
    peer: { host: "127.0.0.1", port: 8_100 },
    state: "ready",
    ...overrides,
  };
}
