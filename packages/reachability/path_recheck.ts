import type { BackendServer, BackendServerId } from "#model";

/** Interval of connection attempts while a path is lost. */
const RECHECK_INTERVAL_MS = 200;
/** The same after an attempt that succeeded. */
const CONFIRM_INTERVAL_MS = 50;
/** Servers that are tried at a time. */
const RECHECK_SERVERS = 2;
/** Successful attempts in a row that show that a path is back. */
export const CONFIRMATIONS = 2;

/** Finds out, by connections to servers, when a path that was lost is back. */
export class PathRecheck {
  readonly since: number;
  readonly #confirmationsNeeded: number;
  readonly #pending = new Set<BackendServerId>();
  /** Successful attempts in a row. */
  #confirmations = 0;
  #nextCheckAt: number;
  #anyAccepted = false;
  /** The server that has accepted the last connection; many may be dead. */
  #accepted: BackendServer | undefined;

  constructor(now: number, confirmationsNeeded = CONFIRMATIONS) {
    this.since = now;
    this.#confirmationsNeeded = confirmationsNeeded;
    this.#nextCheckAt = now + RECHECK_INTERVAL_MS;
  }

  /**
   * The servers to connect to now: the one that accepted the last connection,
   * and some that `draw` takes from the others.
   */
  serversToTry(
    servers: readonly BackendServer[],
    draw: (from: readonly BackendServer[], count: number) => BackendServer[],
    now: number,
  ): BackendServer[] {
    if (this.#pending.size > 0 || now < this.#nextCheckAt) return [];
    this.#nextCheckAt = now + RECHECK_INTERVAL_MS;
    this.#anyAccepted = false;
    const accepted = this.#accepted;
    const others = servers.filter(({ id }) => id !== accepted?.id);
    const drawn = draw(others, RECHECK_SERVERS);
    const chosen = accepted ? [accepted, ...drawn] : drawn;
    for (const { id } of chosen) this.#pending.add(id);
    return chosen;
  }

  /** Records the result of an attempt; returns whether the path is back. */
  tried(server: BackendServer, isAccepted: boolean, now: number): boolean {
    if (!this.#pending.delete(server.id)) return false;
    if (isAccepted) {
      this.#anyAccepted = true;
      this.#accepted = server;
    }
    if (this.#pending.size > 0) return false;
    if (!this.#anyAccepted) {
      this.#confirmations = 0;
      this.#accepted = undefined;
      return false;
    }
    this.#confirmations += 1;
    this.#nextCheckAt = now + CONFIRM_INTERVAL_MS;
    return this.#confirmations >= this.#confirmationsNeeded;
  }
}
