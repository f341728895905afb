import type { Entry, HostId, View } from "#model";
import type {
  EntryHeartbeat,
  RelayedHeartbeat,
  StopReport,
} from "./messages.ts";

/** Time without a heartbeat after which control removes an entry. */
export const ENTRY_LEASE_MS = 6_000;

/** The newest heartbeat that a control host knows of an entry. */
export interface EntryStatus {
  readonly id: HostId;
  readonly incarnation: number;
  readonly version: number;
  /** Time of the heartbeat on this control host's clock, in milliseconds. */
  readonly heartbeatAt: number;
  readonly stops: readonly StopReport[];
  readonly entry: Entry | undefined;
}

/** Newest heartbeats of entries, received directly or from control hosts. */
export class EntryTable {
  readonly #entries = new Map<HostId, EntryStatus>();
  #unrelayedIds = new Set<HostId>();

  /** Records a heartbeat that an entry sent to this control host. */
  recordHeartbeat(
    from: { readonly id: HostId; readonly incarnation: number },
    { entry, version, stops }: Omit<EntryHeartbeat, "sequence">,
    now: number,
  ): void {
    const { id, incarnation } = from;
    const status = { id, incarnation, version, heartbeatAt: now, stops, entry };
    if (this.#merge(status)) this.#unrelayedIds.add(id);
  }

  /** Merges heartbeats that another control host has relayed. */
  mergeRelayed(sightings: readonly RelayedHeartbeat[], now: number): void {
    for (const [id, incarnation, version, ageMs, stops, entry] of sightings) {
      const heartbeatAt = now - Math.max(0, ageMs);
      this.#merge({ id, incarnation, version, heartbeatAt, stops, entry });
    }
  }

  /** Returns the heartbeats not relayed yet and marks them as relayed. */
  takeUnrelayedHeartbeats(view: View, now: number): RelayedHeartbeat[] {
    const agreed = new Map(view.entries.map((entry) => [entry.id, entry]));
    const sightings = [...this.#unrelayedIds].flatMap(
      (id): RelayedHeartbeat[] => {
        const status = this.#entries.get(id);
        if (!status) return [];
        const { incarnation, version, heartbeatAt, stops, entry } = status;
        const isAgreed = sameEntry(agreed.get(id), entry);
        const ageMs = Math.round(now - heartbeatAt);
        if (isAgreed || !entry)
          return [[id, incarnation, version, ageMs, stops]];
        return [[id, incarnation, version, ageMs, stops, entry]];
      },
    );
    this.#unrelayedIds = new Set();
    return sightings;
  }

  get(id: HostId): EntryStatus | undefined {
    return this.#entries.get(id);
  }

  all(): EntryStatus[] {
    return [...this.#entries.values()];
  }

  /** Entries with a heartbeat within the lease. */
  liveEntries(now: number): EntryStatus[] {
    return this.all().filter(
      ({ heartbeatAt }) => now - heartbeatAt <= ENTRY_LEASE_MS,
    );
  }

  /** Removes entries whose last heartbeat is older than `olderThanMs`. */
  removeSilent(olderThanMs: number, now: number): void {
    for (const [id, { heartbeatAt }] of this.#entries) {
      if (now - heartbeatAt > olderThanMs) this.#entries.delete(id);
    }
  }

  #merge(status: EntryStatus): boolean {
    const known = this.#entries.get(status.id);
    if (known && known.incarnation > status.incarnation) return false;
    if (!known || known.incarnation < status.incarnation) {
      this.#entries.set(status.id, status);
      return true;
    }
    const isNewer = status.heartbeatAt >= known.heartbeatAt;
    this.#entries.set(status.id, {
      ...(isNewer ? status : known),
      version: Math.max(known.version, status.version),
      entry: isNewer ? (status.entry ?? known.entry) : known.entry,
    });
    return isNewer;
  }
}

export function sameEntry(a: Entry | undefined, b: Entry | undefined): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
