/**
 * Connections that a service may have for each one that is free. A service alone gets
 * two thirds of all, and leaves a third to services that have none yet.
 */
const CONNECTIONS_PER_FREE_ONE = 2;

/**
 * Bounds the connections on which requests to servers are in progress, by a threshold
 * for each service that falls as connections become scarce (dynamic threshold of shared
 * buffers).
 *
 * Load pattern: servers of one service answer slowly or without end, and hold more
 * connections than the process has descriptors.
 */
export class ConnectionBudget {
  readonly #max: number;
  readonly #busy = new Map<string, number>();
  #total = 0;

  constructor(max: number) {
    this.#max = max;
  }

  /** Connections that requests use. */
  get total(): number {
    return this.#total;
  }

  /** Whether a service may use one more connection. */
  hasRoom(service: string): boolean {
    const free = this.#max - this.#total;
    return (this.#busy.get(service) ?? 0) < CONNECTIONS_PER_FREE_ONE * free;
  }

  /** Records that a request of a service uses a connection. */
  acquire(service: string): void {
    this.#total += 1;
    this.#busy.set(service, (this.#busy.get(service) ?? 0) + 1);
  }

  /** Records that a request of a service has ended. */
  release(service: string): void {
    this.#total -= 1;
    const left = (this.#busy.get(service) ?? 0) - 1;
    if (left > 0) this.#busy.set(service, left);
    else this.#busy.delete(service);
  }
}
