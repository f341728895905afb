import { Command } from "clipanion";
import { formatJson, formatTable } from "../output.ts";
import { ReadCommand } from "./remote.ts";

const EXIT_CODES_HELP = "Exit codes: 0 printed, 4 not allowed, 5 no answer.";

/** `mangobank document` */
export class DocumentCommand extends ReadCommand {
  static override paths = [["document"]];

  static override usage = Command.Usage({
    category: "Document",
    description: "Print the merged document",
    details: `Prints all sections merged, with their defaults. ${EXIT_CODES_HELP}`,
  });

  override execute(): Promise<number> {
    return this.readAndPrint(["document"], formatJson);
  }
}

interface HostResponse {
  readonly id: string;
  readonly role: string;
  readonly data_centre?: string;
  readonly state: string;
  readonly http?: string;
  readonly peer: string;
  readonly version?: number;
  readonly last_heard?: string;
  readonly lagging_since?: string;
}

interface StatusResponse {
  readonly document_revision: number;
  readonly version: number;
  readonly epoch: number;
  readonly leader?: string;
  readonly entries: number;
  readonly in_force_everywhere: boolean;
  /** Data centres whose servers get no requests; absent if there are none. */
  readonly evacuated?: readonly string[];
  readonly lagging: readonly HostResponse[];
  readonly silent: readonly string[];
  readonly running_stops: readonly {
    readonly stop: string;
    readonly phase: string;
    readonly since: string;
  }[];
}

/** `mangobank status` */
export class StatusCommand extends ReadCommand {
  static override paths = [["status"]];

  static override usage = Command.Usage({
    category: "Observe",
    description: "Show what is in force and which hosts lag",
    details: `
      Shows the revision of the document, the version of the configuration, the
      leader of control, the entries that do not have the newest configuration
      with the time since when, and the stops that run. ${EXIT_CODES_HELP}
    `,
  });

  override execute(): Promise<number> {
    return this.readAndPrint<StatusResponse>(["status"], formatStatus);
  }
}

function formatStatus(status: StatusResponse): string {
  const { lagging, silent, evacuated = [], running_stops: stops } = status;
  const lines = [
    `document revision  ${status.document_revision}`,
    `configuration      ${status.version}`,
    `view epoch         ${status.epoch}`,
    `control leader     ${status.leader ?? "none"}`,
    status.in_force_everywhere
      ? `in force           at all ${status.entries} entries`
      : `in force           not everywhere (${status.entries} entries)`,
    ...evacuated.map((name) => `evacuated          ${name}`),
    ...silent.map((id) => `silent             ${id}`),
    ...stops.map(({ stop, phase, since }) => {
      return `stop               ${stop} ${phase} since ${since}`;
    }),
  ];
  const summary = lines.map((line) => `${line}\n`).join("");
  if (lagging.length === 0) return summary;
  const table = formatTable(
    ["LAGGING", "DATA CENTRE", "HAS", "SINCE"],
    lagging.map((host) => {
      return [host.id, host.data_centre, host.version, host.lagging_since];
    }),
  );
  return `${summary}\n${table}`;
}

/** `mangobank hosts` */
export class HostsCommand extends ReadCommand {
  static override paths = [["hosts"]];

  static override usage = Command.Usage({
    category: "Observe",
    description: "List the hosts of the system",
    details: `Lists entries and control hosts with their state. ${EXIT_CODES_HELP}`,
  });

  override execute(): Promise<number> {
    return this.readAndPrint<{ hosts: readonly HostResponse[] }>(
      ["hosts"],
      (answer) =>
        formatTable(
          [
            "ID",
            "ROLE",
            "DATA CENTRE",
            "STATE",
            "HTTP",
            "PEER",
            "HAS",
            "HEARD",
          ],
          answer.hosts.map((host) => [
            host.id,
            host.role,
            host.data_centre,
            host.state,
            host.http,
            host.peer,
            host.version,
            host.last_heard,
          ]),
        ),
    );
  }
}

interface BackendServerResponse {
  readonly service: string;
  readonly id: string;
  readonly data_centre: string;
  readonly state: string;
  readonly address: { readonly host: string; readonly port: number };
  readonly in_flight: number;
  readonly slots: number;
}

/** `mangobank servers` */
export class ServersCommand extends ReadCommand {
  static override paths = [["servers"]];

  static override usage = Command.Usage({
    category: "Observe",
    description: "List the backend servers",
    details: `Lists the servers that are registered, with their load. ${EXIT_CODES_HELP}`,
  });

  override execute(): Promise<number> {
    return this.readAndPrint<{ servers: readonly BackendServerResponse[] }>(
      ["servers"],
      ({ servers }) =>
        formatTable(
          ["SERVICE", "ID", "DATA CENTRE", "STATE", "ADDRESS", "IN FLIGHT"],
          servers.map((server) => [
            server.service,
            server.id,
            server.data_centre,
            server.state,
            `${server.address.host}:${server.address.port}`,
            `${server.in_flight}/${server.slots}`,
          ]),
        ),
    );
  }
}

interface StopResponse {
  readonly name: string;
  readonly service: string;
  readonly data_centre?: string;
  readonly servers?: readonly string[];
  readonly at: string;
  readonly after: readonly string[];
  readonly phase: string;
  readonly since?: string;
}

/** `mangobank stops` */
export class StopsCommand extends ReadCommand {
  static override paths = [["stops"]];

  static override usage = Command.Usage({
    category: "Observe",
    description: "List the planned stops and their progress",
    details: `
      Phases: pending, draining, overdue (past the drain limit; calls are still
      not cut off) and done. ${EXIT_CODES_HELP}
    `,
  });

  override execute(): Promise<number> {
    return this.readAndPrint<{ stops: readonly StopResponse[] }>(
      ["stops"],
      (answer) =>
        formatTable(
          ["STOP", "SERVICE", "SERVERS", "AT", "AFTER", "PHASE", "SINCE"],
          answer.stops.map((stop) => [
            stop.name,
            stop.service,
            stop.data_centre ?? stop.servers?.join(","),
            stop.at,
            stop.after.join(","),
            stop.phase,
            stop.since,
          ]),
        ),
    );
  }
}
