import {
  type BackendServer,
  isPossibleLeave,
  type LeavingServer,
} from "#model";

/** Time by which another service has to be known longer, in milliseconds. */
const MIN_LEAD_MS = 10_000;
/** Servers that are tracked, as records; the oldest is forgotten first. */
const MAX_SERVERS = 20_000;

/**
 * Remembers in which service a server, its id and address, was known first. It is a
 * server of one service at a time: a record of another one, also with a later start,
 * is by some program as long as the first one goes on. Records that are known for
 * about as long are all used, as after the start of this process, since leaving out
 * the wrong one would take a sound server out of use.
 *
 * The first service stays the first while it has no record, so that nobody can take
 * the place of a server that starts again or is cut off for a while.
 */
export class FirstServices {
  /** Time of the first record by service, by server. */
  readonly #servers = new Map<string, Map<string, number>>();
  /** Newest incarnation that is leaving by agreement, by server id. */
  #leaving: ReadonlyMap<string, number> = new Map();
  #configured: readonly LeavingServer[] = [];

  /** Sets the servers that are leaving: they may start again in another service. */
  configure(leaving: readonly LeavingServer[]): void {
    if (leaving === this.#configured) return;
    this.#configured = leaving;
    this.#leaving = new Map(
      leaving
        .filter(isPossibleLeave)
        .map(({ id, incarnation }) => [id, incarnation]),
    );
  }

  /** Notes a record. */
  note(server: BackendServer, now: number): void {
    const key = serverKey(server);
    const services = this.#servers.get(key) ?? new Map<string, number>();
    if (!services.has(server.service)) services.set(server.service, now);
    this.#servers.delete(key);
    const [oldest] = this.#servers.keys();
    if (this.#servers.size >= MAX_SERVERS && oldest !== undefined) {
      this.#servers.delete(oldest);
    }
    this.#servers.set(key, services);
  }

  /**
   * Whether the server was known before in another service, in which it still has a
   * record.
   */
  isCopy(
    server: BackendServer,
    recordIn: (service: string) => BackendServer | undefined,
  ): boolean {
    const services = this.#servers.get(serverKey(server));
    const firstAt = services?.get(server.service);
    if (!services || services.size === 1 || firstAt === undefined) return false;
    return [...services].some(([service, at]) => {
      if (firstAt - at < MIN_LEAD_MS) return false;
      const record = recordIn(service);
      const left = this.#leaving.get(server.id) ?? -1;
      return record !== undefined && record.incarnation > left;
    });
  }
}

function serverKey({ id, address }: BackendServer): string {
  return `${id} ${address.host}:${address.port}`;
}
