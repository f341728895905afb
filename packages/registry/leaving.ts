import type { LeavingServer } from "#model";

/**
 * How long a leaving server is remembered, in milliseconds: longer than any of
 * its announcements can be in transit.
 */
export const LEAVING_RETENTION_MS = 600_000;

/** Backend servers that have announced that they are leaving. */
export class LeavingServers {
  #servers: readonly LeavingServer[] = [];

  all(): readonly LeavingServer[] {
    return this.#servers;
  }

  restore(servers: readonly LeavingServer[]): void {
    this.#servers = servers;
  }

  /** Records a server; false if this or a later incarnation is recorded. */
  add(server: LeavingServer): boolean {
    const known = this.#servers.find(({ id }) => id === server.id);
    if (known && known.incarnation >= server.incarnation) return false;
    this.#servers = [
      ...this.#servers.filter(
        ({ id, at }) =>
          id !== server.id && server.at - at < LEAVING_RETENTION_MS,
      ),
      server,
    ].sort((a, b) => (a.id < b.id ? -1 : 1));
    return true;
  }
}
