import type { View } from "#model";

/**
 * Time for which an entry that left the view still counts. It may not know of that
 * yet, and vote until its configuration is too old and its last vote has ended.
 */
const RETENTION_MS = 6_000;

/** Number of entries that may vote, over which the tenants' rates are divided. */
export class EntryCount {
  #current: ReadonlySet<string> = new Set();
  readonly #removed = new Map<string, number>();

  configure({ entries }: View, now: number): void {
    const next = new Set(entries.map(({ id }) => id));
    for (const id of this.#current) {
      if (!next.has(id)) this.#removed.set(id, now);
    }
    for (const id of next) this.#removed.delete(id);
    this.#current = next;
  }

  count(now: number): number {
    for (const [id, at] of this.#removed) {
      if (now - at >= RETENTION_MS) this.#removed.delete(id);
    }
    return Math.max(1, this.#current.size + this.#removed.size);
  }
}
