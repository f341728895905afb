import type { InventoryMessages } from "#configuration";
import type { BackendServer, Clock, HostId, Service } from "#model";
import type { Presence } from "#presence";
import type { Network } from "#wire";

/** Records in one message to control; a frame holds at most 1 MiB. */
const INVENTORY_BATCH_SIZE = 2_000;

/**
 * Queries over the registered backend servers, and their listing for control.
 */
export class KnownServers {
  readonly #presence: Presence;
  readonly #clock: Clock;
  readonly #network: Network<InventoryMessages>;
  readonly #isEvacuated: (server: BackendServer) => boolean;

  constructor(options: {
    presence: Presence;
    clock: Clock;
    network: Network<InventoryMessages>;
    /** Whether the server gets no requests. */
    isEvacuated: (server: BackendServer) => boolean;
  }) {
    this.#presence = options.presence;
    this.#clock = options.clock;
    this.#network = options.network;
    this.#isEvacuated = options.isEvacuated;
    this.#network.handle("servers_ask", ({ question }, from) =>
      this.#sendInventory(question, from.id),
    );
  }

  forService(service: string): BackendServer[] {
    return this.#presence.servers(service, this.#clock.now());
  }

  /** Number of servers by service. */
  counts(): Record<string, number> {
    return Object.fromEntries(
      this.#presence
        .services()
        .map((name) => [name, this.forService(name).length]),
    );
  }

  /**
   * Ids of the servers to which a suspected request should not be sent: those
   * that process other calls of this entry, and those in the given data
   * centres, where servers were lost. At least one server is always left.
   */
  serversToAvoid(
    service: string,
    options: {
      dataCentres: readonly string[];
      inFlightAt: (matches: (server: BackendServer) => boolean) => number;
    },
  ): string[] {
    const { dataCentres, inFlightAt } = options;
    const servers = this.forService(service).filter(
      (server) => !this.#isEvacuated(server),
    );
    const inOtherDataCentres = servers.filter(
      (s) => !dataCentres.includes(s.dataCentre),
    );
    const candidates =
      inOtherDataCentres.length > 0 ? inOtherDataCentres : servers;
    const idleCandidates = candidates.filter(
      ({ id }) => inFlightAt((s) => s.service === service && s.id === id) === 0,
    );
    const usable = new Set(
      (idleCandidates.length > 0 ? idleCandidates : candidates).map(
        (s) => s.id,
      ),
    );
    return servers.flatMap(({ id }) => (usable.has(id) ? [] : [id]));
  }

  /** Average number of slots that probes may use, by service. */
  probeBudgets(services: readonly Service[]): [string, number][] {
    return services.map(({ name, measuringBudgetPercent }) => {
      const slots = this.forService(name).reduce(
        (sum, server) => sum + server.slots,
        0,
      );
      return [name, (slots * measuringBudgetPercent) / 100];
    });
  }

  #sendInventory(question: number, to: HostId): void {
    const all = this.#presence
      .services()
      .flatMap((name) => this.forService(name));
    for (let start = 0; ; start += INVENTORY_BATCH_SIZE) {
      const servers = all.slice(start, start + INVENTORY_BATCH_SIZE);
      const more = start + INVENTORY_BATCH_SIZE < all.length;
      this.#network.send(to, "servers_answer", { question, servers, more });
      if (!more) return;
    }
  }
}
