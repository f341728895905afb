import { backendServerKey, type Clock } from "#model";
import type { ServerRecord, Tombstone } from "./messages.ts";
import { isPossibleIncarnation } from "./plausibility.ts";
import { DEFAULT_LIMITS, TOMBSTONE_TTL_MS } from "./timings.ts";

/**
 * Leaves of one server that are kept. A server hardly starts and leaves more often
 * while a clock is wrong.
 */
const MAX_LEAVES_PER_SERVER = 4;

/**
 * Servers whose records or leaves name a start ahead of this process's clock. It may
 * be the clock that is wrong: they count once it has reached the start.
 */
export class AheadOfClock {
  readonly #clock: Pick<Clock, "wallTime">;
  /** The earliest start that is ahead, by the key of its server. */
  readonly #records = new Map<string, number>();
  readonly #leaves = new Map<string, readonly Tombstone[]>();

  constructor(clock: Pick<Clock, "wallTime">) {
    this.#clock = clock;
  }

  /** Notes which of a server's records are ahead; replaces what was noted. */
  noteRecords(key: string, records: Iterable<ServerRecord>): void {
    const wallTime = this.#clock.wallTime();
    let earliest = Number.POSITIVE_INFINITY;
    for (const { server } of records) {
      if (isPossibleIncarnation(server, wallTime)) continue;
      earliest = Math.min(earliest, server.incarnation);
    }
    if (earliest < Number.POSITIVE_INFINITY) this.#records.set(key, earliest);
    else this.#records.delete(key);
  }

  /** Keeps a leave if its start is ahead; false if it is not. */
  keepLeave(leave: Tombstone): boolean {
    if (isPossibleIncarnation(leave, this.#clock.wallTime())) return false;
    const key = backendServerKey(leave);
    const isFull = this.#leaves.size >= DEFAULT_LIMITS.tombstones;
    if (isFull && !this.#leaves.has(key)) return true;
    const others = (this.#leaves.get(key) ?? []).filter(
      ({ incarnation }) => incarnation !== leave.incarnation,
    );
    // The highest starts are the least likely ones.
    const kept = [...others, leave]
      .sort((a, b) => a.incarnation - b.incarnation)
      .slice(0, MAX_LEAVES_PER_SERVER);
    this.#leaves.set(key, kept);
    return true;
  }

  /** Removes and returns the leaves of a server that count by now. */
  takeDueLeaves(key: string, now: number): readonly Tombstone[] {
    const leaves = this.#leaves.get(key);
    if (!leaves) return [];
    const due = leaves.filter((leave) => this.#isDue(leave, now));
    const kept = leaves.filter(
      (leave) => !due.includes(leave) && leave.keptUntil > now,
    );
    if (kept.length > 0) this.#leaves.set(key, kept);
    else this.#leaves.delete(key);
    return due;
  }

  /** The servers that have to be looked at again. */
  due(now: number): string[] {
    const wallTime = this.#clock.wallTime();
    const keys = [...this.#records]
      .filter(([, incarnation]) =>
        isPossibleIncarnation({ incarnation }, wallTime),
      )
      .map(([key]) => key);
    for (const [key, leaves] of this.#leaves) {
      const isOver = ({ keptUntil }: Tombstone) => keptUntil <= now;
      if (leaves.some((leave) => isOver(leave) || this.#isDue(leave, now)))
        keys.push(key);
    }
    return keys;
  }

  /**
   * Whether a leave was possible when it was recorded, by the present clock. One that
   * was ahead of a clock that was right never counts: it would end servers that
   * start later.
   */
  #isDue(leave: Tombstone, now: number): boolean {
    const ageMs = TOMBSTONE_TTL_MS - (leave.keptUntil - now);
    const recordedAt = this.#clock.wallTime() - ageMs;
    return leave.keptUntil > now && isPossibleIncarnation(leave, recordedAt);
  }
}
