import {
  type BackendServer,
  type BackendServerId,
  backendServerKey,
  type Clock,
  type HostId,
  type Randomness,
} from "#model";
import {
  type ConnectionResult,
  type Fault,
  type PathEffect,
  type ReachabilityMessages,
  ServerPaths,
} from "#reachability";
import { type Logger, type Metrics, OwnTasks } from "#telemetry";
import { afterPendingInput, type Network } from "#wire";
import { tryConnection } from "./connection_check.ts";

/** Time within which a server accepts a connection if there is a path to it. */
const CONNECT_TIMEOUT_MS = 150;
const TICK_MS = 50;

export interface PathMonitorOptions {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly network: Network<ReachabilityMessages>;
  /** Called when this entry reaches no server of a service any more. */
  readonly onCutOff: (service: string) => void;
  /** Called when the services have changed of which no server is reached. */
  readonly onChanged: (services: readonly string[]) => void;
  /** Called when the calls that run at a service's servers got no answer. */
  readonly onSilent: (service: string) => void;
}

/**
 * Finds out whether failures are due to servers or to this entry's path to
 * them, and tells the other entries while it reaches no server.
 */
export class PathMonitor {
  readonly #options: PathMonitorOptions;
  readonly #tasks: OwnTasks;
  readonly #paths: ServerPaths;
  readonly #questions = new Map<string, ((fault: Fault) => void)[]>();
  readonly #peers = new Set<HostId>();
  #timer: NodeJS.Timeout | undefined;
  #closed = false;

  constructor(options: PathMonitorOptions) {
    this.#options = options;
    this.#tasks = new OwnTasks(options);
    this.#paths = new ServerPaths(options.randomness);
  }

  /** Whether this entry reaches no server of the service. */
  isCutOff(service: string): boolean {
    return this.#paths.isCutOff(service);
  }

  /** Servers that calls should avoid, as this entry does not reach them. */
  unreached(service: string): readonly BackendServerId[] {
    return this.#paths.unreached(service);
  }

  /** Whether a server of the service has just answered. */
  hasAnswered(service: string): boolean {
    return this.#paths.hasAnswered(service, this.#options.clock.now());
  }

  setServers(service: string, servers: readonly BackendServer[]): void {
    const now = this.#options.clock.now();
    this.#execute(this.#paths.setServers(service, servers, now));
  }

  /** Records an answer of a server. */
  heard(server: BackendServer): void {
    this.#paths.heard(server.service, this.#options.clock.now());
  }

  /**
   * Finds out, after a connection to the server has failed, whether this entry
   * reaches no server of its service now.
   */
  async confirmCut(server: BackendServer): Promise<boolean> {
    await this.judge(server, { isSure: true });
    return this.isCutOff(server.service);
  }

  /**
   * Resolves with whose fault a failed connection or a missing answer is; with
   * `isSure`, from connections that are opened after the failure.
   */
  judge(
    server: BackendServer,
    options: { isSure?: boolean } = {},
  ): Promise<Fault> {
    return new Promise((resolve) => {
      const key = backendServerKey(server);
      const questions = this.#questions.get(key);
      if (questions) questions.push(resolve);
      else this.#questions.set(key, [resolve]);
      const now = this.#options.clock.now();
      this.#execute(this.#paths.failed(server, now, options));
    });
  }

  peerUp(id: HostId): void {
    this.#peers.add(id);
    const services = this.#paths.cutOffServices();
    if (services.length === 0) return;
    this.#options.network.send(id, "reachability.cut_off", { services });
  }

  peerDown(id: HostId): void {
    this.#peers.delete(id);
  }

  /** Number of services of which this entry reaches no server. */
  get cutOffCount(): number {
    return this.#paths.cutOffServices().length;
  }

  close(): void {
    this.#closed = true;
    clearInterval(this.#timer);
  }

  #execute(effects: readonly PathEffect[]): void {
    for (const effect of effects) this.#executeOne(effect);
    if (this.#paths.isActive && !this.#closed) {
      const tick = () => this.#tasks.run("path_tick", () => this.#tick());
      this.#timer ??= setInterval(() => afterPendingInput(tick), TICK_MS);
    } else {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }

  #tick(): void {
    if (this.#closed) return;
    this.#execute(this.#paths.tick(this.#options.clock.now()));
  }

  #executeOne(effect: PathEffect): void {
    const { logger, onCutOff, onSilent } = this.#options;
    switch (effect.type) {
      case "connect":
        this.#tasks.run("connection_check", () => this.#connect(effect.server));
        return;
      case "judged":
        this.#answer(effect.server, effect.fault);
        return;
      case "cut_off":
        logger.warn("no path to the servers of a service", {
          service: effect.service,
          ...effect.evidence,
        });
        this.#tellPeers();
        onCutOff(effect.service);
        return;
      case "silent":
        logger.warn("running calls get no answer", { service: effect.service });
        onSilent(effect.service);
        return;
      case "data_centre_lost":
        logger.warn("no path to the servers of a service in a data centre", {
          service: effect.service,
          dataCentre: effect.dataCentre,
          ...effect.evidence,
        });
        return;
      case "data_centre_restored":
        logger.info("path to the servers in a data centre is back", {
          service: effect.service,
          dataCentre: effect.dataCentre,
          afterMs: Math.round(effect.afterMs),
        });
        return;
      case "restored":
        logger.info("path to the servers of a service is back", {
          service: effect.service,
          afterMs: Math.round(effect.afterMs),
        });
        this.#tellPeers();
    }
  }

  async #connect(server: BackendServer): Promise<void> {
    const { clock } = this.#options;
    // Calls wait for the result, also if no connection could be tried.
    const result = await this.#try(server).catch((error): ConnectionResult => {
      this.#tasks.fail("connection_check", error);
      return "unknown";
    });
    if (this.#closed) return;
    this.#execute(this.#paths.tried(server, result, clock.now()));
  }

  async #try(server: BackendServer): Promise<ConnectionResult> {
    const { clock, metrics } = this.#options;
    metrics.recordServerRequest(server.service, "connection_check");
    const timeoutMs = CONNECT_TIMEOUT_MS;
    return tryConnection(server.address, { timeoutMs, clock });
  }

  #answer(server: BackendServer, fault: Fault): void {
    const key = backendServerKey(server);
    const questions = this.#questions.get(key) ?? [];
    this.#questions.delete(key);
    for (const resolve of questions) resolve(fault);
  }

  #tellPeers(): void {
    const { network, onChanged } = this.#options;
    const services = this.#paths.cutOffServices();
    network.broadcast([...this.#peers], "reachability.cut_off", { services });
    onChanged(services);
  }
}
