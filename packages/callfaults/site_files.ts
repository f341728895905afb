import { createHash } from "node:crypto";
import {
  appendFileSync,
  cpSync,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import type { Address, HostId } from "#model";
import { ROOT } from "../demo/bundle.ts";
import type { PortBlock } from "../demo/ports.ts";

const EXAMPLE = join(ROOT, "examples/daugava");
const HOST = "127.0.0.1";
const DATA_CENTRES = ["riga-a", "riga-b", "jelgava", "valmiera"] as const;

/** The entries' timeout for receiving a request body. */
export const BODY_TIMEOUT_MS = 1_500;

/** Fields of a service in a section of the document. */
export type ServiceFields = Readonly<Record<string, unknown>>;

export const BASE_SERVICE: ServiceFields = {
  measuring_budget_percent: 1,
  retry_budget_percent: 20,
  ejection_max_percent: 40,
  cold_start_ms: 0,
  queue_length: 400,
  slots_per_server: 6,
  connections_per_server: 300,
  classes: {
    booking: { priority: "urgent", deadline_ms: 5000, repeatable: false },
    lookup: { priority: "patient", deadline_ms: 3000, repeatable: true },
  },
  routes: [
    { method: "POST", path: "/bookings", class: "booking" },
    { path: "/", class: "lookup" },
  ],
};

/** A host and the address at which the other hosts connect to it. */
export interface SiteHost {
  readonly id: HostId;
  readonly role: "control" | "entry";
  readonly peer: Address;
}

/** The data centre of the host or server with this index. */
export function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0];
}

/**
 * Writes the files of the example deployment to a folder, with the given
 * services in the section `alloc` and the given number of hosts on free ports.
 */
export function writeExample(options: {
  readonly folder: string;
  readonly controls: number;
  readonly entries: number;
  readonly ports: PortBlock;
  readonly services: Readonly<Record<string, ServiceFields>>;
}): SiteHost[] {
  const { folder, services, ports } = options;
  const nextAddress = (): Address => ({ host: HOST, port: ports.take() });
  const settings = join(folder, "settings");
  mkdirSync(settings, { recursive: true });
  for (const part of ["sections", "credentials"]) {
    cpSync(join(EXAMPLE, part), join(folder, part), { recursive: true });
  }
  // All hosts share one clock. The small skew lets views count for keys for
  // only 5 s instead of a minute.
  appendFileSync(
    join(folder, "sections", "system.yaml"),
    "clock_skew_ms: 1000\n",
  );
  writeJson(join(folder, "sections", "alloc.yaml"), { services });
  // Replaces the example's section, whose stops name services that do not exist
  // here.
  const report = { services: { report: BASE_SERVICE } };
  writeJson(join(folder, "sections", "report.yaml"), report);
  const credential = readFileSync(
    join(folder, "credentials", "system.key"),
    "utf8",
  ).trim();
  const controls = makeHosts("control", options.controls, nextAddress);
  const entries = makeHosts("entry", options.entries, nextAddress);
  const members = controls.map(({ id, peer }) => ({ id, ...peer }));
  controls.forEach(({ id, peer }, index) => {
    writeJson(join(settings, `${id}.yaml`), {
      id,
      cluster: "callfaults",
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
    writeJson(join(settings, `${id}.yaml`), {
      id,
      cluster: "callfaults",
      data_centre: dataCentreOf(index),
      http: nextAddress(),
      peer,
      metrics: nextAddress(),
      handover: nextAddress(),
      control: controls.map((control) => control.peer),
      limits: { body_timeout_ms: BODY_TIMEOUT_MS },
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
    return { id: `${role}-${index + 1}`, role, peer: nextAddress() };
  });
}

/** Writes a YAML file as JSON, which is valid YAML. */
function writeJson(path: string, content: object): void {
  writeFileSync(path, JSON.stringify(content, null, 2));
}
