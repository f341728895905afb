import { createHash } from "node:crypto";
import { v4 as uuid } from "uuid";
import { ControlProcess } from "#control";
import { EntryProcess } from "#entry";
import {
  type Address,
  type Clock,
  SystemClock,
  SystemRandomness,
} from "#model";
import { parseControlSettings, parseEntrySettings } from "#settings";
import { type StandinOptions, StandinServer } from "#standin";
import { MemoryDisk, MemoryStorage } from "#storage";
import { type Logger, SilentLogger } from "#telemetry";
import { type PortBlock, reservePorts } from "./ports.ts";
import { until } from "./until.ts";

const CREDENTIAL_SHA256 = createHash("sha256")
  .update("local-site")
  .digest("hex");
const HOST = "127.0.0.1";

/** The section with all services. */
const SECTION = "all";
const DEFAULT_DATA_CENTRES = ["riga-a"];

export interface LocalSiteOptions {
  readonly controls?: number;
  readonly entries?: number;
  readonly dataCentres?: readonly string[];
  /** The `limits` in the entries' settings. */
  readonly entryLimits?: Readonly<Record<string, number>>;
  /** Bound on open connections of each entry to servers; unbounded if absent. */
  readonly serverConnectionsMax?: number;
  readonly logger?: Logger;
}

/**
 * Control hosts, entries and stand-in servers that run in this process and
 * talk over real connections.
 */
export class LocalSite {
  readonly controls: ControlProcess[] = [];
  readonly entries: EntryProcess[] = [];
  readonly servers: StandinServer[] = [];
  /** Addresses of the entries for callers and backend servers. */
  readonly addresses: Address[] = [];
  /** Addresses of the entries for other processes of the system. */
  readonly peers: Address[] = [];
  /** Addresses of the entries for calls that others pass on. */
  readonly handoverAddresses: Address[] = [];
  /** Ports of the entries' metrics. */
  readonly metricsPorts: number[] = [];
  readonly #clock: Clock = new SystemClock();
  readonly #ports: PortBlock;
  readonly #dataCentres: readonly string[];

  private constructor(ports: PortBlock, dataCentres: readonly string[]) {
    this.#ports = ports;
    this.#dataCentres = dataCentres;
  }

  static async start(options: LocalSiteOptions = {}): Promise<LocalSite> {
    const { dataCentres = DEFAULT_DATA_CENTRES } = options;
    const site = new LocalSite(await reservePorts(), dataCentres);
    try {
      await site.#start(options);
    } catch (cause) {
      // Servers that stay open would keep the test process alive.
      await site.close();
      throw cause;
    }
    return site;
  }

  /** Puts the services in force, and waits until all entries are ready. */
  async configure(services: Readonly<Record<string, unknown>>): Promise<void> {
    await until(() => this.#hasLeader(), { what: "control has a leader" });
    await this.#put("system", {
      regions: { local: this.#dataCentres },
      teams: { local: { credential_sha256: CREDENTIAL_SHA256 } },
      sections: { [SECTION]: "local" },
    });
    await this.#put(SECTION, { services });
    await until(() => this.entries.every(({ ready }) => ready), {
      what: "entries are ready",
    });
  }

  /** Waits until all entries know exactly this many servers of a service. */
  async serversKnown(service: string, count: number): Promise<void> {
    await until(
      () => this.entries.every((e) => e.serverCount(service) === count),
      { what: `${count} servers of ${service} are known` },
    );
  }

  /** Starts a stand-in server that announces itself to the entries. */
  async addServer(
    options: Omit<StandinOptions, "entries">,
  ): Promise<StandinServer> {
    const entries = () => this.addresses;
    const server = new StandinServer({ ...options, entries });
    await server.start();
    this.servers.push(server);
    return server;
  }

  async close(): Promise<void> {
    for (const server of this.servers) await server.crash();
    for (const entry of this.entries) entry.close();
    for (const control of this.controls) await control.close();
    this.#ports.release();
  }

  /** Whether a leader confirms a read of the first control process. */
  async #hasLeader(): Promise<boolean> {
    const confirmed = await this.controls[0]?.confirmRead();
    return confirmed?.isOk() ?? false;
  }

  /** Puts a section as its owner, and waits until it is in force. */
  async #put(section: string, content: unknown): Promise<void> {
    const [control] = this.controls;
    if (!control) throw new Error("the site has no control process");
    const put = await control.submit({
      type: "put_section",
      section,
      text: JSON.stringify(content),
      baseRevision: 0,
      changeId: uuid(),
      actor:
        section === "system"
          ? { type: "system" }
          : { type: "team", credentialSha256: CREDENTIAL_SHA256 },
      at: this.#clock.wallTime(),
    });
    if (put.isErr()) throw new Error(JSON.stringify(put.error));
    const reply = put.value;
    if (reply.type !== "accepted") throw new Error(JSON.stringify(reply));
    await control.waitUntilInForce(reply.version);
  }

  async #start(options: LocalSiteOptions): Promise<void> {
    const { controls = 1, entries = 2 } = options;
    const dataCentres = this.#dataCentres;
    const logger = options.logger ?? new SilentLogger();
    const nextPort = () => this.#ports.take();
    const members = Array.from({ length: controls }, (_, index) => ({
      id: `control-${index + 1}`,
      peer: nextPort(),
      http: nextPort(),
    }));
    const commonOptions = { logger, clock: this.#clock };
    for (const { id, peer, http } of members) {
      const settings = parseControlSettings(
        id,
        JSON.stringify({
          id,
          cluster: "local",
          data_centre: "riga-a",
          data_folder: "unused",
          http: { host: HOST, port: http },
          peer: { host: HOST, port: peer },
          members: members.map((m) => ({ id: m.id, host: HOST, port: m.peer })),
          system_credential_sha256: CREDENTIAL_SHA256,
        }),
      )._unsafeUnwrap();
      const opened = await ControlProcess.open({
        ...commonOptions,
        settings,
        storage: new MemoryStorage(new MemoryDisk(uuid())),
        randomness: new SystemRandomness(),
      });
      this.controls.push(opened._unsafeUnwrap());
    }
    for (let index = 0; index < entries; index++) {
      const http = { host: HOST, port: nextPort() };
      const parsed = parseEntrySettings(
        `entry-${index + 1}`,
        JSON.stringify({
          id: `entry-${index + 1}`,
          cluster: "local",
          data_centre: dataCentres[index % dataCentres.length],
          http,
          peer: { host: HOST, port: nextPort() },
          metrics: { host: HOST, port: nextPort() },
          handover: { host: HOST, port: nextPort() },
          control: members.map(({ peer }) => ({ host: HOST, port: peer })),
          limits: options.entryLimits ?? {},
        }),
      )._unsafeUnwrap();
      const { serverConnectionsMax } = options;
      const settings = { ...parsed, serverConnectionsMax };
      const randomness = new SystemRandomness();
      const entry = new EntryProcess({
        ...commonOptions,
        settings,
        randomness,
      });
      (await entry.start())._unsafeUnwrap();
      this.entries.push(entry);
      this.addresses.push(http);
      this.peers.push(settings.peer);
      if (settings.handover) this.handoverAddresses.push(settings.handover);
      this.metricsPorts.push(settings.metrics.port);
    }
  }
}
