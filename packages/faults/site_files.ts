import { createHash } from "node:crypto";
import { cpSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Address, HostId } from "#model";
import { ROOT } from "../demo/bundle.ts";
import type { PortBlock } from "../demo/ports.ts";

const EXAMPLE = join(ROOT, "examples/daugava");
const HOST = "127.0.0.1";
const DATA_CENTRES = ["riga-a", "riga-b", "jelgava", "valmiera"] as const;

/** A host and the address at which the other hosts connect to it. */
export interface SiteHost {
  readonly id: HostId;
  readonly role: "control" | "entry";
  readonly peer: Address;
}

/**
 * Writes the files of the example deployment to a folder, with settings for the
 * given number of hosts on free ports.
 */
export function writeExample(options: {
  readonly folder: string;
  readonly controls: number;
  readonly entries: number;
  readonly ports: PortBlock;
}): SiteHost[] {
  const { folder, ports } = options;
  const nextAddress = (): Address => ({ host: HOST, port: ports.take() });
  const settings = join(folder, "settings");
  mkdirSync(settings, { recursive: true });
  for (const part of ["sections", "credentials"]) {
    cpSync(join(EXAMPLE, part), join(folder, part), { recursive: true });
  }
  const controls = makeHosts("control", options.controls, nextAddress);
  const entries = makeHosts("entry", options.entries, nextAddress);
  const credential = readFileSync(
    join(folder, "credentials", "system.key"),
    "utf8",
  ).trim();
  const members = controls.map(({ id, peer }) => ({ id, ...peer }));
  controls.forEach(({ id, peer }, index) => {
    writeSettings(settings, id, {
      id,
      cluster: "faults",
      data_centre: dataCentreOf(index),
      data_folder: `../data/${id}`,
      http: nextAddress(),
      peer,
      members,
      system_credential_sha256: createHash("sha256")
        .update(credential)
        .digest("hex"),
    });
  });
  entries.forEach(({ id, peer }, index) => {
    writeSettings(settings, id, {
      id,
      cluster: "faults",
      data_centre: dataCentreOf(index),
      http: nextAddress(),
      peer,
      metrics: nextAddress(),
      handover: nextAddress(),
      control: controls.map((control) => control.peer),
    });
  });
  return [...controls, ...entries];
}

function makeHosts(
  role: SiteHost["role"],
  count: number,
  nextAddress: () => Address,
): SiteHost[] {
  return Array.from({ length: count }, (_, index) => {
    const number = String(index + 1).padStart(role === "entry" ? 2 : 1, "0");
    return { id: `${role}-${number}`, role, peer: nextAddress() };
  });
}

function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? "riga-a";
}

/** Writes settings as JSON, which is valid YAML. */
function writeSettings(folder: string, id: HostId, settings: object): void {
  writeFileSync(join(folder, `${id}.yaml`), JSON.stringify(settings, null, 2));
}
