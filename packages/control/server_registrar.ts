import type {
  BackendServer,
  Clock,
  Configuration,
  HostId,
  Randomness,
} from "#model";
import {
  type LeaseResponse,
  Presence,
  type PresenceMessages,
  type ResultWithEffects,
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

  constructor(options: {
    settings: ControlSettings;
    incarnation: number;
    network: Network<PresenceMessages>;
    clock: Clock;
    randomness: Randomness;
    logger: Logger;
  }) {
    const { settings, incarnation, network, clock, randomness } = options;
    this.#clock = clock;
    this.#registrations = new Registrations({
      logger: options.logger,
      presence: new Presence({
        id: settings.id,
        incarnation,
        dataCentre: settings.dataCentre,
        randomness,
        registrarOnly: true,
      }),
      clock,
      network,
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

  /** Registers a server on all entries, or renews its lease. */
  announce(server: BackendServer): ResultWithEffects<LeaseResponse> {
    const now = this.#clock.now();
    const response = this.#registrations.presence.announce(server, now);
    this.#registrations.execute(response.effects);
    return response;
  }

  /** The newest incarnation that a server has announced; undefined if none. */
  incarnationOf(id: string): number | undefined {
    const { presence } = this.#registrations;
    const now = this.#clock.now();
    return presence
      .services()
      .flatMap((service) => presence.servers(service, now))
      .find((server) => server.id === id)?.incarnation;
  }
}
