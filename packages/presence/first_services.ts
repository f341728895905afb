import type { BackendServer } from "#model";

/** Time by which another service has to be known longer, in milliseconds. */
const MIN_LEAD_MS = 10_000;
/** Processes that are tracked, as records; the oldest is forgotten first. */
const MAX_PROCESSES = 20_000;

/**
 * Remembers in which service a server process, its id, start and address, was
 * known first. A process is a server of one service: a record of another one is a
 * copy by some program. Records that are known for about as long are all used, as
 * after the start of this process, since leaving out the wrong one would take a
 * sound server out of use.
 */
export class FirstServices {
  /** Time of the first record by service, by process. */
  readonly #processes = new Map<string, Map<string, number>>();

  /** Notes a record. */
  note(server: BackendServer, now: number): void {
    const key = processKey(server);
    const services = this.#processes.get(key) ?? new Map<string, number>();
    if (!services.has(server.service)) services.set(server.service, now);
    this.#processes.delete(key);
    const [oldest] = this.#processes.keys();
    if (this.#processes.size >= MAX_PROCESSES && oldest !== undefined) {
      this.#processes.delete(oldest);
    }
    this.#processes.set(key, services);
  }

  /**
   * Whether the process was known before as a server of another service, in which
   * it still has a record.
   */
  isCopy(
    server: BackendServer,
    hasRecord: (service: string) => boolean,
  ): boolean {
    const services = this.#processes.get(processKey(server));
    const firstAt = services?.get(server.service);
    if (!services || services.size === 1 || firstAt === undefined) return false;
    return [...services].some(
      ([service, at]) => firstAt - at >= MIN_LEAD_MS && hasRecord(service),
    );
  }
}

function processKey({ id, incarnation, address }: BackendServer): string {
  return `${id} ${incarnation} ${address.host}:${address.port}`;
}
