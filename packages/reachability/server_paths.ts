import type { BackendServer, BackendServerId, Randomness } from "#model";
import type { ConnectionResult, PathEffect } from "./path_effects.ts";
import { ServicePaths } from "./service_paths.ts";

/** The paths from this entry to the servers of all services. */
export class ServerPaths {
  readonly #random: Randomness;
  readonly #services = new Map<string, ServicePaths>();

  constructor(random: Randomness) {
    this.#random = random;
  }

  /** Whether the entry reaches no server of the service. */
  isCutOff(service: string): boolean {
    return this.#services.get(service)?.isCutOff === true;
  }

  /** Whether a server of the service has just answered. */
  hasAnswered(service: string, now: number): boolean {
    return this.#services.get(service)?.hasAnswered(now) === true;
  }

  /** The services of which the entry reaches no server. */
  cutOffServices(): string[] {
    return [...this.#services]
      .filter(([, paths]) => paths.isCutOff)
      .map(([name]) => name);
  }

  /** Servers that calls should avoid, as this entry does not reach them. */
  unreached(service: string): readonly BackendServerId[] {
    return this.#services.get(service)?.unreached ?? [];
  }

  /** Whether `tick` has anything to do. */
  get isActive(): boolean {
    for (const paths of this.#services.values()) {
      if (paths.isActive) return true;
    }
    return false;
  }

  setServers(
    service: string,
    servers: readonly BackendServer[],
    now: number,
  ): PathEffect[] {
    return this.#paths(service).setServers(servers, now);
  }

  /** Records an answer of a server. */
  heard(service: string, now: number): void {
    this.#paths(service).heard(now);
  }

  /**
   * A connection to the server, or an answer of it, has failed. An effect
   * `judged` follows, now or later.
   */
  failed(
    server: BackendServer,
    now: number,
    options: { isSure?: boolean } = {},
  ): PathEffect[] {
    return this.#paths(server.service).failed(server, now, options);
  }

  /** Records the result of an attempt to open a connection. */
  tried(
    server: BackendServer,
    result: ConnectionResult,
    now: number,
  ): PathEffect[] {
    return this.#paths(server.service).tried(server, result, now);
  }

  /** Tries to reach servers again; to be called every 50 ms while active. */
  tick(now: number): PathEffect[] {
    return [...this.#services.values()].flatMap((paths) => paths.tick(now));
  }

  #paths(service: string): ServicePaths {
    const known = this.#services.get(service);
    if (known) return known;
    const created = new ServicePaths(service, this.#random);
    this.#services.set(service, created);
    return created;
  }
}
