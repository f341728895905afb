import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Address, type HostId, rendezvousOrder } from "#model";
import { type PortBlock, reservePorts } from "../demo/ports.ts";
import { SiteProcesses } from "../demo/site_processes.ts";
import { until } from "../demo/until.ts";
import { bundle, type Programs } from "../faults/programs.ts";
import type { RelayPorts } from "../faults/redirect.ts";
import { Relay } from "../faults/relay.ts";
import { Backend } from "./backend.ts";
import type { RecordedRun } from "./backend_process.ts";
import {
  BASE_SERVICE,
  dataCentre,
  type HostFile,
  type ServiceFields,
  writeExample,
} from "./site_files.ts";

/** Limit of every wait; generous, so that a busy machine fails no test. */
export const WITHIN_MS = 30_000;

export interface CallSiteOptions {
  readonly entries: number;
  /** Services with the fields in which they differ from the usual ones. */
  readonly services: Readonly<Record<string, ServiceFields>>;
  /** True if processes connect to each other through relays. */
  readonly relays?: boolean;
}

/** What an entry reports about itself. */
export interface EntryReport {
  readonly ready: boolean;
  readonly reasons: readonly string[];
  readonly status: {
    readonly epoch: number;
    /** Entries in the view. */
    readonly entries: number;
    readonly servers: Readonly<Record<string, number>>;
  };
}

interface Pair {
  readonly hosts: readonly HostId[];
  readonly relay: Relay;
}

/** Control, entries and backend servers as processes that tests break. */
export class CallSite {
  readonly processes: SiteProcesses;
  readonly backends: Backend[] = [];
  readonly #folder: string;
  readonly #ports: PortBlock;
  readonly #programs: Programs;
  readonly #pairs: readonly Pair[];

  private constructor(parts: {
    processes: SiteProcesses;
    folder: string;
    ports: PortBlock;
    programs: Programs;
    pairs: readonly Pair[];
  }) {
    this.processes = parts.processes;
    this.#folder = parts.folder;
    this.#ports = parts.ports;
    this.#programs = parts.programs;
    this.#pairs = parts.pairs;
  }

  /** Starts a site whose entries take calls and know each other. */
  static async start(options: CallSiteOptions): Promise<CallSite> {
    const programs = await bundle();
    const ports = await reservePorts();
    const folder = mkdtempSync(join(tmpdir(), "mangobank-calls-"));
    // Also when the run is interrupted and no test hook runs.
    process.once("exit", () =>
      rmSync(folder, { recursive: true, force: true }),
    );
    const example = join(folder, "example");
    const services = Object.fromEntries(
      Object.entries(options.services).map(([name, fields]) => {
        return [name, { ...BASE_SERVICE, ...fields }];
      }),
    );
    const hosts = writeExample({
      folder: example,
      controls: 3,
      entries: options.entries,
      ports,
      services,
    });
    const run = join(folder, "run");
    const preload = options.relays ? ["--require", programs.redirect] : [];
    const processes = new SiteProcesses({
      example,
      folder: run,
      command: [process.execPath, ...preload, programs.mangobank],
    });
    const { pairs, table } = await connectThroughRelays(hosts);
    writeFileSync(join(run, "relays.json"), JSON.stringify(table));
    const site = new CallSite({ processes, folder, ports, programs, pairs });
    try {
      await processes.start();
      await until(() => site.#settled(), {
        what: "all entries know the same view",
        withinMs: WITHIN_MS,
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

  http(id: HostId): Address {
    return this.#entry(id).http;
  }

  /** The entry that dispatches a service, as all entries compute it. */
  dispatcher(service: string): HostId {
    const entries = this.entryIds.map((id) => ({ id }));
    return rendezvousOrder(service, entries)[0]?.id ?? "";
  }

  /** Starts server processes and waits until every entry knows them. */
  async addBackends(
    service: string,
    options: {
      count: number;
      slots?: number;
      serviceMs?: number;
      entries?: readonly Address[];
    },
  ): Promise<Backend[]> {
    const { count, slots = 6, serviceMs = 10 } = options;
    const { backend } = this.#programs;
    const added = Array.from({ length: count }, (_, index) => {
      const id = `${service}-${index + 1}`;
      return new Backend(backend, {
        id,
        service,
        dataCentre: dataCentre(index),
        slots,
        serviceMs,
        entries: options.entries ?? this.processes.seeds,
        ledgerFile: join(this.#folder, `${id}.ledger`),
      });
    });
    this.backends.push(...added);
    await Promise.all(added.map((server) => server.start()));
    await this.serversKnown(service, count);
    return added;
  }

  /** Waits until every entry that answers knows this many servers. */
  async serversKnown(service: string, count: number): Promise<void> {
    await until(
      async () => {
        const reports = await this.reports();
        return reports.every(
          (r) => (r?.status.servers[service] ?? 0) === count,
        );
      },
      { what: `${count} servers of ${service} known`, withinMs: WITHIN_MS },
    );
  }

  /** Runs of all servers, in order of time. */
  runs(): RecordedRun[] {
    const runs = this.backends.flatMap((backend) => backend.runs());
    return runs.sort((a, b) => a.at - b.at);
  }

  report(id: HostId): Promise<EntryReport | undefined> {
    const { metrics } = this.#entry(id);
    return fetch(`http://${metrics.host}:${metrics.port}/readyz`)
      .then((response) => response.json() as Promise<EntryReport>)
      .catch(() => undefined);
  }

  reports(): Promise<(EntryReport | undefined)[]> {
    return Promise.all(this.entryIds.map((id) => this.report(id)));
  }

  async kill(id: HostId): Promise<void> {
    this.processes.signal(id, "SIGKILL");
    await this.processes.waitForExit(id);
  }

  /** Starts an entry again and waits until it takes work. */
  async restart(id: HostId): Promise<void> {
    this.processes.startHost("entry", id);
    await this.isReady(id);
  }

  async isReady(id: HostId): Promise<void> {
    await until(async () => (await this.report(id))?.ready === true, {
      what: `${id} is ready`,
      withinMs: WITHIN_MS,
    });
  }

  /** Cuts the connections between two hosts silently. */
  cutBetween(one: HostId, other: HostId): void {
    for (const { hosts, relay } of this.#pairs) {
      if (hosts.includes(one) && hosts.includes(other)) relay.cut();
    }
  }

  /** Cuts a host off from all others silently. */
  isolate(id: HostId): void {
    for (const { hosts, relay } of this.#pairs) {
      if (hosts.includes(id)) relay.cut();
    }
  }

  heal(): void {
    for (const { relay } of this.#pairs) relay.heal();
  }

  async close(): Promise<void> {
    await Promise.all(this.backends.map((backend) => backend.kill()));
    await this.processes.close();
    for (const { relay } of this.#pairs) relay.close();
    this.#ports.release();
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #settled(): Promise<boolean> {
    const [first, ...others] = await this.reports();
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

async function connectThroughRelays(
  hosts: readonly HostFile[],
): Promise<{ pairs: Pair[]; table: RelayPorts }> {
  const pairs: Pair[] = [];
  const table: RelayPorts = {};
  for (const from of hosts) {
    const ports: Record<number, number> = {};
    for (const to of hosts) {
      if (from.id === to.id || from.role === "control") continue;
      const relay = new Relay(to.peer.port);
      ports[to.peer.port] = await relay.listen();
      pairs.push({ hosts: [from.id, to.id], relay });
    }
    table[from.id] = ports;
  }
  return { pairs, table };
}
