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
import type { RegistryReply } from "#registry";
import { parseControlSettings, parseEntrySettings } from "#settings";
import { type StandinOptions, StandinServer } from "#standin";
import { MemoryDisk, MemoryStorage } from "#storage";
import { type Logger, SilentLogger } from "#telemetry";
import { type PortBlock, reservePorts } from "./ports.ts";

const CREDENTIAL_SHA256 = createHash("sha256")
  .update("local-site")
  .digest("hex");
const HOST = "127.0.0.1";

/** The text of a section `system` with one team that owns `sections`. */
export function systemSection(
  dataCentres: readonly string[],
  sections: readonly string[],
): string {
  return JSON.stringify({
    regions: { local: dataCentres },
    teams: { local: { credential_sha256: CREDENTIAL_SHA256 } },
    sections: Object.fromEntries(sections.map((name) => [name, "local"])),
  });
}

export interface LocalSiteOptions {
  readonly controls?: number;
  readonly entries?: number;
  readonly dataCentres?: readonly string[];
  /** The `limits` in the entries' settings. */
  readonly entryLimits?: Readonly<Record<string, number>>;
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

  private constructor(ports: PortBlock) {
    this.#ports = ports;
  }

  static async start(options: LocalSiteOptions = {}): Promise<LocalSite> {
    const site = new LocalSite(await reservePorts());
    try {
      await site.#start(options);
    } catch (cause) {
      // Servers that stay open would keep the test process alive.
      await site.close();
      throw cause;
    }
    return site;
  }

  /** Whether a leader confirms a read of the first control process. */
  async hasLeader(): Promise<boolean> {
    const confirmed = await this.controls[0]?.confirmRead();
    return confirmed?.isOk() ?? false;
  }

  /**
   * Puts the text of a section as its owner, and waits until it is in force if
   * it is accepted.
   */
  async put(
    section: string,
    text: string,
    baseRevision = 0,
  ): Promise<RegistryReply> {
    const [control] = this.controls;
    if (!control) throw new Error("the site has no control process");
    const put = await control.submit({
      type: "put_section",
      section,
      text,
      baseRevision,
      changeId: uuid(),
      actor:
        section === "system"
          ? { type: "system" }
          : { type: "team", credentialSha256: CREDENTIAL_SHA256 },
      at: this.#clock.wallTime(),
    });
    if (put.isErr()) throw new Error(JSON.stringify(put.error));
    const reply = put.value;
    if (reply.type === "accepted")
      await control.waitUntilInForce(reply.version);
    return reply;
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

  async #start(options: LocalSiteOptions): Promise<void> {
    const { controls = 1, entries = 2, dataCentres = ["riga-a"] } = options;
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
      const settings = parseEntrySettings(
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
