import type { Entry } from "#model";
import type { Actor, PutSection } from "./commands.ts";

/** Credential hashes of two teams, for tests. */
export const SHA = { alloc: "a".repeat(64), report: "b".repeat(64) };

export const SYSTEM_ACTOR: Actor = { type: "system" };
export const ALLOC_ACTOR: Actor = { type: "team", credentialSha256: SHA.alloc };
export const REPORT_ACTOR: Actor = {
  type: "team",
  credentialSha256: SHA.report,
};

export const SYSTEM_TEXT = `regions: { lv-central: [riga-a, riga-b] }
teams:
  alloc-team: { credential_sha256: "${SHA.alloc}" }
  report-team: { credential_sha256: "${SHA.report}" }
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

/** A put with the facts that a test does not care about. */
export function put(
  section: string,
  facts: Partial<PutSection> & Pick<PutSection, "actor">,
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
    changeId: `${section}-${facts.baseRevision ?? 0}`,
    at: 1_000,
    ...facts,
  };
}

/** An entry on loopback. */
export function entry(id: string, facts: Partial<Entry> = {}): Entry {
  return {
    id,
    incarnation: 1,
    dataCentre: "riga-a",
    http: { host: "127.0.0.1", port: 8_000 },
    peer: { host: "127.0.0.1", port: 8_100 },
    state: "ready",
    ...facts,
  };
}
