import { err, ok, type Result } from "neverthrow";
import { EMPTY_CONFIGURATION } from "#configuration";
import {
  type Address,
  type BackendServer,
  backendServerKey,
  type Clock,
  type Configuration,
  type Entry,
  type EntryState,
  type HostId,
  type Randomness,
} from "#model";
import {
  type AddressesResponse,
  AddressLookup,
  Presence,
  SERVE_AFTER_STOPPING_MS,
  TICK_INTERVAL_MS,
} from "#presence";
import { Registrations } from "#registration";
import type { EntrySettings } from "#settings";
import { type Logger, Metrics } from "#telemetry";
import {
  type Hello,
  type ListenFault,
  openLoggedNetwork,
  type TcpNetwork,
} from "#wire";
import { AdminServer } from "./admin_server.ts";
import { CallPath } from "./call_path.ts";
import { type CallProtocol, PublishedProtocol } from "./call_protocol.ts";
import { CallerServer } from "./caller_server.ts";
import {
  CONFIRM_EVERY_MS,
  ConfigurationFollower,
  FOLLOW_UP_EVERY_MS,
} from "./configuration_follower.ts";
import { type EntryMessages, peersOf } from "./entry_network.ts";
import { endCalls } from "./entry_stop.ts";
import { EventLoopLoad } from "./event_loop_load.ts";
import { KnownServers } from "./known_servers.ts";
import { OwnPaths } from "./own_paths.ts";
import { UsableServers } from "./usable_servers.ts";

/** How often the entry's own load is measured and told to the others. */
const LOAD_EVERY_MS = 1_000;
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: Logger;
  /** How callers and servers are spoken to, if not as mangobank publishes. */
  readonly protocol?: CallProtocol;
}

/** The entry role: carries calls, spreads presence, holds claims. */
export class EntryProcess {
  readonly #options: EntryOptions;
  readonly #incarnation: number;
  readonly #network: TcpNetwork<EntryMessages>;
  readonly #registrations: Registrations;
  readonly #servers: KnownServers;
  readonly #lookup: AddressLookup;
  readonly #calls: CallPath;
  readonly #follower: ConfigurationFollower;
  readonly #usable = new UsableServers();
  readonly #metrics: Metrics;
  readonly #callers: CallerServer;
  readonly #admin: AdminServer;
  readonly #load = new EventLoopLoad();
  readonly #timers: NodeJS.Timeout[] = [];
  #state: EntryState = "ready";
  #seeds: readonly Address[];
  #applied: Configuration = EMPTY_CONFIGURATION;

  constructor(options: EntryOptions) {
    this.#options = options;
    const { settings, clock, randomness, logger } = options;
    this.#incarnation = Math.floor(clock.wallTime());
    this.#seeds = settings.control;
    const protocol = options.protocol ?? new PublishedProtocol();
    const network = openLoggedNetwork<EntryMessages>({
      settings,
      role: "entry",
      incarnation: this.#incarnation,
      clock,
      logger,
      up: (peer) => this.#peerUp(peer),
      down: (peer) => this.#peerDown(peer),
    });
    this.#network = network;
    this.#metrics = new Metrics({
      configurationVersion: () => this.#follower.version,
      callsInFlight: () => this.#calls.inFlight(),
      queueLength: () => this.#calls.queueLengths(),
      probeBudget: () =>
        this.#servers.probeBudgets(this.#applied.document.services),
      peerTraffic: () => network.traffic,
    });
    this.#registrations = new Registrations({
      presence: new Presence({
        id: settings.id,
        incarnation: this.#incarnation,
        dataCentre: settings.dataCentre,
        randomness,
      }),
      clock,
      network,
      onServersChanged: (service, servers) =>
        this.#serversChanged(service, servers),
      onServerGone: (server, reason) => {
        logger.info("backend server gone", {
          server: backendServerKey(server),
          incarnation: server.incarnation,
          reason,
        });
        this.#calls.serverGone(server, reason);
      },
    });
    this.#servers = new KnownServers({
      presence: this.#registrations.presence,
      clock,
      network,
    });
    this.#lookup = new AddressLookup(randomness, settings.addressKeepMs);
    this.#follower = new ConfigurationFollower({
      network,
      clock,
      logger,
      self: () => this.#record(),
      controls: () => this.#connectedControls(),
      stopReports: () =>
        this.#usable.stopReports((matches) => this.#calls.inFlightAt(matches)),
      changed: (configuration) => this.#configure(configuration),
      confirmedForMs: settings.confirmedForMs,
    });
    this.#calls = new CallPath({
      ...options,
      protocol,
      incarnation: this.#incarnation,
      network,
      metrics: this.#metrics,
      toAvoid: (service, about) => this.#servers.toAvoid(service, about),
      ready: () => this.#mayServe(),
      bodyLimits: () => ({
        maxBytes:
          this.#applied.document.requestLimits?.bodyMaxBytes ??
          settings.limits.bodyMaxBytes,
        timeoutMs: settings.limits.bodyTimeoutMs,
      }),
      configuration: () => ({
        version: this.#follower.version,
        confirmedMsAgo: Math.round(this.#follower.confirmationAge()),
      }),
      serverLeaving: (server) => this.#registrations.observeLeaving(server),
    });
    const own = new OwnPaths({
      clock,
      registrations: this.#registrations,
      service: (name) => this.#calls.service(name),
      addresses: (dataCentre) => this.addresses(dataCentre),
      ready: () => this.#follower.fresh(),
    });
    this.#callers = new CallerServer({
      limits: settings.limits,
      own: options.protocol
        ? undefined
        : (request, response) => void own.serve(request, response),
      call: (request, response) => this.#calls.serve(request, response),
    });
    this.#admin = new AdminServer({
      metrics: this.#metrics,
      notReady: () => this.#notReady(),
      status: () => this.#status(),
    });
  }

  /** Listens and starts to ask control for the configuration. */
  async start(): Promise<Result<void, ListenFault>> {
    const { settings, logger } = this.#options;
    for (const listening of [
      await this.#network.listen(settings.peer),
      await this.#admin.listen(settings.metrics),
      await this.#callers.listen(settings.http),
    ]) {
      if (listening.isErr()) {
        this.close();
        return err(listening.error);
      }
    }
    this.#connect();
    this.#every(CONFIRM_EVERY_MS, () => this.#follower.confirm());
    this.#every(FOLLOW_UP_EVERY_MS, () => this.#follower.followUp());
    this.#calls.start();
    this.#every(TICK_INTERVAL_MS, () => this.#registrations.tick());
    this.#every(LOAD_EVERY_MS, () => this.#report());
    logger.info("entry started", {
      id: settings.id,
      http: settings.http,
      peer: settings.peer,
      metrics: settings.metrics,
    });
    return ok(undefined);
  }

  /**
   * Stops gracefully: tells callers and peers, goes on serving until answers
   * that name this entry have run out, then ends when no call is under way.
   */
  async stop(): Promise<void> {
    if (this.#state === "stopping") return;
    this.#state = "stopping";
    const { logger, clock } = this.#options;
    const { stopWithinMs } = this.#options.settings;
    logger.info("entry stops", {
      serveForMs: SERVE_AFTER_STOPPING_MS,
      stopWithinMs,
    });
    this.#report();
    this.#follower.confirm();
    await endCalls({
      withinMs: stopWithinMs,
      self: this.#record(),
      configuration: () => this.#follower.configuration,
      callers: this.#callers,
      running: () => this.#calls.running,
      clock,
      logger,
    });
    this.close();
    logger.info("entry stopped");
  }

  /** Takes other addresses of control hosts from changed settings. */
  setControl(addresses: readonly Address[]): void {
    this.#seeds = addresses;
    this.#connect();
  }

  /** Whether new work is taken. */
  get ready(): boolean {
    return this.#notReady().length === 0;
  }

  /** The configuration version in force here. */
  get version(): number {
    return this.#follower.version;
  }

  /** Backend servers of a service that are known here. */
  serverCount(service: string): number {
    return this.#servers.of(service).length;
  }

  /** Ends at once; calls under way are cut. */
  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#callers.destroy();
    this.#admin.close();
    this.#calls.close();
    this.#network.close();
  }

  #every(ms: number, run: () => void): void {
    this.#timers.push(setInterval(run, ms));
  }

  #peerUp(peer: Hello): void {
    this.#options.logger.info("peer connected", {
      peer: peer.id,
      role: peer.role,
    });
    this.#registrations.peerUp(peer.id);
    if (peer.role === "control") {
      this.#follower.confirm();
      return;
    }
    this.#calls.entryUp(peer.id);
  }

  #peerDown(peer: Hello): void {
    this.#options.logger.info("peer lost", {
      peer: peer.id,
      role: peer.role,
    });
    this.#registrations.peerDown(peer.id);
    if (peer.role === "control") {
      this.#follower.controlDown(peer.id);
      return;
    }
    this.#calls.entryDown(peer.id);
  }

  #connect(): void {
    const { id } = this.#options.settings;
    const { configuration } = this.#follower;
    const about = { seeds: this.#seeds, configuration };
    this.#network.connect(peersOf(id, about));
  }

  #connectedControls(): HostId[] {
    return this.#network
      .connected()
      .filter(({ role }) => role === "control")
      .map(({ id }) => id);
  }

  #record(): Entry {
    const { settings } = this.#options;
    return {
      id: settings.id,
      incarnation: this.#incarnation,
      dataCentre: settings.dataCentre,
      http: settings.http,
      peer: settings.peer,
      state: this.#state,
    };
  }

  #configure(configuration: Configuration): void {
    const now = this.#options.clock.now();
    const { document, view } = configuration;
    const before = this.#applied;
    this.#applied = configuration;
    if (document.requestLimits) {
      const { idleConnectionMs } = document.requestLimits;
      this.#callers.setIdleConnectionMs(idleConnectionMs);
    }
    this.#calls.configure(configuration);
    const names = document.services.map(({ name }) => name);
    this.#registrations.carryOut(
      this.#registrations.presence.configure(
        {
          services: names,
          view,
          registrars: configuration.controls.map(({ id }) => id),
        },
        now,
      ),
    );
    if (this.#usable.configure(configuration)) {
      for (const name of names) {
        this.#serversChanged(name, this.#servers.of(name));
      }
    }
    if (before.view !== view || before.controls !== configuration.controls) {
      this.#connect();
    }
  }

  #serversChanged(service: string, servers: readonly BackendServer[]): void {
    this.#calls.setServers(service, this.#usable.of(servers));
  }

  /** The entries that a caller in this data centre should use. */
  addresses(dataCentre: string | undefined): AddressesResponse {
    const { presence } = this.#registrations;
    const { view, document } = this.#follower.configuration;
    return this.#lookup.selectAddresses(
      dataCentre === undefined ? {} : { dataCentre },
      {
        view,
        loads: presence.entryLoads(this.#options.clock.now()),
        regions: document.regions,
      },
    );
  }

  #report(): void {
    const now = this.#options.clock.now();
    const stopping = this.#state === "stopping";
    const load = this.#load.percent();
    const { presence } = this.#registrations;
    this.#registrations.carryOut(presence.reportLoad({ load, stopping }, now));
  }

  /** Whether a document is in force and recently confirmed. */
  #mayServe(): boolean {
    return this.#follower.fresh() && this.#applied.document.revision > 0;
  }

  #notReady(): string[] {
    const reasons: string[] = [];
    if (!this.#mayServe()) reasons.push("configuration not confirmed");
    if (!this.#registrations.presence.ready) reasons.push("joining");
    if (this.#state === "stopping") reasons.push("stopping");
    return reasons;
  }

  #status() {
    const { configuration } = this.#follower;
    return {
      version: configuration.version,
      revision: configuration.document.revision,
      epoch: configuration.view.epoch,
      entries: configuration.view.entries.length,
      confirmed_ms_ago: Math.round(this.#follower.confirmationAge()),
      calls: this.#calls.running,
      claims_held: this.#calls.claimsHeld,
      servers: this.#servers.counts(),
    };
  }
}
