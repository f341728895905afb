import type { StopReport } from "#configuration";
import type { BackendServer, Configuration } from "#model";
import { PlannedStops } from "./planned_stops.ts";

/** Which of the known backend servers may get new work. */
export class UsableServers {
  readonly #stops = new PlannedStops();
  /** Newest incarnation that leaves, by server id. */
  #leaving = new Map<string, number>();
  #applied: Configuration | undefined;

  /** Takes a configuration; true if other servers may be usable now. */
  configure(configuration: Configuration): boolean {
    const before = this.#applied;
    this.#applied = configuration;
    // A difference keeps the lists that it leaves as they are.
    const same =
      before?.stops === configuration.stops &&
      before.leaving === configuration.leaving &&
      before.document.stops === configuration.document.stops &&
      before.document.services === configuration.document.services;
    if (same) return false;
    this.#stops.configure(configuration);
    this.#leaving = new Map(
      configuration.leaving.map(({ id, incarnation }) => [id, incarnation]),
    );
    return true;
  }

  of(servers: readonly BackendServer[]): BackendServer[] {
    return servers.filter(
      (server) =>
        server.state === "ready" &&
        !this.#stops.covers(server) &&
        server.incarnation > (this.#leaving.get(server.id) ?? -1),
    );
  }

  /** Calls in flight at the servers of each planned stop. */
  stopReports(
    inFlightAt: (matches: (server: BackendServer) => boolean) => number,
  ): StopReport[] {
    return this.#stops.reports(inFlightAt);
  }
}
