import { err, ok, type Result } from "neverthrow";
import { EMPTY_CONFIGURATION } from "#configuration";
import {
  type Address,
  type BackendServer,
  BUILD,
  backendServerKey,
  type Clock,
  type Configuration,
  type DataCentre,
  type Entry,
  type EntryState,
  type Randomness,
} from "#model";
import {
  type AddressesResponse,
  type Identity,
  Presence,
  presenceConfiguration,
  SERVE_AFTER_STOPPING_MS,
  TICK_INTERVAL_MS,
} from "#presence";
import { checkIdentity, Registrations } from "#registration";
import type { EntrySettings } from "#settings";
import {
  closedClients,
  endpointFailures,
  type Logger,
  Metrics,
  OwnTasks,
} from "#telemetry";
import { KeyAccess } from "#tenants";
import {
  ClientGuard,
  callAfterInput,
  createLoggedNetwork,
  type Hello,
  type ListenFault,
  PROTOCOL_VERSIONS,
  type TcpNetwork,
} from "#wire";
import { AddressDirectory } from "./address_directory.ts";
import { AdminServer } from "./admin_server.ts";
import { drainCalls } from "./call_drain.ts";
import { CallPipeline } from "./call_pipeline.ts";
import { type CallProtocol, PublishedProtocol } from "./call_protocol.ts";
import { CallerServer } from "./caller_server.ts";
import {
  ConfigurationFollower,
  HEARTBEAT_INTERVAL_MS,
} from "./configuration_follower.ts";
import { EntryApi } from "./entry_api.ts";
import { EntryLinks } from "./entry_links.ts";
import { ENTRY_DECODERS, type EntryMessages } from "./entry_network.ts";
import { hashKey } from "./key_hash.ts";
import { KnownServers } from "./known_servers.ts";
import { Readiness } from "./readiness.ts";
import { UsableServers } from "./usable_servers.ts";

/**
 * Age of control's confirmation up to which control still has this entry in the view,
 * so that no other entry dispatches its services: less than the lease of 6 s.
 */
const MAX_DISPATCH_CONFIRMATION_MS = 4_000;

/** How often changes of what the entry serves are looked for. */
const READINESS_INTERVAL_MS = 250;
/** How often the entry's load is measured and reported to the other entries. */
const LOAD_REPORT_INTERVAL_MS = 1_000;

export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: Logger;
  /** HTTP conventions of callers and servers; mangobank's own by default. */
  readonly protocol?: CallProtocol;
  /**
   * Header of a health check's answer that names the answering server. Set where
   * servers announce themselves at control hosts, and other programs may do so
   * under their ids.
   */
  readonly serverIdentityHeader?: string;
}

/**
 * Bytes of a head that are accepted at least, whatever the configuration says: with a
 * limit of a few bytes, which it may hold, no request could be sent.
 */
const MIN_HEADER_BYTES = 8_192;

/**
 * A process of the entry role. It forwards calls to backend servers, replicates
 * the servers' registrations, and holds claims on idempotency keys.
 */
export class EntryProcess {
  readonly #options: EntryOptions;
  readonly #incarnation: number;
  readonly #network: TcpNetwork<EntryMessages>;
  readonly #registrations: Registrations;
  readonly #knownServers: KnownServers;
  readonly #directory: AddressDirectory;
  readonly #callPipeline: CallPipeline;
  readonly #follower: ConfigurationFollower;
  readonly #links: EntryLinks;
  readonly #usableServers = new UsableServers();
  readonly #readiness: Readiness;
  readonly #metrics: Metrics;
  readonly #callerServer: CallerServer;
  /** Shared with the servers of other ports; undefined if clients are unbounded. */
  readonly clientGuard: ClientGuard | undefined;
  readonly #adminServer: AdminServer;
  readonly #tasks: OwnTasks;
  readonly #keyAccess: KeyAccess;
  readonly #timers: NodeJS.Timeout[] = [];
  #state: EntryState = "ready";
  #isClosed = false;
  #appliedConfiguration: Configuration = EMPTY_CONFIGURATION;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#tasks = new OwnTasks(options);
    const { settings, clock, randomness, logger } = options;
    this.#incarnation = Math.floor(clock.wallTime());
    const protocol = options.protocol ?? new PublishedProtocol();
    this.#keyAccess = new KeyAccess({
      revokeMs: settings.revokeWithinMs,
      hashKey,
    });
    const network = createLoggedNetwork<EntryMessages>({
      decoders: ENTRY_DECODERS,
      settings,
      role: "entry",
      incarnation: this.#incarnation,
      clock,
      randomness,
      logger,
      onFailure: (task, error) => this.#tasks.fail(task, error),
      onConnect: (peer) => this.#peerUp(peer),
      onDisconnect: (peer) => this.#peerDown(peer),
    });
    this.#network = network;
    this.#metrics = new Metrics({
      configurationVersion: () => this.#follower.version,
      callsInFlight: () => this.#callPipeline.inFlight(),
      queueLength: () => this.#callPipeline.queueLengths(),
      coldServers: () => this.#callPipeline.coldServers(),
      backingOffServers: () => this.#callPipeline.backingOffServers(),
      rateLimitedServers: () => this.#callPipeline.rateLimitedServers(),
      probeBudget: () =>
        this.#knownServers.probeBudgets(
          this.#appliedConfiguration.document.services,
        ),
      cutOffServices: () => this.#callPipeline.cutOffServices,
      evacuatedDataCentres: () =>
        this.#appliedConfiguration.document.evacuated?.length ?? 0,
      peerTraffic: () => network.traffic,
      heldResources: () => this.#callPipeline.heldResources(),
    });
    this.#registrations = new Registrations({
      logger,
      presence: new Presence({
        id: settings.id,
        incarnation: this.#incarnation,
        dataCentre: settings.dataCentre,
        randomness,
        untrusted: options.serverIdentityHeader ? clock : undefined,
      }),
      clock,
      network,
      verify: options.serverIdentityHeader
        ? (server) => this.#checkIdentity(server)
        : undefined,
      onServersChanged: (service, servers) =>
        this.#updateServers(service, servers),
      onServerGone: (server, reason) => {
        logger.info("backend server gone", {
          server: backendServerKey(server),
          incarnation: server.incarnation,
          reason,
        });
        this.#callPipeline.serverGone(server, reason);
      },
    });
    this.#knownServers = new KnownServers({
      presence: this.#registrations.presence,
      clock,
      network,
      isEvacuated: (server) => this.#usableServers.isEvacuated(server),
    });
    this.#directory = new AddressDirectory({
      registrations: this.#registrations,
      clock,
      randomness,
      keepMs: settings.addressKeepMs,
      configuration: () => this.#follower.configuration,
      cutOffEntries: () => this.#callPipeline.cutOffEntries(),
    });
    this.#follower = new ConfigurationFollower({
      network,
      clock,
      logger,
      self: () => this.#ownRecord(),
      connectedControls: () => this.#links.connectedControls(),
      stopReports: () =>
        this.#usableServers.stopReports((matches) =>
          this.#callPipeline.inFlightAt(matches),
        ),
      linkSilenceMs: (id) => network.silenceMs(id),
      renewLink: (id) => network.renewLink(id),
      schedule: (run, ms) => {
        callAfterInput(() => {
          if (!this.#isClosed) this.#tasks.run("configuration", run);
        }, ms);
      },
      onChange: (configuration) => this.#applyConfiguration(configuration),
      onConfirmed: (askedAt) => this.#keyAccess.confirm(askedAt),
      onReceived: (way, ageMs) => this.#metrics.recordConfiguration(way, ageMs),
      confirmedForMs: settings.confirmedForMs,
    });
    this.#readiness = new Readiness({
      clock,
      logger,
      keyAccess: this.#keyAccess,
      isConfirmed: () => this.#follower.isFresh(),
      confirmationAgeMs: () => this.#follower.confirmationAge(),
      hasDocument: () => this.#appliedConfiguration.document.revision > 0,
      knowsServers: () => this.#registrations.presence.ready,
      isStopping: () => this.#state === "stopping",
      linkedControls: () => this.#links.connectedControls().length,
    });
    this.#callPipeline = new CallPipeline({
      ...options,
      protocol,
      incarnation: this.#incarnation,
      network,
      keyAccess: this.#keyAccess,
      metrics: this.#metrics,
      serversToAvoid: (service, criteria) =>
        this.#knownServers.serversToAvoid(service, criteria),
      ready: () => this.#readiness.mayServe(),
      bodyLimits: () => ({
        maxBytes:
          this.#appliedConfiguration.document.requestLimits?.bodyMaxBytes ??
          settings.limits.bodyMaxBytes,
        timeoutMs: settings.limits.bodyTimeoutMs,
      }),
      configuration: () => ({
        version: this.#follower.version,
        confirmedMsAgo: Math.round(this.#follower.confirmationAge()),
      }),
      isConfirmed: () =>
        this.#follower.controlConfirmationAge() <= MAX_DISPATCH_CONFIRMATION_MS,
      onServerLeaving: (server) => this.#registrations.observeLeaving(server),
      onPeersChanged: () => this.#links.connect(),
      onPeerVersion: (peer, version) =>
        this.#follower.compareVersion(peer, version),
    });
    this.#links = new EntryLinks({
      self: settings.id,
      seeds: settings.control,
      network,
      clock,
      configuration: () => this.#follower.configuration,
      confirmationAge: () => this.#follower.confirmationAge(),
      peersOnDemand: () => this.#callPipeline.peersOnDemand,
    });
    const own = new EntryApi({
      clock,
      registrations: this.#registrations,
      service: (name) => this.#callPipeline.service(name),
      addresses: (dataCentre) => this.addresses(dataCentre),
      ready: () => this.#follower.isFresh(),
    });
    this.clientGuard =
      settings.clients &&
      new ClientGuard({
        bounds: settings.clients,
        clock,
        onClosed: closedClients(logger, clock),
      });
    this.#callerServer = new CallerServer({
      guard: this.clientGuard,
      onFailure: endpointFailures("callers", logger),
      limits: settings.limits,
      headerBytesMax: () =>
        Math.max(
          MIN_HEADER_BYTES,
          this.#appliedConfiguration.document.requestLimits?.headerMaxBytes ??
            settings.limits.headerMaxBytes,
        ),
      handleApi: options.protocol
        ? undefined
        : (request, response) => own.serve(request, response),
      handleCall: (request, response) =>
        this.#callPipeline.serve(request, response),
      handleHandedOver: (request, response) =>
        this.#callPipeline.serveHandedOver(request, response),
      onDropped: (request) => {
        this.#metrics.recordDroppedRequest();
        logger.info("request not taken on", {
          requestId: protocol.callerRequestId(request.headers),
        });
      },
    });
    this.#adminServer = new AdminServer({
      metrics: this.#metrics,
      notReadyReasons: () => this.#readiness.missing(),
      status: () => this.#status(),
      onFailure: endpointFailures("metrics", logger),
    });
  }

  /** Opens the ports and starts to follow the configuration of control. */
  async start(): Promise<Result<void, ListenFault>> {
    const { settings, logger } = this.#options;
    for (const listening of [
      await this.#network.listen(settings.peer),
      await this.#adminServer.listen(settings.metrics),
      await this.#callerServer.listen(settings.http),
      ...(settings.handover
        ? [await this.#callerServer.listenForHandedOver(settings.handover)]
        : []),
    ]) {
      if (listening.isErr()) {
        this.close();
        return err(listening.error);
      }
    }
    this.#links.connect();
    this.#runEvery(HEARTBEAT_INTERVAL_MS, "heartbeat", () => {
      this.#follower.tick();
      this.#links.update();
    });
    this.#callPipeline.start();
    this.#runEvery(TICK_INTERVAL_MS, "presence", () =>
      this.#registrations.tick(),
    );
    this.#runEvery(LOAD_REPORT_INTERVAL_MS, "load_report", () =>
      this.#reportLoad(),
    );
    this.#runEvery(READINESS_INTERVAL_MS, "readiness", () =>
      this.#readiness.logChange(),
    );
    logger.info("entry started", {
      id: settings.id,
      build: BUILD,
      protocolVersions: PROTOCOL_VERSIONS,
      http: settings.http,
      peer: settings.peer,
      metrics: settings.metrics,
    });
    return ok(undefined);
  }

  /**
   * Stops gracefully: announces the stop to the other processes, keeps serving
   * callers that still use this entry, and closes after the calls in progress.
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
    this.#reportLoad();
    this.#follower.sendHeartbeat();
    await drainCalls({
      timeoutMs: stopWithinMs,
      self: this.#ownRecord(),
      configuration: () => this.#follower.configuration,
      callers: this.#callerServer,
      onSchedule: (schedule) => this.#callPipeline.beginStop(schedule),
      progress: () => this.#callPipeline.progress(),
      clock,
      logger,
    });
    this.close();
    logger.info("entry stopped");
  }

  /** Replaces the addresses of control hosts after a change of settings. */
  setControlAddresses(addresses: readonly Address[]): void {
    this.#links.setSeeds(addresses);
  }

  /** Whether this entry should get new calls. */
  get ready(): boolean {
    return this.#readiness.missing().length === 0;
  }

  /** The configuration version in force at this entry. */
  get version(): number {
    return this.#follower.version;
  }

  /** Number of registered backend servers of a service. */
  serverCount(service: string): number {
    return this.#knownServers.forService(service).length;
  }

  /** Stops at once and aborts the calls in progress. */
  close(): void {
    this.#isClosed = true;
    for (const timer of this.#timers) clearInterval(timer);
    this.#callerServer.destroy();
    this.#adminServer.close();
    this.#callPipeline.close();
    this.#network.close();
  }

  #runEvery(ms: number, name: string, run: () => void): void {
    const task = () => this.#tasks.run(name, run);
    this.#timers.push(setInterval(task, ms));
  }

  #peerUp(peer: Hello): void {
    this.#options.logger.info("peer connected", {
      peer: peer.id,
      peerRole: peer.role,
      build: peer.build,
    });
    this.#registrations.peerUp(peer.id);
    if (peer.role === "control") {
      this.#follower.controlUp(peer.id);
      return;
    }
    this.#callPipeline.peerUp(peer.id);
  }

  #peerDown(peer: Hello): void {
    this.#options.logger.info("peer lost", {
      peer: peer.id,
      peerRole: peer.role,
    });
    this.#registrations.peerDown(peer.id);
    if (peer.role === "control") {
      this.#follower.controlDown(peer.id);
      return;
    }
    this.#callPipeline.peerDown(peer.id);
  }

  #ownRecord(): Entry {
    const { settings } = this.#options;
    return {
      id: settings.id,
      incarnation: this.#incarnation,
      dataCentre: settings.dataCentre,
      http: settings.http,
      peer: settings.peer,
      ...(settings.handover && { handover: settings.handover }),
      ...(settings.processorShare && {
        processorShare: settings.processorShare,
      }),
      state: this.#state,
    };
  }

  #applyConfiguration(configuration: Configuration): void {
    const now = this.#options.clock.now();
    const { document, view } = configuration;
    const previous = this.#appliedConfiguration;
    this.#appliedConfiguration = configuration;
    if (document.requestLimits) {
      const { idleConnectionMs } = document.requestLimits;
      this.#callerServer.setIdleConnectionMs(idleConnectionMs);
    }
    this.#callPipeline.configure(configuration);
    const names = document.services.map(({ name }) => name);
    this.#registrations.execute(
      this.#registrations.presence.configure(
        presenceConfiguration(configuration),
        now,
      ),
    );
    if (document.evacuated !== previous.document.evacuated) {
      this.#logEvacuations(document.evacuated, previous.document.evacuated);
    }
    if (this.#usableServers.configure(configuration)) {
      for (const name of names) {
        this.#updateServers(name, this.#knownServers.forService(name));
      }
    }
    if (
      previous.view !== view ||
      previous.controls !== configuration.controls ||
      previous.document.services !== document.services
    ) {
      this.#links.connect();
    }
  }

  #logEvacuations(
    now: readonly DataCentre[] = [],
    before: readonly DataCentre[] = [],
  ): void {
    const begun = now.filter((dataCentre) => !before.includes(dataCentre));
    const ended = before.filter((dataCentre) => !now.includes(dataCentre));
    if (begun.length + ended.length === 0) return;
    this.#options.logger.info("evacuations in force", {
      evacuated: now,
      begun,
      ended,
      version: this.#appliedConfiguration.version,
    });
  }

  #checkIdentity(server: BackendServer): Promise<Identity> {
    // A check is a request; without one the newer address counts.
    if (this.#usableServers.isEvacuated(server)) {
      return Promise.resolve("unknown");
    }
    const { protocol, serverIdentityHeader: header = "" } = this.#options;
    const { services } = this.#appliedConfiguration.document;
    const service = services.find(({ name }) => name === server.service);
    const path = protocol?.healthCheckPath(service) ?? "/";
    this.#metrics.recordServerRequest(server.service, "identity_check");
    return checkIdentity(server, { path, header });
  }

  #updateServers(service: string, servers: readonly BackendServer[]): void {
    this.#callPipeline.setServers(service, this.#usableServers.filter(servers));
  }

  /** The entries that a caller in this data centre should use. */
  addresses(dataCentre: string | undefined): AddressesResponse {
    return this.#directory.addresses(dataCentre);
  }

  #reportLoad(): void {
    this.#directory.reportLoad({
      stopping: this.#state === "stopping",
      isFull: this.#readiness.keyLeaseEnds(),
    });
  }

  #status() {
    const { configuration } = this.#follower;
    return {
      version: configuration.version,
      revision: configuration.document.revision,
      epoch: configuration.view.epoch,
      entries: configuration.view.entries.length,
      confirmed_ms_ago: Math.round(this.#follower.confirmationAge()),
      calls: this.#callPipeline.activeCalls,
      claims_held: this.#callPipeline.claimsHeld,
      servers: this.#knownServers.counts(),
    };
  }
}
