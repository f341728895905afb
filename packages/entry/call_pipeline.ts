import type { IncomingMessage } from "node:http";
import type { ClaimMessages } from "#claims";
import {
  type BackendServer,
  backendServerKey,
  type Clock,
  type Configuration,
  callFault,
  EMPTY_VIEW,
  type HostId,
  type Randomness,
  type Service,
} from "#model";
import { selectRelays } from "#presence";
import { TenantQuotas } from "#quota_service";
import type { QuotaMessages } from "#quotas";
import { HostRoutes, Router } from "#routing";
import type { EntrySettings } from "#settings";
import { type Logger, type Metrics, OwnTasks } from "#telemetry";
import type { Peer, TcpNetwork, TrackedResponse } from "#wire";
import { ActivityTimer } from "./activity_timer.ts";
import { Assignments } from "./assignments.ts";
import { BackendClient } from "./backend_client.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type { CallProgress } from "./call_execution.ts";
import type { CallProtocol } from "./call_protocol.ts";
import type { EntryMessages } from "./entry_network.ts";
import { HandoverClient } from "./handover_client.ts";
import { parseHandoverOrigin, reservedHeader } from "./handover_protocol.ts";
import { HeldResources } from "./held_resources.ts";
import { KeyClaims } from "./key_claims.ts";
import { OnDemandLinks } from "./on_demand_links.ts";
import { PathMonitor } from "./path_monitor.ts";
import { Prober } from "./prober.ts";
import {
  QUARANTINE_TICK_MS,
  QuarantineCoordinator,
} from "./quarantine_coordinator.ts";
import { replyFault } from "./reply.ts";
import { RequestClassifier } from "./request_classifier.ts";
import { ReverseProxy } from "./reverse_proxy.ts";
import { unsendablePart } from "./sendable.ts";
import { ServicePolicies } from "./service_policies.ts";
import type { StopSchedule } from "./stop_schedule.ts";

export interface CallPipelineOptions
  extends Pick<
    CallEnvironment,
    "ready" | "bodyLimits" | "configuration" | "onServerLeaving" | "keyAccess"
  > {
  readonly settings: EntrySettings;
  readonly incarnation: number;
  readonly network: TcpNetwork<EntryMessages>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly protocol: CallProtocol;
  /** See `RouterOptions`. */
  readonly isConfirmed: () => boolean;
  /** Called when `peersOnDemand` has changed. */
  readonly onPeersChanged: () => void;
  /** Called with the version that another entry had when it passed a call on. */
  readonly onPeerVersion: (peer: HostId, version: number) => void;
  /** Ids of the servers to which a suspected request should not be sent. */
  readonly serversToAvoid: (
    service: string,
    options: {
      dataCentres: readonly string[];
      inFlightAt: (matches: (server: BackendServer) => boolean) => number;
    },
  ) => readonly string[];
}

/** How often claims that wait for their holders are checked. */
const CLAIM_TICK_MS = 5;

/** Wires up the components that take a request from a caller to a server. */
export class CallPipeline {
  readonly #options: CallPipelineOptions;
  readonly #router: Router;
  readonly #assignments: Assignments;
  readonly #claims: KeyClaims;
  readonly #client: BackendClient;
  readonly #quarantine: QuarantineCoordinator;
  readonly #policies: ServicePolicies;
  readonly #proxy: ReverseProxy;
  readonly #tickTimer: ActivityTimer;
  readonly #hostRoutes: HostRoutes;
  readonly #linksOnDemand: OnDemandLinks<ClaimMessages & QuotaMessages>;
  readonly #quotas: TenantQuotas;
  readonly #paths: PathMonitor;
  readonly #handovers: HandoverClient;
  readonly #resources: HeldResources;
  #classifier: RequestClassifier;
  #configuration: Configuration | undefined;
  #stopSchedule: StopSchedule | undefined;
  #quarantineTimer: NodeJS.Timeout | undefined;

  constructor(options: CallPipelineOptions) {
    this.#options = options;
    const { settings, incarnation, network, clock, randomness } = options;
    const { logger, metrics, protocol } = options;
    this.#resources = new HeldResources({ clock, logger });
    this.#hostRoutes = new HostRoutes(randomness);
    this.#classifier = new RequestClassifier([], this.#hostRoutes);
    this.#client = new BackendClient(protocol, {
      limits: { bodyMaxBytes: settings.limits.responseBodyMaxBytes },
      connectionsMax: settings.serverConnectionsMax,
      clock,
      onBoundExceeded: ({ server, ...excess }) => {
        metrics.recordExceededBound(server.service, excess.bound);
        logger.warn("response of a backend server exceeded a bound", {
          server: backendServerKey(server),
          incarnation: server.incarnation,
          ...excess,
        });
      },
      onMalformedHeader: (server, { name, text }) => {
        metrics.recordMalformedHeader(server.service);
        logger.warn("header of a backend server cannot be read", {
          server: backendServerKey(server),
          name,
          text,
        });
      },
    });
    this.#tickTimer = new ActivityTimer({
      clock,
      logger,
      task: () => {
        this.#assignments.tick();
        this.#claims.tick();
      },
      busyIntervalMs: () =>
        this.#claims.pending > 0
          ? CLAIM_TICK_MS
          : this.#router.tickIntervalMs(),
    });
    this.#router = new Router({
      self: settings.id,
      dataCentre: settings.dataCentre,
      random: randomness,
      serversReportSpeed: protocol.serversReportSpeed,
      isConfirmed: options.isConfirmed,
    });
    this.#paths = new PathMonitor({
      clock,
      randomness,
      logger,
      metrics,
      network,
      onCutOff: (service) => this.#proxy.cutOff(service),
      onSilent: (service) => this.#proxy.giveUpRunning(service),
      onChanged: (services) => this.#handovers.setCutOff(settings.id, services),
    });
    this.#handovers = new HandoverClient({
      self: settings.id,
      cluster: settings.cluster,
      dataCentre: settings.dataCentre,
      clock,
      randomness,
      network,
      metrics,
      client: this.#client,
      resources: this.#resources,
      protocol,
      version: () => options.configuration().version,
    });
    const prober = new Prober({
      clock,
      metrics,
      client: this.#client,
      protocol,
      service: (name) => this.service(name),
      onServerLeaving: options.onServerLeaving,
      onHeard: (server) => this.#paths.heard(server),
      judge: (server) => this.#paths.judge(server),
    });
    this.#assignments = new Assignments({
      router: this.#router,
      clock,
      logger,
      network,
      // Probes would only find out again that no server is reached.
      probe: (server) =>
        this.#paths.isCutOff(server.service)
          ? Promise.resolve({ kind: "unreachable" })
          : prober.probe(server),
      check: (server) => prober.check(server),
      onPeerMessage: () => this.#tickTimer.markActive(),
    });
    const self = settings.id;
    this.#quarantine = new QuarantineCoordinator({
      self,
      clock,
      logger,
      network,
      isCutOff: (server) => this.#paths.confirmCut(server),
    });
    this.#policies = new ServicePolicies({
      clock,
      resendLimit: settings.resendLimit,
      entries: () => this.#configuration?.view.entries.length ?? 1,
    });
    this.#linksOnDemand = new OnDemandLinks({
      network,
      clock,
      onPeersChanged: options.onPeersChanged,
    });
    this.#claims = new KeyClaims({
      self,
      incarnation,
      clock,
      randomness,
      network: this.#linksOnDemand,
    });
    this.#quotas = new TenantQuotas({
      self,
      incarnation,
      clock,
      randomness,
      logger,
      metrics: metrics.quotas,
      network: this.#linksOnDemand,
      bounds: settings.quotaBounds,
      confirmationAgeMs: () =>
        options.keyAccess.leaseAgeMs({
          steady: clock.now(),
          wall: clock.wallTime(),
        }),
    });
    this.#proxy = new ReverseProxy({
      ...options,
      entry: self,
      assignments: this.#assignments,
      client: this.#client,
      resources: this.#resources,
      claims: this.#claims,
      quotas: this.#quotas,
      quarantine: this.#quarantine,
      policies: this.#policies,
      paths: this.#paths,
      handovers: this.#handovers,
      handedOverCalls: () => this.#proxy.handedOverCalls,
      serversToAvoid: (service, dataCentres) => {
        const inFlightAt = this.inFlightAt.bind(this);
        return options.serversToAvoid(service, { dataCentres, inFlightAt });
      },
      classifier: () => this.#classifier,
      stopSchedule: () => this.#stopSchedule,
    });
  }

  /** Takes on only calls that can end before the entry does. */
  beginStop(schedule: StopSchedule): void {
    this.#stopSchedule = schedule;
    this.#proxy.beginStop(schedule);
  }

  start(): void {
    this.#tickTimer.start();
    const tasks = new OwnTasks(this.#options);
    const tick = () => {
      tasks.run("quarantine", () => this.#quarantine.tick());
      tasks.run("claims", () => this.#linksOnDemand.tick());
      tasks.run("held_resources", () => this.#resources.logOverdue());
    };
    this.#quarantineTimer = setInterval(tick, QUARANTINE_TICK_MS);
  }

  serve(request: IncomingMessage, response: TrackedResponse): void {
    const { logger, protocol } = this.#options;
    const header = reservedHeader(request.headers);
    if (header !== undefined) {
      const requestId = protocol.callerRequestId(request.headers) ?? "";
      logger.warn("caller sent a reserved header", { requestId, header });
      const detail = `the header ${header} is reserved`;
      this.#refuse(response, { requestId, detail });
      return;
    }
    const unsendable = unsendablePart(request);
    if (unsendable !== undefined) {
      const requestId = protocol.callerRequestId(request.headers) ?? "";
      logger.info("request cannot be sent on", {
        requestId,
        detail: unsendable,
      });
      this.#refuse(response, { requestId, detail: unsendable });
      return;
    }
    this.#tickTimer.markActive();
    this.#proxy.serve(request, response);
  }

  /** Serves a call that another entry has passed on. */
  serveHandedOver(request: IncomingMessage, response: TrackedResponse): void {
    const { settings, logger } = this.#options;
    const origin = parseHandoverOrigin(request.headers, settings.cluster);
    if (origin.isErr()) {
      const { detail } = origin.error;
      const from = request.socket.remoteAddress;
      logger.warn("handed-over call is malformed", { from, detail });
      this.#refuse(response, { requestId: "", detail });
      return;
    }
    const { entry, version } = origin.value;
    this.#options.onPeerVersion(entry, version);
    this.#tickTimer.markActive();
    this.#proxy.serve(request, response, origin.value);
  }

  #refuse(
    response: TrackedResponse,
    { requestId, detail }: { requestId: string; detail: string },
  ): void {
    const { protocol } = this.#options;
    const fault = callFault("invalid_request", { detail });
    replyFault(response, fault, protocol.errorResponse(fault, requestId));
  }

  /** Applies the configuration in force. */
  configure(configuration: Configuration): void {
    const previous = this.#configuration?.document;
    this.#configuration = configuration;
    const { document, view } = configuration;
    const { services } = document;
    // First, as confirmations of this version extend the right to act on its keys.
    this.#options.keyAccess.configure(document.tenants);
    // Configuration changes keep the identity of lists that did not change.
    if (previous?.hostRoutes !== document.hostRoutes) {
      this.#hostRoutes.configure(document.hostRoutes);
    }
    if (previous?.services !== services) {
      this.#classifier = new RequestClassifier(services, this.#hostRoutes);
      this.#options.metrics.configure(services);
      this.#policies.configure(services);
    }
    this.#claims.configure(configuration);
    const linksAreSparse = selectRelays(view) !== undefined;
    this.#handovers.configure(view);
    this.#linksOnDemand.setView(linksAreSparse ? view : EMPTY_VIEW);
    this.#quotas.configure(configuration);
    this.#quarantine.setForwarding(linksAreSparse);
    const now = this.#options.clock.now();
    this.#assignments.execute(this.#router.configure(services, view, now));
  }

  /** Sets the servers of a service that may get new calls. */
  setServers(service: string, servers: readonly BackendServer[]): void {
    const now = this.#options.clock.now();
    this.#paths.setServers(service, servers);
    this.#assignments.execute(this.#router.setServers(service, servers, now));
  }

  /** To be called when an incarnation of a server is gone. */
  serverGone(server: BackendServer, reason: string): void {
    this.#client.retire(server);
    if (reason === "restarted") this.#quarantine.serverLost(server);
  }

  /** The entries to which claims and quotas need a link at present. */
  get peersOnDemand(): Peer[] {
    return this.#linksOnDemand.peers;
  }

  peerUp(id: HostId): void {
    this.#quarantine.peerUp(id);
    this.#paths.peerUp(id);
    this.#linksOnDemand.peerUp(id);
  }

  peerDown(id: HostId): void {
    this.#quarantine.peerDown(id);
    this.#paths.peerDown(id);
    this.#handovers.peerDown(id);
    const now = this.#options.clock.now();
    this.#assignments.execute(this.#router.peerDown(id, now));
  }

  service(name: string): Service | undefined {
    return this.#classifier.service(name);
  }

  /** Number of calls in progress. */
  get activeCalls(): number {
    return this.#proxy.activeCalls;
  }

  /** How much of each kind the calls in progress hold. */
  heldResources(): [kind: string, count: number][] {
    return [
      ...this.#resources.counts(),
      ["client_request", this.#client.requestsInProgress],
    ];
  }

  /** What is known of each call in progress. */
  progress(): CallProgress[] {
    return this.#proxy.progress();
  }

  /** Number of claims on idempotency keys that this entry holds. */
  get claimsHeld(): number {
    return this.#claims.held;
  }

  /** Number of calls in flight by service. */
  inFlight(): Map<string, number> {
    return this.#proxy.inFlight();
  }

  /** Number of calls in flight at the servers that match. */
  inFlightAt(matches: (server: BackendServer) => boolean): number {
    return this.#proxy.inFlightAt(matches);
  }

  /** Number of waiting calls by service. */
  queueLengths(): [service: string, calls: number][] {
    return this.#router.queueLengths();
  }

  /** Number of servers that want no requests of this entry, by service. */
  backingOffServers(): [service: string, servers: number][] {
    return this.#router.backingOffServers();
  }

  /** Number of servers that limit their request rate, by service. */
  rateLimitedServers(): [service: string, servers: number][] {
    return this.#router.rateLimitedServers();
  }

  /** Number of cold servers, by service. */
  coldServers(): [service: string, servers: number][] {
    return this.#router.coldServers();
  }

  /** Entries that have reached no server of some service for a while. */
  cutOffEntries(): ReadonlySet<HostId> {
    return this.#handovers.lastingCuts();
  }

  /** Number of services of which this entry reaches no server. */
  get cutOffServices(): number {
    return this.#paths.cutOffCount;
  }

  /** Stops at once and aborts the calls in progress. */
  close(): void {
    this.#paths.close();
    this.#quotas.close();
    clearInterval(this.#quarantineTimer);
    this.#tickTimer.stop();
    this.#client.close();
  }
}
