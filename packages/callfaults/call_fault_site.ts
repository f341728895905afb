import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Address, type HostId, rendezvousOrder } from "#model";
import { type PortBlock, reservePorts } from "../demo/ports.ts";
import { SiteProcesses } from "../demo/site_processes.ts";
import { until } from "../demo/until.ts";
import { type BundledPrograms, bundle } from "../faults/programs.ts";
import type { RelayPorts } from "../faults/redirect.ts";
import { Relay } from "../faults/relay.ts";
import { BackendHandle } from "./backend_handle.ts";
import type { RecordedExecution } from "./backend_process.ts";
import {
  BASE_SERVICE,
  dataCentreOf,
  type ServiceFields,
  type SiteHost,
  writeExample,
} from "./site_files.ts";

/** Timeout of every wait; generous, so that no test fails on a busy machine. */
export const WAIT_TIMEOUT_MS = 30_000;
/** Without it, a report of a process that hangs outlasts each wait for it. */
const REPORT_TIMEOUT_MS = 5_000;

export interface CallFaultSiteOptions {
  readonly entries: number;
  /** Services by name, with the fields that differ from `BASE_SERVICE`. */
  readonly services: Readonly<Record<string, ServiceFields>>;
  /**
   * Whether processes connect to each other through relays; false if absent.
   */
  readonly relays?: boolean;
}

/** The fields of an entry's `/readyz` response that tests use. */
export interface EntryReport {
  readonly ready: boolean;
  readonly reasons: readonly string[];
  readonly status: {
    readonly epoch: number;
    /** Number of entries in the view. */
    readonly entries: number;
    readonly servers: Readonly<Record<string, number>>;
  };
}

/** The relay for connections from one host to another. */
interface RelayLink {
  readonly hosts: readonly HostId[];
  readonly relay: Relay;
}

/**
 * A deployment of control hosts, entries and backend servers as processes, in
 * which tests inject faults while calls run.
 */
export class CallFaultSite {
  readonly processes: SiteProcesses;
  readonly backends: BackendHandle[] = [];
  readonly #folder: string;
  readonly #ports: PortBlock;
  readonly #programs: BundledPrograms;
  readonly #links: readonly RelayLink[];

  private constructor(parts: {
    processes: SiteProcesses;
    folder: string;
    ports: PortBlock;
    programs: BundledPrograms;
    links: readonly RelayLink[];
  }) {
    this.processes = parts.processes;
    this.#folder = parts.folder;
    this.#ports = parts.ports;
    this.#programs = parts.programs;
    this.#links = parts.links;
  }

  /** Starts a deployment and waits until all entries are ready in one view. */
  static async start(options: CallFaultSiteOptions): Promise<CallFaultSite> {
    const programs = await bundle();
    const ports = await reservePorts();
    const folder = mkdtempSync(join(tmpdir(), "mangobank-calls-"));
    // Removes the folder also if the run is interrupted and no test hook runs.
    process.once("exit", () =>
      rmSync(folder, { recursive: true, force: true }),
    );
    const exampleFolder = join(folder, "example");
    const services = Object.fromEntries(
      Object.entries(options.services).map(([name, fields]) => {
        return [name, { ...BASE_SERVICE, ...fields }];
      }),
    );
    const hosts = writeExample({
      folder: exampleFolder,
      controls: 3,
      entries: options.entries,
      ports,
      services,
    });
    const runFolder = join(folder, "run");
    const preload = options.relays ? ["--require", programs.redirect] : [];
    const processes = new SiteProcesses({
      example: exampleFolder,
      folder: runFolder,
      command: [process.execPath, ...preload, programs.mangobank],
    });
    const { links, relayPorts } = await startRelays(hosts);
    writeFileSync(join(runFolder, "relays.json"), JSON.stringify(relayPorts));
    const site = new CallFaultSite({
      processes,
      folder,
      ports,
      programs,
      links,
    });
    try {
      await processes.start();
      await until(() => site.#allEntriesInView(), {
        what: "all entries know the same view",
        withinMs: WAIT_TIMEOUT_MS,
      });
    } catch (cause) {
      await site.close();
      throw cause;
    }
    return site;
  }

  get entryIds(): HostId[] {
    return this.processes.entries.map(({ id }) => id);
  }

  httpAddress(id: HostId): Address {
    return this.#entry(id).http;
  }

  /** The entry that dispatches a service, computed as the entries do. */
  dispatcher(service: string): HostId {
    const entries = this.entryIds.map((id) => ({ id }));
    return rendezvousOrder(service, entries)[0]?.id ?? "";
  }

  /** Starts backend server processes and waits until every entry knows them. */
  async addBackends(
    service: string,
    options: {
      count: number;
      slots?: number;
      serviceMs?: number;
      entries?: readonly Address[];
    },
  ): Promise<BackendHandle[]> {
    const { count, slots = 6, serviceMs = 10 } = options;
    const { backend } = this.#programs;
    const added = Array.from({ length: count }, (_, index) => {
      const id = `${service}-${index + 1}`;
      return new BackendHandle(backend, {
        id,
        service,
        dataCentre: dataCentreOf(index),
        slots,
        serviceMs,
        entries: options.entries ?? this.processes.seeds,
        executionLogFile: join(this.#folder, `${id}.ledger`),
      });
    });
    this.backends.push(...added);
    await Promise.all(added.map((server) => server.start()));
    await this.waitForServers(service, count);
    return added;
  }

  /**
   * Waits until every entry knows exactly this many servers of a service. An
   * entry that doesn't answer counts as knowing none.
   */
  async waitForServers(service: string, count: number): Promise<void> {
    await until(
      async () => {
        const reports = await this.entryReports();
        return reports.every(
          (r) => (r?.status.servers[service] ?? 0) === count,
        );
      },
      {
        what: `${count} servers of ${service} known`,
        withinMs: WAIT_TIMEOUT_MS,
      },
    );
  }

  /** Executions by all servers, in order of time. */
  executions(): RecordedExecution[] {
    const executions = this.backends.flatMap((backend) => backend.executions());
    return executions.sort((a, b) => a.at - b.at);
  }

  /** Reads an entry's `/readyz`; undefined if it doesn't answer. */
  entryReport(id: HostId): Promise<EntryReport | undefined> {
    const { metrics } = this.#entry(id);
    const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS);
    return fetch(`http://${metrics.host}:${metrics.port}/readyz`, { signal })
      .then((response) => response.json() as Promise<EntryReport>)
      .catch(() => undefined);
  }

  entryReports(): Promise<(EntryReport | undefined)[]> {
    return Promise.all(this.entryIds.map((id) => this.entryReport(id)));
  }

  async kill(id: HostId): Promise<void> {
    this.processes.signal(id, "SIGKILL");
    await this.processes.waitForExit(id);
  }

  /** Restarts an entry and waits until it is ready. */
  async restart(id: HostId): Promise<void> {
    this.processes.startHost("entry", id);
    await this.waitUntilReady(id);
  }

  async waitUntilReady(id: HostId): Promise<void> {
    await until(async () => (await this.entryReport(id))?.ready === true, {
      what: `${id} is ready`,
      withinMs: WAIT_TIMEOUT_MS,
    });
  }

  /** Partitions two hosts from each other; connections stay open. */
  cutBetween(one: HostId, other: HostId): void {
    for (const { hosts, relay } of this.#links) {
      if (hosts.includes(one) && hosts.includes(other)) relay.cut();
    }
  }

  /** Partitions a host from all others; connections stay open. */
  isolate(id: HostId): void {
    for (const { hosts, relay } of this.#links) {
      if (hosts.includes(id)) relay.cut();
    }
  }

  /** Ends all partitions. */
  heal(): void {
    for (const { relay } of this.#links) relay.heal();
  }

  async close(): Promise<void> {
    await Promise.all(this.backends.map((backend) => backend.kill()));
    await this.processes.close();
    for (const { relay } of this.#links) relay.close();
    this.#ports.release();
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #allEntriesInView(): Promise<boolean> {
    const [first, ...others] = await this.entryReports();
    return others.every(
      (other) =>
        first?.ready &&
        other?.ready &&
        other.status.epoch === first.status.epoch &&
        other.status.entries === this.entryIds.length,
    );
  }

  #entry(id: HostId) {
    const entry = this.processes.entries.find((e) => e.id === id);
    if (!entry) throw new Error(`the site has no entry ${id}`);
    return entry;
  }
}

/** Starts a relay for each connection that entries open to other hosts. */
async function startRelays(
  hosts: readonly SiteHost[],
): Promise<{ links: RelayLink[]; relayPorts: RelayPorts }> {
  const links: RelayLink[] = [];
  const relayPorts: RelayPorts = {};
  for (const from of hosts) {
    const ports: Record<number, number> = {};
    for (const to of hosts) {
      if (from.id === to.id || from.role === "control") continue;
      const relay = new Relay(to.peer.port);
      ports[to.peer.port] = await relay.listen();
      links.push({ hosts: [from.id, to.id], relay });
    }
    relayPorts[from.id] = ports;
  }
  return { links, relayPorts };
}
