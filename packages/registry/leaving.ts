import type { LeavingServer } from "#model";

/**
 * How long a leaving server is remembered, in milliseconds: longer than any
 * announcement of it can be under way.
 */
export const LEAVING_KEPT_MS = 600_000;

/** Backend servers that have said that they leave. */
export class LeavingServers {
  #servers: readonly LeavingServer[] = [];

  all(): readonly LeavingServer[] {
    return this.#servers;
  }

  restore(servers: readonly LeavingServer[]): void {
    this.#servers = servers;
  }

  /** Records a server; false if its incarnation is known to leave. */
  add(server: LeavingServer): boolean {
    const known = this.#servers.find(({ id }) => id === server.id);
    if (known && known.incarnation >= server.incarnation) return false;
    this.#servers = [
      ...this.#servers.filter(
        ({ id, at }) => id !== server.id && server.at - at < LEAVING_KEPT_MS,
      ),
      server,
    ].sort((a, b) => (a.id < b.id ? -1 : 1));
    return true;
  }
}
