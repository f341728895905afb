import type { ClientBounds } from "./client_bounds.ts";

/** Memory of a connection without a request: socket, parser and their state. */
export const CONNECTION_BYTES = 8_192;
/** Memory of a request without its fields and body. */
export const REQUEST_BYTES = 4_096;
/** Memory of a field of a head beside its text, which is held as two strings. */
export const FIELD_BYTES = 80;
/**
 * Part of a bound to which an eviction returns, so that the connections are
 * sorted once for many charges.
 */
const EVICTION_TARGET = 0.9;

/** The bound for which a connection is closed; the first two are of the process. */
export type ClientLimit = "held_bytes" | "connections" | "header_fields";

/** What one connection of a client makes the process hold. */
export interface ClientCharge {
  /** Bytes of its requests, bodies and buffers, without `CONNECTION_BYTES`. */
  heldBytes: number;
  /** Whether it has ever sent a whole request. */
  hasCompleted: boolean;
  /** When it last completed a request or took an answer; else when it opened. */
  progressAt: number;
}

/** A connection to close, and why. */
export interface Eviction<Connection> {
  readonly connection: Connection;
  readonly limit: ClientLimit;
  readonly heldBytes: number;
}

/**
 * What all clients make a process hold, charged to their connections. When a
 * bound is exceeded, the connections with the least progress are closed: first
 * those that never sent a whole request, then those that completed nothing for
 * the longest time.
 *
 * Load patterns: many bodies or heads that stop before their end; many pipelined
 * requests with unread answers; many silent or slow connections.
 */
export class ClientAccount<Connection> {
  readonly #bounds: ClientBounds;
  readonly #charges = new Map<Connection, ClientCharge>();
  #heldBytes = 0;

  constructor(bounds: ClientBounds) {
    this.#bounds = bounds;
  }

  /** Bytes that clients make the process hold. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  get connections(): number {
    return this.#charges.size;
  }

  /** Adds a connection. */
  open(connection: Connection, now: number): void {
    this.#charges.set(connection, {
      heldBytes: 0,
      hasCompleted: false,
      progressAt: now,
    });
    this.#heldBytes += CONNECTION_BYTES;
  }

  /** Removes a connection with all that it is charged for. */
  close(connection: Connection): void {
    const charge = this.#charges.get(connection);
    if (!charge) return;
    this.#charges.delete(connection);
    this.#heldBytes -= CONNECTION_BYTES + charge.heldBytes;
  }

  /** Charges a connection with bytes, or returns them if negative. */
  charge(connection: Connection, bytes: number): void {
    const charge = this.#charges.get(connection);
    if (!charge) return;
    charge.heldBytes += bytes;
    this.#heldBytes += bytes;
  }

  /** Records that a connection sent a whole request or took a whole answer. */
  progress(connection: Connection, now: number): void {
    const charge = this.#charges.get(connection);
    if (!charge) return;
    charge.hasCompleted = true;
    charge.progressAt = now;
  }

  /** Whether a bound is exceeded. */
  get isExceeded(): boolean {
    return (
      this.#heldBytes > this.#bounds.heldBytesMax ||
      this.#charges.size > this.#bounds.connectionsMax
    );
  }

  /** The connections to close now; empty while no bound is exceeded. */
  evictions(): Eviction<Connection>[] {
    if (!this.isExceeded) return [];
    const evicted = new Map<Connection, Eviction<Connection>>();
    const { heldBytesMax, connectionsMax } = this.#bounds;
    const candidates = [...this.#charges].sort(([, a], [, b]) => {
      if (a.hasCompleted !== b.hasCompleted) return a.hasCompleted ? 1 : -1;
      return a.progressAt - b.progressAt;
    });
    let bytes = this.#heldBytes;
    if (bytes > heldBytesMax) {
      for (const [connection, { heldBytes }] of candidates) {
        if (bytes <= heldBytesMax * EVICTION_TARGET) break;
        // Closing a connection that holds nothing would free next to nothing.
        if (heldBytes === 0) continue;
        bytes -= CONNECTION_BYTES + heldBytes;
        evicted.set(connection, { connection, limit: "held_bytes", heldBytes });
      }
    }
    let count = this.#charges.size - evicted.size;
    if (count > connectionsMax) {
      for (const [connection, { heldBytes }] of candidates) {
        if (count <= connectionsMax * EVICTION_TARGET) break;
        if (evicted.has(connection)) continue;
        count--;
        evicted.set(connection, {
          connection,
          limit: "connections",
          heldBytes,
        });
      }
    }
    return [...evicted.values()];
  }
}
