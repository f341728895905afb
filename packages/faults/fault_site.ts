import { mkdtempSync, writeFileSync } from "node:fs";
import { rm } from "node:fs/promises";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Address, HEADERS, type HostId, SystemClock } from "#model";
import { OperatorClient } from "#operators";
import { exchange } from "../demo/caller.ts";
import { type PortBlock, reservePorts } from "../demo/ports.ts";
import { SiteProcesses } from "../demo/site_processes.ts";
import { until } from "../demo/until.ts";
import { type BundledPrograms, bundle } from "./programs.ts";
import type { RelayPorts } from "./redirect.ts";
import { RelayMesh } from "./relay.ts";
import { type SiteHost, writeExample } from "./site_files.ts";

/** Timeout of every wait; generous, so that no test fails on a busy machine. */
export const WAIT_TIMEOUT_MS = 30_000;

export interface FaultSiteOptions {
  /** Number of control hosts; 3 if absent. */
  readonly controls?: number;
  /** Number of entries; 3 if absent. */
  readonly entries?: number;
  /** Whether processes connect to each other through relays; true if absent. */
  readonly relays?: boolean;
}

/** An HTTP response; status 0 if none arrived. */
export interface Reply {
  readonly status: number;
  /** Error code of mangobank, if it refused the request. */
  readonly code: string | undefined;
  readonly outcome: string | undefined;
  readonly body: string;
}

/**
 * A deployment of control hosts and entries as real processes, in which tests
 * inject faults: kills, freezes, partitions and lost disks.
 */
export class FaultSite {
  readonly processes: SiteProcesses;
  readonly mesh: RelayMesh;
  readonly #folder: string;
  readonly #ports: PortBlock;
  readonly #programs: BundledPrograms;
  readonly #agent = new Agent({ keepAlive: false });

  private constructor(parts: {
    processes: SiteProcesses;
    mesh: RelayMesh;
    folder: string;
    ports: PortBlock;
    programs: BundledPrograms;
  }) {
    this.processes = parts.processes;
    this.mesh = parts.mesh;
    this.#folder = parts.folder;
    this.#ports = parts.ports;
    this.#programs = parts.programs;
  }

  /**
   * Starts a deployment and waits until it takes calls; closes it after the
   * test.
   */
  static async start(
    test: { after(close: () => Promise<void>): void },
    options: FaultSiteOptions = {},
  ): Promise<FaultSite> {
    const { controls = 3, entries = 3, relays = true } = options;
    const programs = await bundle();
    const ports = await reservePorts();
    const folder = mkdtempSync(join(tmpdir(), "mangobank-site-"));
    const exampleFolder = join(folder, "example");
    const hosts = writeExample({
      folder: exampleFolder,
      controls,
      entries,
      ports,
    });
    const mesh = new RelayMesh();
    const runFolder = join(folder, "run");
    const preload = relays ? ["--require", programs.redirect] : [];
    const processes = new SiteProcesses({
      example: exampleFolder,
      folder: runFolder,
      command: [process.execPath, ...preload, programs.mangobank],
    });
    const site = new FaultSite({ processes, mesh, folder, ports, programs });
    test.after(() => site.close());
    if (relays) {
      const relayPorts = await startRelays(mesh, hosts);
      writeFileSync(join(runFolder, "relays.json"), JSON.stringify(relayPorts));
    }
    await processes.start();
    await until(() => site.#allEntriesInView(), {
      what: "the view with all entries is in force everywhere",
      withinMs: WAIT_TIMEOUT_MS,
    });
    return site;
  }

  /**
   * Whether the view contains all entries and is in force at each of them. An
   * entry is ready before it is in the view, so readiness isn't enough.
   */
  async #allEntriesInView(): Promise<boolean> {
    const [control = ""] = this.controlIds;
    const { status, body } = await this.requestControl(control, {
      path: "/v1/status",
    });
    if (status !== 200) return false;
    const state = JSON.parse(body) as {
      entries: number;
      in_force_everywhere: boolean;
    };
    const { entries, in_force_everywhere: inForceEverywhere } = state;
    return entries === this.entryIds.length && inForceEverywhere;
  }

  get controlIds(): HostId[] {
    return this.processes.controls.map(({ id }) => id);
  }

  get entryIds(): HostId[] {
    return this.processes.entries.map(({ id }) => id);
  }

  /** Working directory of the processes. */
  get folder(): string {
    return join(this.#folder, "run");
  }

  /** Path of the bundled `mangobank` program, to run its subcommands. */
  get mangobank(): string {
    return this.#programs.mangobank;
  }

  /** A client that uses only the given control hosts, in this order. */
  operatorClient(
    team: string,
    controls: readonly HostId[] = this.controlIds,
  ): OperatorClient {
    return new OperatorClient({
      control: controls.map((id) => this.controlHttp(id)),
      credential: this.processes.credential(team),
      clock: new SystemClock(),
      timeoutMs: WAIT_TIMEOUT_MS,
    });
  }

  /** Sends one operator request to one control host, without retries. */
  requestControl(
    control: HostId,
    request: {
      readonly path: string;
      readonly put?: {
        readonly text: string;
        readonly revision: number;
        readonly changeId: string;
      };
      readonly team?: string;
    },
  ): Promise<Reply> {
    const { path, put, team = "system" } = request;
    return this.#send(this.controlHttp(control), {
      method: put ? "PUT" : "GET",
      path,
      headers: {
        authorization: `Bearer ${this.processes.credential(team)}`,
        ...(put && {
          "if-match": String(put.revision),
          [HEADERS.changeId]: put.changeId,
        }),
      },
      ...(put && { body: put.text }),
    });
  }

  /** Sends one call to an entry, without retries. */
  callEntry(
    entry: HostId,
    request: { service: string; path: string; serviceMs?: number },
  ): Promise<Reply> {
    const { service, path, serviceMs } = request;
    return this.#send(this.entry(entry).http, {
      method: "GET",
      path,
      headers: {
        [HEADERS.service]: service,
        ...(serviceMs !== undefined && {
          "standin-service-ms": String(serviceMs),
        }),
      },
    });
  }

  /**
   * Reads an entry's `/readyz`; not ready and all zero if it doesn't answer.
   */
  async entryStatus(entry: HostId): Promise<EntryReport> {
    const { metrics } = this.entry(entry);
    const request = { method: "GET", path: "/readyz", headers: {} };
    const { body } = await this.#send(metrics, request);
    const emptyStatus = { version: 0, revision: 0, servers: {} };
    if (body === "") return { ready: false, status: emptyStatus };
    return JSON.parse(body) as EntryReport;
  }

  /**
   * Waits until a leader other than the excluded hosts answers; returns its id.
   */
  async waitForLeader(
    options: { except?: readonly HostId[] } = {},
  ): Promise<HostId> {
    const { except = [] } = options;
    const candidates = this.controlIds.filter((id) => !except.includes(id));
    let leader: string | undefined;
    const found = async () => {
      for (const id of candidates) {
        const { status, body } = await this.requestControl(id, {
          path: "/v1/status",
        });
        if (status !== 200) continue;
        leader = (JSON.parse(body) as { leader?: string }).leader;
        if (leader !== undefined && candidates.includes(leader)) return true;
      }
      return false;
    };
    await until(found, { what: "a leader answers", withinMs: WAIT_TIMEOUT_MS });
    return leader ?? "";
  }

  /** Ends a process with SIGKILL; resolves when it has exited. */
  async kill(id: HostId): Promise<void> {
    this.processes.signal(id, "SIGKILL");
    await this.processes.waitForExit(id);
  }

  restart(id: HostId): void {
    const isControl = this.controlIds.includes(id);
    this.processes.startHost(isControl ? "control" : "entry", id);
  }

  async close(): Promise<void> {
    await this.processes.close();
    this.mesh.close();
    this.#agent.destroy();
    this.#ports.release();
    await rm(this.#folder, { recursive: true, force: true });
  }

  controlHttp(id: HostId): Address {
    return hostById(this.processes.controls, id).http;
  }

  entry(id: HostId) {
    return hostById(this.processes.entries, id);
  }

  async #send(
    address: Address,
    request: {
      readonly method: string;
      readonly path: string;
      readonly headers: Record<string, string>;
      readonly body?: string;
    },
  ): Promise<Reply> {
    try {
      const { status, headers, body } = await exchange({
        ...address,
        ...request,
        agent: this.#agent,
      });
      const code = headers["mangobank-error"] as string | undefined;
      const outcome = headers[HEADERS.outcome] as string | undefined;
      return { status, code, outcome, body };
    } catch {
      return { status: 0, code: undefined, outcome: undefined, body: "" };
    }
  }
}

/** The fields of an entry's `/readyz` response that tests use. */
export interface EntryReport {
  readonly ready: boolean;
  readonly status: {
    readonly version: number;
    readonly revision: number;
    readonly servers: Readonly<Record<string, number>>;
  };
}

/** Starts a relay for each connection between hosts; returns their ports. */
async function startRelays(
  mesh: RelayMesh,
  hosts: readonly SiteHost[],
): Promise<RelayPorts> {
  const relayPorts: RelayPorts = {};
  for (const from of hosts) {
    const ports: Record<number, number> = {};
    for (const to of hosts) {
      if (from.id === to.id) continue;
      // Control hosts open no connections to entries.
      if (from.role === "control" && to.role === "entry") continue;
      const { port } = to.peer;
      ports[port] = await mesh.add({ from: from.id, to: to.id, port });
    }
    relayPorts[from.id] = ports;
  }
  return relayPorts;
}

function hostById<T extends { readonly id: HostId }>(
  hosts: readonly T[],
  id: HostId,
): T {
  const host = hosts.find((candidate) => candidate.id === id);
  if (!host) throw new Error(`the site has no host ${id}`);
  return host;
}
