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
import { bundle, type Programs } from "./programs.ts";
import type { RelayPorts } from "./redirect.ts";
import { RelayMesh } from "./relay.ts";
import { type Host, writeExample } from "./site_files.ts";

/** Limit of every wait; generous, so that a busy machine fails no test. */
export const WITHIN_MS = 30_000;

export interface FaultSiteOptions {
  readonly controls?: number;
  readonly entries?: number;
  /** False for processes that connect to each other without relays. */
  readonly relays?: boolean;
}

/** An answer over HTTP; status 0 if none came. */
export interface Reply {
  readonly status: number;
  /** The error code, where mangobank refused. */
  readonly code: string | undefined;
  readonly outcome: string | undefined;
  readonly body: string;
}

/** A site of real processes that tests break. */
export class FaultSite {
  readonly processes: SiteProcesses;
  readonly mesh: RelayMesh;
  readonly #folder: string;
  readonly #ports: PortBlock;
  readonly #programs: Programs;
  readonly #agent = new Agent({ keepAlive: false });

  private constructor(parts: {
    processes: SiteProcesses;
    mesh: RelayMesh;
    folder: string;
    ports: PortBlock;
    programs: Programs;
  }) {
    this.processes = parts.processes;
    this.mesh = parts.mesh;
    this.#folder = parts.folder;
    this.#ports = parts.ports;
    this.#programs = parts.programs;
  }

  /** Starts a site whose entries can take calls; the test closes it. */
  static async start(
    test: { after(close: () => Promise<void>): void },
    options: FaultSiteOptions = {},
  ): Promise<FaultSite> {
    const { controls = 3, entries = 3, relays = true } = options;
    const programs = await bundle();
    const ports = await reservePorts();
    const folder = mkdtempSync(join(tmpdir(), "mangobank-site-"));
    const example = join(folder, "example");
    const hosts = writeExample({ folder: example, controls, entries, ports });
    const mesh = new RelayMesh();
    const run = join(folder, "run");
    const preload = relays ? ["--require", programs.redirect] : [];
    const processes = new SiteProcesses({
      example,
      folder: run,
      command: [process.execPath, ...preload, programs.mangobank],
    });
    const site = new FaultSite({ processes, mesh, folder, ports, programs });
    test.after(() => site.close());
    if (relays) {
      const table = await connectThrough(mesh, hosts);
      writeFileSync(join(run, "relays.json"), JSON.stringify(table));
    }
    await processes.start();
    await until(() => site.#isSettled(), {
      what: "all entries know the view of all",
      withinMs: WITHIN_MS,
    });
    return site;
  }

  /** An entry is ready before it is in the view, so ready is not enough. */
  async #isSettled(): Promise<boolean> {
    const [control = ""] = this.controlIds;
    const { status, body } = await this.ask(control, { path: "/v1/status" });
    if (status !== 200) return false;
    const state = JSON.parse(body) as {
      entries: number;
      in_force_everywhere: boolean;
    };
    const { entries, in_force_everywhere: everywhere } = state;
    return entries === this.entryIds.length && everywhere;
  }

  get controlIds(): HostId[] {
    return this.processes.controls.map(({ id }) => id);
  }

  get entryIds(): HostId[] {
    return this.processes.entries.map(({ id }) => id);
  }

  /** Folder in which the processes run. */
  get folder(): string {
    return join(this.#folder, "run");
  }

  /** The program, to run subcommands. */
  get mangobank(): string {
    return this.#programs.mangobank;
  }

  /** A client that knows these control hosts only, in this order. */
  operator(
    team: string,
    controls: readonly HostId[] = this.controlIds,
  ): OperatorClient {
    return new OperatorClient({
      control: controls.map((id) => this.controlHttp(id)),
      credential: this.processes.credential(team),
      clock: new SystemClock(),
      timeoutMs: WITHIN_MS,
    });
  }

  /** One request of an operator to one control host, without retries. */
  ask(
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

  /** One call to an entry, without retries. */
  call(
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

  /** What an entry reports about itself. */
  async entryStatus(entry: HostId): Promise<EntryReport> {
    const { metrics } = this.entry(entry);
    const request = { method: "GET", path: "/readyz", headers: {} };
    const { body } = await this.#send(metrics, request);
    const none = { version: 0, revision: 0, servers: {} };
    if (body === "") return { ready: false, status: none };
    return JSON.parse(body) as EntryReport;
  }

  /** Waits for a leader that answers; not one of those given. */
  async leader(options: { except?: readonly HostId[] } = {}): Promise<HostId> {
    const { except = [] } = options;
    const asked = this.controlIds.filter((id) => !except.includes(id));
    let leader: string | undefined;
    const found = async () => {
      for (const id of asked) {
        const { status, body } = await this.ask(id, { path: "/v1/status" });
        if (status !== 200) continue;
        leader = (JSON.parse(body) as { leader?: string }).leader;
        if (leader !== undefined && asked.includes(leader)) return true;
      }
      return false;
    };
    await until(found, { what: "a leader answers", withinMs: WITHIN_MS });
    return leader ?? "";
  }

  /** Ends a process as a crash does; resolves when it is gone. */
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
    return find(this.processes.controls, id).http;
  }

  entry(id: HostId) {
    return find(this.processes.entries, id);
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

/** The body of an entry's `/readyz`, as far as tests use it. */
export interface EntryReport {
  readonly ready: boolean;
  readonly status: {
    readonly version: number;
    readonly revision: number;
    readonly servers: Readonly<Record<string, number>>;
  };
}

async function connectThrough(
  mesh: RelayMesh,
  hosts: readonly Host[],
): Promise<RelayPorts> {
  const table: RelayPorts = {};
  for (const from of hosts) {
    const ports: Record<number, number> = {};
    for (const to of hosts) {
      if (from.id === to.id) continue;
      // No control host opens a connection to an entry.
      if (from.role === "control" && to.role === "entry") continue;
      const { port } = to.peer;
      ports[port] = await mesh.add({ from: from.id, to: to.id, port });
    }
    table[from.id] = ports;
  }
  return table;
}

function find<T extends { readonly id: HostId }>(
  hosts: readonly T[],
  id: HostId,
): T {
  const host = hosts.find((candidate) => candidate.id === id);
  if (!host) throw new Error(`the site has no host ${id}`);
  return host;
}
