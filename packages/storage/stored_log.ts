import type {
  ClusterBinding,
  LogEntry,
  MemberKey,
  Snapshot,
  StorageWrite,
  StoredState,
} from "#agreement";

/** The stored state that results from applying a sequence of writes. */
export class StoredLog {
  readonly identity: string;
  founding: ClusterBinding | undefined;
  term = 0;
  vote: MemberKey | undefined;
  snapshot: Snapshot | undefined;
  /** Consecutive entries; the first ones may be covered by the snapshot. */
  #entries: LogEntry[] = [];

  constructor(identity: string) {
    this.identity = identity;
  }

  get firstIndex(): number | undefined {
    return this.#entries[0]?.index;
  }

  get lastIndex(): number {
    return this.#entries.at(-1)?.index ?? this.snapshot?.index ?? 0;
  }

  /** Applies a write; returns false if it would leave a gap in the log. */
  apply(write: StorageWrite): boolean {
    switch (write.type) {
      case "founding":
        this.founding = write.founding;
        return true;
      case "vote":
        this.term = write.term;
        this.vote = write.vote;
        return true;
      case "entries":
        return this.#append(write.entries);
      case "snapshot":
        this.snapshot = write.snapshot;
        if (!write.keepLog) this.#entries = [];
        this.#removeUpTo(write.snapshot.index);
        return true;
    }
  }

  /** Removes all entries. */
  clearEntries(): void {
    this.#entries = [];
  }

  copy(): StoredLog {
    const copy = new StoredLog(this.identity);
    copy.founding = this.founding;
    copy.term = this.term;
    copy.vote = this.vote;
    copy.snapshot = this.snapshot;
    copy.#entries = [...this.#entries];
    return copy;
  }

  /**
   * The state as the consensus core loads it: entries after the snapshot only.
   */
  state(): StoredState {
    const { identity, founding, term, vote, snapshot } = this;
    const after = snapshot?.index ?? 0;
    const entries = this.#entries.filter(({ index }) => index > after);
    return { identity, founding, term, vote, snapshot, entries };
  }

  #append(entries: readonly LogEntry[]): boolean {
    for (const entry of entries) {
      const first = this.#entries[0]?.index;
      if (first === undefined || entry.index <= first) {
        this.#entries = [entry];
        continue;
      }
      const position = entry.index - first;
      if (position > this.#entries.length) return false;
      this.#entries.length = position;
      this.#entries.push(entry);
    }
    return true;
  }

  #removeUpTo(upTo: number): void {
    const first = this.#entries[0]?.index;
    if (first === undefined || upTo < first) return;
    this.#entries = this.#entries.slice(upTo - first + 1);
  }
}
