import type { Result } from "neverthrow";
import {
  type BackendServer,
  type Clock,
  type Configuration,
  type HostId,
  hasSameAddress,
  type Randomness,
} from "#model";
import {
  type AnnouncementFault,
  type Identity,
  type LeaseResponse,
  Presence,
  type PresenceMessages,
} from "#presence";
import { Registrations } from "#registration";
import type { ControlSettings } from "#settings";
import type { Logger } from "#telemetry";
import type { Network } from "#wire";

/**
 * Registers the backend servers that announce themselves at this control host.
 * Like an entry, it keeps a list of them, which all entries replicate.
 */
export class ServerRegistrar {
  readonly #registrations: Registrations;
  readonly #clock: Clock;
  readonly #verify: ((server: BackendServer) => Promise<Identity>) | undefined;

  constructor(options: {
    settings: ControlSettings;
    incarnation: number;
    network: Network<PresenceMessages>;
    clock: Clock;
    randomness: Randomness;
    logger: Logger;
    /** Finds out which server answers at a server's address. */
    verify?: ((server: BackendServer) => Promise<Identity>) | undefined;
  }) {
    const { settings, incarnation, network, clock, randomness } = options;
    this.#clock = clock;
    this.#verify = options.verify;
    this.#registrations = new Registrations({
      logger: options.logger,
      presence: new Presence({
        id: settings.id,
        incarnation,
        dataCentre: settings.dataCentre,
        randomness,
        registrarOnly: true,
        untrusted: clock,
      }),
      clock,
      network,
      verify: options.verify,
      onServersChanged: () => undefined,
      onServerGone: (server, reason) => {
        const { id, service } = server;
        options.logger.info("backend server gone", {
          server: id,
          service,
          reason,
        });
      },
    });
  }

  /** Applies the services and entries of a new configuration. */
  applyConfiguration({ document, view }: Configuration): void {
    const services = document.services.map(({ name }) => name);
    const now = this.#clock.now();
    const { presence } = this.#registrations;
    this.#registrations.execute(presence.configure({ services, view }, now));
  }

  handleEntryConnected(id: HostId): void {
    this.#registrations.peerUp(id);
  }

  handleEntryDisconnected(id: HostId): void {
    this.#registrations.peerDown(id);
  }

  /** Runs timeouts and retries; call at least every `TICK_INTERVAL_MS`. */
  tick(): void {
    this.#registrations.tick();
  }

  /**
   * Registers a server on all entries, or renews its lease; waits for checks of its
   * addresses if another one is known.
   */
  async announce(
    server: BackendServer,
  ): Promise<Result<LeaseResponse, AnnouncementFault>> {
    const result = this.#announce(server);
    const fault = result.isErr() ? result.error : undefined;
    if (fault?.type !== "unproven_address" || !fault.isPending) return result;
    await this.#registrations.checked(server.id);
    return this.#announce(server);
  }

  /**
   * Why a server's announcement that it leaves is not its own; undefined if
   * nothing speaks against it. `known` are the records of its id. At its known
   * address it needs no proof, as a leave must not wait.
   */
  async checkLeaving(
    server: BackendServer,
    known: readonly BackendServer[],
  ): Promise<AnnouncementFault | undefined> {
    const { service } = server;
    if (!this.#registrations.presence.hasService(service)) {
      return { type: "unknown_service", service };
    }
    const record = known.find((record) => record.service === service);
    if (record && hasSameAddress(record, server)) return undefined;
    const [other] = known;
    if (!record && other)
      return { type: "other_service", known: other.service };
    const identity = await this.#verify?.(server);
    if (identity === undefined || identity === "same") return undefined;
    const address = record && `${record.address.host}:${record.address.port}`;
    return { type: "unproven_address", known: address, isPending: false };
  }

  #announce(server: BackendServer): Result<LeaseResponse, AnnouncementFault> {
    const now = this.#clock.now();
    const { presence } = this.#registrations;
    const { result, effects } = presence.announce(server, now);
    this.#registrations.execute(effects);
    return result;
  }

  /** Tells the connected entries that a server leaves, in all its services. */
  leave(server: { readonly id: string; readonly incarnation: number }): void {
    const { presence } = this.#registrations;
    const now = this.#clock.now();
    for (const service of presence.servicesOf(server.id)) {
      const { effects } = presence.leave({ ...server, service }, now);
      this.#registrations.execute(effects);
    }
  }

  /** The current record of a server and the services of its id. */
  find(server: Pick<BackendServer, "service" | "id">): {
    readonly record: BackendServer | undefined;
    readonly otherServices: readonly string[];
  } {
    const { presence } = this.#registrations;
    return {
      record: presence.server(server, this.#clock.now()),
      otherServices: presence
        .servicesOf(server.id)
        .filter((service) => service !== server.service),
    };
  }

  /** The current records of an id, in all services. */
  recordsOf(id: string): BackendServer[] {
    const { presence } = this.#registrations;
    const now = this.#clock.now();
    return presence
      .servicesOf(id)
      .flatMap((service) => presence.server({ service, id }, now) ?? []);
  }
}
