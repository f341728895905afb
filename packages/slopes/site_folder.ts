import { createHash } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { freePorts } from "../demo/ports.ts";
import { dataCentreOf, sectionText, TARGET } from "./synthetic.ts";

const CONTROL_HOST_COUNT = 3;
const HOST = "127.0.0.1";
export const SERVICES_PER_SECTION = 10;
const TEAM = "team";

/** Number of entries and services of a site. */
export interface SiteSize {
  readonly entries: number;
  readonly services: number;
}

/** Writes settings, sections and credentials as `SiteProcesses` reads them. */
export async function writeSiteFolder(folder: string, size: SiteSize) {
  for (const subfolder of ["settings", "sections", "credentials"]) {
    mkdirSync(join(folder, subfolder), { recursive: true });
  }
  const write = (subfolder: string, file: string, text: string) =>
    writeFileSync(join(folder, subfolder, file), text);
  for (const name of ["system", TEAM])
    write("credentials", `${name}.key`, name);
  writeSections(size, (name, text) => write("sections", `${name}.yaml`, text));
  const ports = await freePorts(CONTROL_HOST_COUNT * 2 + size.entries * 3);
  const address = () => ({ host: HOST, port: ports.pop() ?? 0 });
  const members = Array.from({ length: CONTROL_HOST_COUNT }, (_, index) => ({
    id: `control-${index + 1}`,
    http: address(),
    peer: address(),
  }));
  for (const { id, http, peer } of members) {
    const settings = {
      id,
      cluster: "slopes",
      data_centre: dataCentreOf(0),
      data_folder: `../data/${id}`,
      http,
      peer,
      members: members.map((m) => ({ id: m.id, ...m.peer })),
      system_credential_sha256: sha256("system"),
    };
    write("settings", `${id}.yaml`, JSON.stringify(settings));
  }
  for (let index = 0; index < size.entries; index++) {
    const id = `entry-${String(index + 1).padStart(2, "0")}`;
    const settings = {
      id,
      cluster: "slopes",
      data_centre: dataCentreOf(index),
      http: address(),
      peer: address(),
      metrics: address(),
      handover: address(),
      control: members.map(({ peer }) => peer),
    };
    write("settings", `${id}.yaml`, JSON.stringify(settings));
  }
}

export function sectionName(index: number): string {
  return `section-${index + 1}`;
}

function writeSections(
  { services }: SiteSize,
  write: (name: string, text: string) => void,
): void {
  const count = Math.ceil(services / SERVICES_PER_SECTION);
  const names = Array.from({ length: count }, (_, i) => sectionName(i));
  const centres = Array.from({ length: TARGET.dataCentres }, (_, i) =>
    dataCentreOf(i),
  );
  const system = {
    regions: { north: centres },
    teams: { [TEAM]: { credential_sha256: sha256(TEAM) } },
    sections: Object.fromEntries(names.map((name) => [name, TEAM])),
  };
  write("system", JSON.stringify(system));
  for (const [index, name] of names.entries()) {
    const first = index * SERVICES_PER_SECTION;
    const rest = Math.min(SERVICES_PER_SECTION, services - first);
    write(name, sectionText(first, rest));
  }
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
