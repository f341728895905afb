import type { InventoryMessages } from "#configuration";
import type { BackendServer, Clock, HostId, Service } from "#model";
import type { Presence } from "#presence";
import type { Network } from "#wire";

/** Records in one answer to control; a frame holds at most 1 MiB. */
const INVENTORY_PART = 2_000;

/** What an entry tells and decides from the backend servers that it knows. */
export class KnownServers {
  readonly #presence: Presence;
  readonly #clock: Clock;
  readonly #network: Network<InventoryMessages>;

  constructor(options: {
    presence: Presence;
    clock: Clock;
    network: Network<InventoryMessages>;
  }) {
    this.#presence = options.presence;
    this.#clock = options.clock;
    this.#network = options.network;
    this.#network.handle("servers_ask", ({ question }, from) =>
      this.#answer(question, from.id),
    );
  }

  of(service: string): BackendServer[] {
    return this.#presence.servers(service, this.#clock.now());
  }

  /** Number of servers by service. */
  counts(): Record<string, number> {
    return Object.fromEntries(
      this.#presence.services().map((name) => [name, this.of(name).length]),
    );
  }

  /**
   * Servers that a suspected request should not run on: those with work of
   * this entry, and those in data centres where others were lost. Some are
   * always left.
   */
  toAvoid(
    service: string,
    options: {
      dataCentres: readonly string[];
      inFlightAt: (matches: (server: BackendServer) => boolean) => number;
    },
  ): string[] {
    const { dataCentres, inFlightAt } = options;
    const servers = this.of(service);
    const elsewhere = servers.filter(
      (s) => !dataCentres.includes(s.dataCentre),
    );
    const allowed = elsewhere.length > 0 ? elsewhere : servers;
    const idle = allowed.filter(
      ({ id }) => inFlightAt((s) => s.service === service && s.id === id) === 0,
    );
    const kept = new Set((idle.length > 0 ? idle : allowed).map((s) => s.id));
    return servers.flatMap(({ id }) => (kept.has(id) ? [] : [id]));
  }

  /** Slots that probes may take on average, by service. */
  probeBudgets(services: readonly Service[]): [string, number][] {
    return services.map(({ name, measuringBudgetPercent }) => {
      const slots = this.of(name).reduce(
        (sum, server) => sum + server.slots,
        0,
      );
      return [name, (slots * measuringBudgetPercent) / 100];
    });
  }

  #answer(question: number, to: HostId): void {
    const all = this.#presence.services().flatMap((name) => this.of(name));
    for (let start = 0; ; start += INVENTORY_PART) {
      const servers = all.slice(start, start + INVENTORY_PART);
      const more = start + INVENTORY_PART < all.length;
      this.#network.send(to, "servers_answer", { question, servers, more });
      if (!more) return;
    }
  }
}
