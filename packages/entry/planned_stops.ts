import type { StopReport } from "#configuration";
import type { BackendServer, Configuration, PlannedStop } from "#model";

/** Applies the planned stops in force to the servers that an entry knows. */
export class PlannedStops {
  #begun: readonly PlannedStop[] = [];

  /** Takes the stops that have begun; they stay until they are removed. */
  configure({ document, stops }: Configuration): void {
    const begun = new Set(
      stops.filter(({ phase }) => phase !== "pending").map(({ stop }) => stop),
    );
    this.#begun = document.stops.filter(({ name }) => begun.has(name));
  }

  /** Whether a server gets no new work because of a stop. */
  covers(server: BackendServer): boolean {
    return this.#begun.some((stop) => matchesStop(stop, server));
  }

  /** Calls in flight at each stop's servers. */
  reports(
    inFlightAt: (matches: (server: BackendServer) => boolean) => number,
  ): StopReport[] {
    return this.#begun.map((stop) => ({
      stop: stop.name,
      inFlight: inFlightAt((server) => matchesStop(stop, server)),
    }));
  }
}

/** Whether a stop names a server. */
export function matchesStop(stop: PlannedStop, server: BackendServer): boolean {
  if (stop.service !== server.service) return false;
  if (stop.dataCentre !== undefined) {
    return stop.dataCentre === server.dataCentre;
  }
  return stop.servers?.includes(server.id) ?? false;
}
