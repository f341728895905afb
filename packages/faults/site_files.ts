import { createHash } from "node:crypto";
import { cpSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Address, HostId } from "#model";
import { ROOT } from "../demo/bundle.ts";
import type { PortBlock } from "../demo/ports.ts";

const EXAMPLE = join(ROOT, "examples/daugava");
const HOST = "127.0.0.1";
const DATA_CENTRES = ["riga-a", "riga-b", "jelgava", "valmiera"] as const;

/** A process and the port at which others of the system connect to it. */
export interface Host {
  readonly id: HostId;
  readonly role: "control" | "entry";
  readonly peer: Address;
}

/** Writes an example with settings for as many hosts, on free ports. */
export function writeExample(options: {
  readonly folder: string;
  readonly controls: number;
  readonly entries: number;
  readonly ports: PortBlock;
}): Host[] {
  const { folder, ports } = options;
  const address = (): Address => ({ host: HOST, port: ports.take() });
  const settings = join(folder, "settings");
  mkdirSync(settings, { recursive: true });
  for (const part of ["sections", "credentials"]) {
    cpSync(join(EXAMPLE, part), join(folder, part), { recursive: true });
  }
  const controls = makeHosts("control", options.controls, address);
  const entries = makeHosts("entry", options.entries, address);
  const credential = readFileSync(
    join(folder, "credentials", "system.key"),
    "utf8",
  ).trim();
  const members = controls.map(({ id, peer }) => ({ id, ...peer }));
  controls.forEach(({ id, peer }, index) => {
    write(settings, id, {
      id,
      cluster: "faults",
      data_centre: dataCentre(index),
      data_folder: `../data/${id}`,
      http: address(),
      peer,
      members,
      system_credential_sha256: createHash("sha256")
        .update(credential)
        .digest("hex"),
    });
  });
  entries.forEach(({ id, peer }, index) => {
    write(settings, id, {
      id,
      cluster: "faults",
      data_centre: dataCentre(index),
      http: address(),
      peer,
      metrics: address(),
      control: controls.map((control) => control.peer),
    });
  });
  return [...controls, ...entries];
}

function makeHosts(
  role: Host["role"],
  count: number,
  address: () => Address,
): Host[] {
  return Array.from({ length: count }, (_, index) => {
    const number = String(index + 1).padStart(role === "entry" ? 2 : 1, "0");
    return { id: `${role}-${number}`, role, peer: address() };
  });
}

function dataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? "riga-a";
}

/** JSON is YAML as well. */
function write(folder: string, id: HostId, settings: object): void {
  writeFileSync(join(folder, `${id}.yaml`), JSON.stringify(settings, null, 2));
}
