import type { StopReport } from "#configuration";
import {
  type BackendServer,
  type Configuration,
  type DataCentre,
  isPossibleLeave,
} from "#model";
import { PlannedStops } from "./planned_stops.ts";

/** Determines which backend servers may get new calls. */
export class UsableServers {
  readonly #stops = new PlannedStops();
  /** Newest incarnation that is leaving, by server id. */
  #leaving = new Map<string, number>();
  #evacuated: ReadonlySet<DataCentre> = new Set();
  #configuration: Configuration | undefined;

  /** Applies a configuration; returns whether the usable servers may differ. */
  configure(configuration: Configuration): boolean {
    const previous = this.#configuration;
    this.#configuration = configuration;
    // Configuration changes keep the identity of lists that did not change.
    const unchanged =
      previous?.stops === configuration.stops &&
      previous.leaving === configuration.leaving &&
      previous.document.stops === configuration.document.stops &&
      previous.document.services === configuration.document.services &&
      previous.document.evacuated === configuration.document.evacuated;
    if (unchanged) return false;
    this.#stops.configure(configuration);
    this.#evacuated = new Set(configuration.document.evacuated);
    this.#leaving = new Map(
      configuration.leaving
        .filter(isPossibleLeave)
        .map(({ id, incarnation }) => [id, incarnation]),
    );
    return true;
  }

  filter(servers: readonly BackendServer[]): BackendServer[] {
    return servers.filter(
      (server) =>
        server.state === "ready" &&
        !this.isEvacuated(server) &&
        !this.#stops.covers(server) &&
        server.incarnation > (this.#leaving.get(server.id) ?? -1),
    );
  }

  /** Whether the server gets no request at all, as operators have ordered. */
  isEvacuated({ dataCentre }: BackendServer): boolean {
    return this.#evacuated.has(dataCentre);
  }

  /** Number of calls in flight at the servers of each planned stop. */
  stopReports(
    inFlightAt: (matches: (server: BackendServer) => boolean) => number,
  ): StopReport[] {
    return this.#stops.reports(inFlightAt);
  }
}
