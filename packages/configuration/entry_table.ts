import type { Entry, HostId, View } from "#model";
import type { Confirmation, Sighting, StopReport } from "./messages.ts";

/** Silence after which control takes an entry out of the view. */
export const ENTRY_LEASE_MS = 6_000;

/** What a control host knows of an entry's process. */
export interface EntryStatus {
  readonly id: HostId;
  readonly incarnation: number;
  readonly version: number;
  /** On this control host's clock. */
  readonly seenAt: number;
  readonly stops: readonly StopReport[];
  readonly entry: Entry | undefined;
}

/** The heartbeats of entries, heard directly or from other control hosts. */
export class EntryTable {
  readonly #entries = new Map<HostId, EntryStatus>();
  #unrelayed = new Set<HostId>();

  /** An entry's heartbeat arrived here. */
  confirmed(
    from: { readonly id: HostId; readonly incarnation: number },
    { entry, version, stops }: Omit<Confirmation, "sequence">,
    now: number,
  ): void {
    const { id, incarnation } = from;
    const status = { id, incarnation, version, seenAt: now, stops, entry };
    if (this.#merge(status)) this.#unrelayed.add(id);
  }

  /** Another control host heard from entries. */
  relayed(sightings: readonly Sighting[], now: number): void {
    for (const [id, incarnation, version, ageMs, stops, entry] of sightings) {
      const seenAt = now - Math.max(0, ageMs);
      this.#merge({ id, incarnation, version, seenAt, stops, entry });
    }
  }

  /** What other control hosts have not been told yet. */
  takeSightings(view: View, now: number): Sighting[] {
    const agreed = new Map(view.entries.map((entry) => [entry.id, entry]));
    const sightings = [...this.#unrelayed].flatMap((id): Sighting[] => {
      const status = this.#entries.get(id);
      if (!status) return [];
      const { incarnation, version, seenAt, stops, entry } = status;
      const known = sameEntry(agreed.get(id), entry);
      const ageMs = Math.round(now - seenAt);
      if (known || !entry) return [[id, incarnation, version, ageMs, stops]];
      return [[id, incarnation, version, ageMs, stops, entry]];
    });
    this.#unrelayed = new Set();
    return sightings;
  }

  get(id: HostId): EntryStatus | undefined {
    return this.#entries.get(id);
  }

  all(): EntryStatus[] {
    return [...this.#entries.values()];
  }

  /** Entries heard from within the lease. */
  live(now: number): EntryStatus[] {
    return this.all().filter(({ seenAt }) => now - seenAt <= ENTRY_LEASE_MS);
  }

  /** Drops entries that were not heard from for a long time. */
  forget(olderThanMs: number, now: number): void {
    for (const [id, { seenAt }] of this.#entries) {
      if (now - seenAt > olderThanMs) this.#entries.delete(id);
    }
  }

  #merge(status: EntryStatus): boolean {
    const known = this.#entries.get(status.id);
    if (known && known.incarnation > status.incarnation) return false;
    if (!known || known.incarnation < status.incarnation) {
      this.#entries.set(status.id, status);
      return true;
    }
    const newer = status.seenAt >= known.seenAt;
    this.#entries.set(status.id, {
      ...(newer ? status : known),
      version: Math.max(known.version, status.version),
      entry: newer ? (status.entry ?? known.entry) : known.entry,
    });
    return newer;
  }
}

/** Whether two records of an entry say the same. */
export function sameEntry(a: Entry | undefined, b: Entry | undefined): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
