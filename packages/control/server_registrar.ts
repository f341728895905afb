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
 * Backend servers that announce themselves at this control host. It holds a
 * list of them, as an entry does, which all entries replicate.
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
      presence: new Presence({
        id: settings.id,
        incarnation,
        dataCentre: settings.dataCentre,
        randomness,
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

  /** Takes the agreed services and entries. */
  configure({ document, view }: Configuration): void {
    const services = document.services.map(({ name }) => name);
    const now = this.#clock.now();
    const { presence } = this.#registrations;
    this.#registrations.carryOut(presence.configure({ services, view }, now));
  }

  entryUp(id: HostId): void {
    this.#registrations.peerUp(id);
  }

  entryDown(id: HostId): void {
    this.#registrations.peerDown(id);
  }

  /** Does what is due; called at least every `TICK_MS`. */
  tick(): void {
    this.#registrations.tick();
  }

  /** Registers a server or renews its lease, for all entries. */
  announce(server: BackendServer): ResultWithEffects<LeaseResponse> {
    const now = this.#clock.now();
    const answer = this.#registrations.presence.announce(server, now);
    this.#registrations.carryOut(answer.effects);
    return answer;
  }

  /** The newest incarnation that a server announced here. */
  incarnationOf(id: string): number | undefined {
    const { presence } = this.#registrations;
    const now = this.#clock.now();
    return presence
      .services()
      .flatMap((service) => presence.servers(service, now))
      .find((server) => server.id === id)?.incarnation;
  }
}
