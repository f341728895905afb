import type { StopReport } from "#configuration";
import type { BackendServer, Configuration, PlannedStop } from "#model";

/** The planned stops in progress and the backend servers that they affect. */
export class PlannedStops {
  #activeStops: readonly PlannedStop[] = [];

  /** Takes over the stops that have begun; they last until they are removed. */
  configure({ document, stops }: Configuration): void {
    const activeNames = new Set(
      stops.filter(({ phase }) => phase !== "pending").map(({ stop }) => stop),
    );
    this.#activeStops = document.stops.filter(({ name }) =>
      activeNames.has(name),
    );
  }

  /** Whether a stop keeps new calls from a server. */
  covers(server: BackendServer): boolean {
    return this.#activeStops.some((stop) => matchesStop(stop, server));
  }

  /** Number of calls in flight at the servers of each stop. */
  reports(
    inFlightAt: (matches: (server: BackendServer) => boolean) => number,
  ): StopReport[] {
    return this.#activeStops.map((stop) => ({
      stop: stop.name,
      inFlight: inFlightAt((server) => matchesStop(stop, server)),
    }));
  }
}

/** Whether a stop applies to a server. */
export function matchesStop(stop: PlannedStop, server: BackendServer): boolean {
  if (stop.service !== server.service) return false;
  if (stop.dataCentre !== undefined) {
    return stop.dataCentre === server.dataCentre;
  }
  return stop.servers?.includes(server.id) ?? false;
}
