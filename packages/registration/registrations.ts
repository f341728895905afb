import type { BackendServer, Clock, HostId, Service } from "#model";
import type {
  Identity,
  Presence,
  PresenceEffect,
  PresenceMessage,
  PresenceMessages,
} from "#presence";
import { messageKinds, type Network } from "#wire";

// A record, so that the compiler reports a kind that is missing here.
const KINDS: Readonly<Record<keyof PresenceMessages, true>> = {
  presence_changes: true,
  presence_leaves: true,
  presence_summaries: true,
  presence_ask: true,
  presence_state: true,
};

type UnusableRecord = Extract<PresenceEffect, { type: "record_unusable" }>;

/** Longest name of a server in a log line, in characters. */
const MAX_LOGGED_LENGTH = 256;

export interface RegistrationsOptions {
  readonly presence: Presence;
  readonly clock: Clock;
  readonly network: Network<PresenceMessages>;
  /** Called when the servers of a service have changed. */
  readonly onServersChanged: (
    service: string,
    servers: readonly BackendServer[],
  ) => void;
  /** Called when an incarnation of a server has gone. */
  readonly onServerGone: (
    server: BackendServer,
    reason: Extract<PresenceEffect, { type: "gone" }>["reason"],
  ) => void;
  /** Finds out which server answers at a server's address. */
  readonly verify?: ((server: BackendServer) => Promise<Identity>) | undefined;
  readonly logger: {
    warn(message: string, fields: Readonly<Record<string, unknown>>): void;
  };
}

/**
 * Checks that run at a time. Without a result a server keeps its address, and the
 * check is requested again.
 */
const MAX_CHECKS = 20;

/**
 * Executes the effects of service registration: sends its messages and
 * reports changes of servers.
 */
export class Registrations {
  readonly #options: RegistrationsOptions;
  /** Running checks of addresses, by the server's id. */
  readonly #checks = new Set<{ id: string; result: Promise<void> }>();

  constructor(options: RegistrationsOptions) {
    this.#options = options;
    for (const kind of messageKinds(KINDS)) {
      options.network.handle(kind, (payload, from) => {
        const message = { kind, payload } as PresenceMessage;
        const now = options.clock.now();
        this.execute(options.presence.receive(from.id, message, now));
      });
    }
  }

  get presence(): Presence {
    return this.#options.presence;
  }

  execute(effects: readonly PresenceEffect[]): void {
    const { network, presence, clock, onServersChanged, onServerGone } =
      this.#options;
    for (const effect of effects) {
      switch (effect.type) {
        case "send":
          network.send(effect.to, effect.kind, effect.payload);
          break;
        case "changed":
          onServersChanged(
            effect.service,
            presence.servers(effect.service, clock.now()),
          );
          break;
        case "gone":
          onServerGone(effect.server, effect.reason);
          break;
        case "verify":
          this.#verify(effect.server);
          break;
        case "record_unusable":
          this.#logUnusable(effect);
      }
    }
  }

  /** Resolves when the running checks of a server's addresses have ended. */
  async checked(id: string): Promise<void> {
    const checks = [...this.#checks].filter((check) => check.id === id);
    await Promise.all(checks.map(({ result }) => result));
  }

  #verify(server: BackendServer): void {
    const { verify } = this.#options;
    if (!verify || this.#checks.size >= MAX_CHECKS) return;
    const result = this.#recordIdentity(server, verify(server));
    const check = { id: server.id, result };
    this.#checks.add(check);
    check.result
      .catch((cause: unknown) => this.#logFailedCheck(server, cause))
      .finally(() => this.#checks.delete(check));
  }

  async #recordIdentity(
    server: BackendServer,
    answer: Promise<Identity>,
  ): Promise<void> {
    const { presence, clock } = this.#options;
    const identity = await answer.catch((cause: unknown): Identity => {
      this.#logFailedCheck(server, cause);
      return "unknown";
    });
    this.execute(presence.verified(server, identity, clock.now()));
  }

  #logFailedCheck({ id }: BackendServer, cause: unknown): void {
    const { logger } = this.#options;
    logger.warn("check of an address failed", { server: id, cause });
  }

  #logUnusable({ owner, from, service, id, problem }: UnusableRecord): void {
    this.#options.logger.warn("record of a backend server cannot be used", {
      server: `${service}/${id}`.slice(0, MAX_LOGGED_LENGTH),
      owner,
      from,
      problem,
    });
  }

  peerUp(id: HostId): void {
    const { presence, clock } = this.#options;
    this.execute(presence.peerUp(id, clock.now()));
  }

  peerDown(id: HostId): void {
    const { presence, clock } = this.#options;
    this.execute(presence.peerDown(id, clock.now()));
  }

  tick(): void {
    const { presence, clock } = this.#options;
    this.execute(presence.tick(clock.now()));
  }

  /** Records that a server announced in a reply that it is leaving. */
  observeLeaving(
    server: Pick<BackendServer, "service" | "id" | "incarnation">,
  ): void {
    const { presence, clock } = this.#options;
    this.execute(presence.observeLeaving(server, clock.now()));
  }
}

/** Sizes from the service's configuration for announcements that state none. */
export function announcementDefaults(service: Service | undefined) {
  if (!service) return {};
  return {
    slots: service.slotsPerServer,
    connections: service.connectionsPerServer,
  };
}
