import type {
  ClusterBinding,
  Entry,
  MemberKey,
  Snapshot,
  StorageWrite,
  StoredState,
} from "#agreement";

/** The state that a sequence of writes leaves behind. */
export class StoredLog {
  readonly identity: string;
  founding: ClusterBinding | undefined;
  term = 0;
  vote: MemberKey | undefined;
  snapshot: Snapshot | undefined;
  /** Entries without gaps; may begin at or before the snapshot. */
  #entries: Entry[] = [];

  constructor(identity: string) {
    this.identity = identity;
  }

  get firstIndex(): number | undefined {
    return this.#entries[0]?.index;
  }

  get lastIndex(): number {
    return this.#entries.at(-1)?.index ?? this.snapshot?.index ?? 0;
  }

  /** False if the write does not follow on from those before it. */
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
        this.#forget(write.snapshot.index);
        return true;
    }
  }

  /** Drops all entries, which a snapshot contradicts. */
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

  /** The entries after the snapshot and all else, as the core needs them. */
  state(): StoredState {
    const { identity, founding, term, vote, snapshot } = this;
    const after = snapshot?.index ?? 0;
    const entries = this.#entries.filter(({ index }) => index > after);
    return { identity, founding, term, vote, snapshot, entries };
  }

  #append(entries: readonly Entry[]): boolean {
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

  #forget(upTo: number): void {
    const first = this.#entries[0]?.index;
    if (first === undefined || upTo < first) return;
    this.#entries = this.#entries.slice(upTo - first + 1);
  }
}
