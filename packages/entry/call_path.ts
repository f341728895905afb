import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  BackendServer,
  Clock,
  Configuration,
  HostId,
  Randomness,
  Service,
} from "#model";
import { HostRoutes, Router } from "#routing";
import type { EntrySettings } from "#settings";
import type { Logger, Metrics } from "#telemetry";
import type { TcpNetwork } from "#wire";
import { ActivityTimer } from "./activity_timer.ts";
import { Assignments } from "./assignments.ts";
import { BackendClient } from "./backend_client.ts";
import { CallEngine, type CallEngineOptions } from "./call_engine.ts";
import type { CallProtocol } from "./call_protocol.ts";
import type { EntryMessages } from "./entry_network.ts";
import { Classifier } from "./incoming_call.ts";
import { KeyClaims } from "./key_claims.ts";
import { Prober } from "./prober.ts";
import { ServicePolicies } from "./service_policies.ts";
import { QUARANTINE_TICK_MS, Suspects } from "./suspects.ts";

export interface CallPathOptions
  extends Pick<
    CallEngineOptions,
    "ready" | "bodyLimits" | "configuration" | "serverLeaving"
  > {
  readonly settings: EntrySettings;
  readonly incarnation: number;
  readonly network: TcpNetwork<EntryMessages>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly protocol: CallProtocol;
  /** Servers that a suspected request should not run on. */
  readonly toAvoid: (
    service: string,
    options: {
      dataCentres: readonly string[];
      inFlightAt: (matches: (server: BackendServer) => boolean) => number;
    },
  ) => readonly string[];
}

/** All that a request passes on its way from a caller to a server. */
export class CallPath {
  readonly #options: CallPathOptions;
  readonly #router: Router;
  readonly #assignments: Assignments;
  readonly #claims: KeyClaims;
  readonly #client: BackendClient;
  readonly #suspects: Suspects;
  readonly #policies: ServicePolicies;
  readonly #engine: CallEngine;
  readonly #decisions: ActivityTimer;
  readonly #hostRoutes: HostRoutes;
  #classifier: Classifier;
  #applied: Configuration | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CallPathOptions) {
    this.#options = options;
    const { settings, incarnation, network, clock, randomness } = options;
    const { logger, metrics, protocol } = options;
    this.#hostRoutes = new HostRoutes(randomness);
    this.#classifier = new Classifier([], this.#hostRoutes);
    this.#client = new BackendClient(protocol);
    this.#decisions = new ActivityTimer({
      clock,
      task: () => {
        this.#assignments.tick();
        this.#claims.tick();
      },
    });
    this.#router = new Router({
      self: settings.id,
      dataCentre: settings.dataCentre,
      random: randomness,
      serversReportSpeed: protocol.speedTold,
    });
    const prober = new Prober({
      clock,
      metrics,
      client: this.#client,
      protocol,
      service: (name) => this.service(name),
    });
    this.#assignments = new Assignments({
      router: this.#router,
      clock,
      network,
      probe: (server) => prober.probe(server),
      check: (server) => prober.check(server),
      active: () => this.#decisions.wake(),
    });
    const self = settings.id;
    this.#suspects = new Suspects({ self, clock, logger, network });
    this.#policies = new ServicePolicies({
      clock,
      resendLimit: settings.resendLimit,
      entries: () => this.#applied?.view.entries.length ?? 1,
    });
    this.#claims = new KeyClaims({
      self,
      incarnation,
      clock,
      randomness,
      network,
    });
    this.#engine = new CallEngine({
      ...options,
      entry: self,
      assignments: this.#assignments,
      client: this.#client,
      claims: this.#claims,
      suspects: this.#suspects,
      policies: this.#policies,
      serversToAvoid: (service, dataCentres) => {
        const inFlightAt = this.inFlightAt.bind(this);
        return options.toAvoid(service, { dataCentres, inFlightAt });
      },
      classifier: () => this.#classifier,
    });
  }

  start(): void {
    this.#decisions.start();
    const tick = () => this.#suspects.tick();
    this.#timer = setInterval(tick, QUARANTINE_TICK_MS);
  }

  serve(request: IncomingMessage, response: ServerResponse): void {
    this.#decisions.wake();
    this.#engine.serve(request, response);
  }

  /** Takes the configuration in force. */
  configure(configuration: Configuration): void {
    const before = this.#applied?.document;
    this.#applied = configuration;
    const { document, view } = configuration;
    const { services } = document;
    // A difference keeps the lists that it leaves as they are.
    if (before?.hostRoutes !== document.hostRoutes) {
      this.#hostRoutes.configure(document.hostRoutes);
    }
    if (before?.services !== services) {
      this.#classifier = new Classifier(services, this.#hostRoutes);
      this.#options.metrics.configure(services);
      this.#policies.configure(services);
    }
    this.#claims.configure(configuration);
    const now = this.#options.clock.now();
    this.#assignments.carryOut(this.#router.configure(services, view, now));
  }

  /** Sets the servers of a service that may get work. */
  setServers(service: string, servers: readonly BackendServer[]): void {
    const now = this.#options.clock.now();
    this.#assignments.carryOut(this.#router.setServers(service, servers, now));
  }

  /** An incarnation of a server is no longer there. */
  serverGone(server: BackendServer, reason: string): void {
    this.#client.retire(server);
    if (reason === "restarted") this.#suspects.serverLost(server);
  }

  entryUp(id: HostId): void {
    this.#suspects.peerUp(id);
  }

  entryDown(id: HostId): void {
    this.#suspects.peerDown(id);
    const now = this.#options.clock.now();
    this.#assignments.carryOut(this.#router.peerDown(id, now));
  }

  service(name: string): Service | undefined {
    return this.#classifier.service(name);
  }

  /** Calls under way. */
  get running(): number {
    return this.#engine.running;
  }

  /** Claims on keys that are held here. */
  get claimsHeld(): number {
    return this.#claims.held;
  }

  /** Calls in flight by service. */
  inFlight(): Map<string, number> {
    return this.#engine.inFlight();
  }

  /** Calls in flight at the servers that match. */
  inFlightAt(matches: (server: BackendServer) => boolean): number {
    return this.#engine.inFlightAt(matches);
  }

  /** Calls that wait, by service. */
  queueLengths(): [service: string, calls: number][] {
    return this.#router.queueLengths();
  }

  /** Ends at once; calls under way are cut. */
  close(): void {
    clearInterval(this.#timer);
    this.#decisions.stop();
    this.#client.close();
  }
}
