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
/**
 * Held bytes from which a connection counts for the resident memory. Requests without
 * a body, and answers that are read, stay below it.
 */
const LARGE_HOLDING_BYTES = 16_384;
/**
 * Part of the bound of held bytes that large holdings keep, whatever the process
 * takes: 8.4 MB of 202 MB, 64 bodies of the size that is buffered.
 */
const LARGE_HOLDINGS_MIN = 1 / 4;

/** The bound for which a connection is closed; all but the last are of the process. */
export type ClientLimit =
  | "held_bytes"
  | "resident_bytes"
  | "connections"
  | "header_fields";

/** What one connection of a client makes the process hold. */
export interface ClientCharge {
  /** Bytes of its requests, bodies and buffers, without `CONNECTION_BYTES`. */
  heldBytes: number;
  /** Whether it has ever sent a whole request. */
  hasCompleted: boolean;
  /** When it last completed a request or took an answer; else when it opened. */
  progressAt: number;
  /** Whether a request of it has arrived whole and no part of its answer was sent. */
  readonly isWaiting: () => boolean;
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
 * those that never sent a whole request, the costliest of them before the others,
 * then those that completed nothing for the longest time. Those that wait for an answer
 * come last, the costliest of them before the others: their requests may be at a server
 * and must not run twice, and an answer that a crowd had gives it no rank above them.
 * When the process takes more memory than planned, connections that hold much share so
 * much less.
 *
 * Load patterns: many bodies or heads that stop before their end; many pipelined
 * requests with unread answers; many silent or slow connections.
 */
export class ClientAccount<Connection> {
  readonly #bounds: ClientBounds;
  readonly #charges = new Map<Connection, ClientCharge>();
  #heldBytes = 0;
  /** Bytes of connections that hold much. */
  #largeBytes = 0;
  #largeBytesMax: number;

  constructor(bounds: ClientBounds) {
    this.#bounds = bounds;
    this.#largeBytesMax = bounds.heldBytesMax;
  }

  /** Bytes that clients make the process hold. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  get connections(): number {
    return this.#charges.size;
  }

  /** Adds a connection; `isWaiting` tells whether it waits for an answer. */
  open(
    connection: Connection,
    now: number,
    isWaiting: () => boolean = () => false,
  ): void {
    this.#charges.set(connection, {
      heldBytes: 0,
      hasCompleted: false,
      progressAt: now,
      isWaiting,
    });
    this.#heldBytes += CONNECTION_BYTES;
  }

  /** Removes a connection with all that it is charged for. */
  close(connection: Connection): void {
    const charge = this.#charges.get(connection);
    if (!charge) return;
    this.#charges.delete(connection);
    this.#heldBytes -= CONNECTION_BYTES + charge.heldBytes;
    this.#largeBytes -= largeHolding(charge);
  }

  /** Charges a connection with bytes, or returns them if negative. */
  charge(connection: Connection, bytes: number): void {
    const charge = this.#charges.get(connection);
    if (!charge) return;
    this.#largeBytes -= largeHolding(charge);
    charge.heldBytes += bytes;
    this.#heldBytes += bytes;
    this.#largeBytes += largeHolding(charge);
  }

  /** Takes note of the memory that the process takes, garbage included. */
  setResidentBytes(residentBytes: number): void {
    const { heldBytesMax, residentBytesMax } = this.#bounds;
    const excess = Math.max(0, residentBytes - residentBytesMax);
    this.#largeBytesMax = Math.max(
      heldBytesMax * LARGE_HOLDINGS_MIN,
      heldBytesMax - excess,
    );
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
      this.#largeBytes > this.#largeBytesMax ||
      this.#charges.size > this.#bounds.connectionsMax
    );
  }

  /** The connections to close now; empty while no bound is exceeded. */
  evictions(): Eviction<Connection>[] {
    if (!this.isExceeded) return [];
    const evicted = new Map<Connection, ClientLimit>();
    for (const { limit, value, max, weight } of this.#limits()) {
      let left = value;
      for (const connection of evicted.keys())
        left -= weight(this.#charges.get(connection));
      if (left <= max) continue;
      for (const [connection, charge] of this.#inOrder(weight)) {
        if (left <= max * EVICTION_TARGET) break;
        const freed = weight(charge);
        if (freed === 0 || evicted.has(connection)) continue;
        left -= freed;
        evicted.set(connection, limit);
      }
    }
    return [...evicted].map(([connection, limit]) => {
      const heldBytes = this.#charges.get(connection)?.heldBytes ?? 0;
      return { connection, limit, heldBytes };
    });
  }

  #limits(): readonly Limit[] {
    const { heldBytesMax, connectionsMax } = this.#bounds;
    return [
      {
        limit: "held_bytes",
        value: this.#heldBytes,
        max: heldBytesMax,
        weight: held,
      },
      {
        limit: "resident_bytes",
        value: this.#largeBytes,
        max: this.#largeBytesMax,
        weight: largeHolding,
      },
      {
        limit: "connections",
        value: this.#charges.size,
        max: connectionsMax,
        weight: () => 1,
      },
    ];
  }

  /** In the order in which they are closed; see the class. */
  #inOrder(weight: Limit["weight"]): [Connection, ClientCharge][] {
    const ranked = [...this.#charges].map(
      ([connection, charge]) =>
        ({ connection, charge, rank: rankOf(charge) }) as const,
    );
    ranked.sort((a, b) => {
      if (a.rank !== b.rank) return a.rank - b.rank;
      const byCost =
        costOf(b.charge, b.rank, weight) - costOf(a.charge, a.rank, weight);
      return byCost || a.charge.progressAt - b.charge.progressAt;
    });
    return ranked.map(({ connection, charge }) => [connection, charge]);
  }
}

/** Connections of a lower rank are closed before those of a higher one. */
const RANK = { neverCompleted: 0, completed: 1, waiting: 2 } as const;

function rankOf({ hasCompleted, isWaiting }: ClientCharge): number {
  if (isWaiting()) return RANK.waiting;
  return hasCompleted ? RANK.completed : RANK.neverCompleted;
}

/** What decides between connections of a rank, before the time of their progress. */
function costOf(
  charge: ClientCharge,
  rank: number,
  weight: Limit["weight"],
): number {
  if (rank === RANK.waiting) return charge.heldBytes;
  return rank === RANK.neverCompleted ? weight(charge) : 0;
}

/** What counts for a bound, and how much of it the end of a connection frees. */
interface Limit {
  readonly limit: ClientLimit;
  readonly value: number;
  readonly max: number;
  readonly weight: (charge: ClientCharge | undefined) => number;
}

/** Closing a connection that holds nothing would free next to nothing. */
function held(charge: ClientCharge | undefined): number {
  return charge?.heldBytes ? CONNECTION_BYTES + charge.heldBytes : 0;
}

function largeHolding(charge: ClientCharge | undefined): number {
  const bytes = charge?.heldBytes ?? 0;
  return bytes >= LARGE_HOLDING_BYTES ? bytes : 0;
}
