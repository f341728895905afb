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

/** Time that a caller has for a short body, in milliseconds. */
export const BODY_TIMEOUT_MS = 1_500;

/** Fields of a service that tests change. */
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

/** A process and the port at which others of the system connect to it. */
export interface HostFile {
  readonly id: HostId;
  readonly role: "control" | "entry";
  readonly peer: Address;
}

/** The data centre of the host or server with this index. */
export function dataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0];
}

/** Writes an example in which the section `alloc` has these services. */
export function writeExample(options: {
  readonly folder: string;
  readonly controls: number;
  readonly entries: number;
  readonly ports: PortBlock;
  readonly services: Readonly<Record<string, ServiceFields>>;
}): HostFile[] {
  const { folder, services, ports } = options;
  const address = (): Address => ({ host: HOST, port: ports.take() });
  const settings = join(folder, "settings");
  mkdirSync(settings, { recursive: true });
  for (const part of ["sections", "credentials"]) {
    cpSync(join(EXAMPLE, part), join(folder, part), { recursive: true });
  }
  // One clock for all: views count for keys for 5 s and not for a minute.
  appendFileSync(
    join(folder, "sections", "system.yaml"),
    "clock_skew_ms: 1000\n",
  );
  write(join(folder, "sections", "alloc.yaml"), { services });
  // The example's stops name services that this section does not have.
  const report = { services: { report: BASE_SERVICE } };
  write(join(folder, "sections", "report.yaml"), report);
  const credential = readFileSync(
    join(folder, "credentials", "system.key"),
    "utf8",
  ).trim();
  const controls = hosts("control", options.controls, address);
  const entries = hosts("entry", options.entries, address);
  const members = controls.map(({ id, peer }) => ({ id, ...peer }));
  controls.forEach(({ id, peer }, index) => {
    write(join(settings, `${id}.yaml`), {
      id,
      cluster: "callfaults",
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
    write(join(settings, `${id}.yaml`), {
      id,
      cluster: "callfaults",
      data_centre: dataCentre(index),
      http: address(),
      peer,
      metrics: address(),
      control: controls.map((control) => control.peer),
      limits: { body_timeout_ms: BODY_TIMEOUT_MS },
    });
  });
  return [...controls, ...entries];
}

function hosts(
  role: HostFile["role"],
  count: number,
  address: () => Address,
): HostFile[] {
  return Array.from({ length: count }, (_, index) => {
    return { id: `${role}-${index + 1}`, role, peer: address() };
  });
}

/** JSON is YAML as well. */
function write(path: string, content: object): void {
  writeFileSync(path, JSON.stringify(content, null, 2));
}
