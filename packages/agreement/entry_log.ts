import { EMPTY_MEMBERSHIP, type Membership } from "./members.ts";

/** One position of the log. Without command and membership it is empty. */
export interface Entry {
  readonly index: number;
  readonly term: number;
  /** The request that the entry settles. */
  readonly id?: string;
  readonly command?: Uint8Array;
  readonly membership?: Membership;
}

/** The state machine's state after the entry at `index`. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly bytes: Uint8Array;
}

interface Base {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
}

/** Bytes that an entry adds to a message besides its command. */
const ENTRY_OVERHEAD = 128;

/** The entries that are kept in memory, after a base that is compacted. */
export class EntryLog {
  #base: Base;
  #entries: Entry[] = [];
  /** Indices of the entries that carry a membership, ascending. */
  #memberships: number[] = [];

  constructor(base: Partial<Base> = {}) {
    this.#base = {
      index: base.index ?? 0,
      term: base.term ?? 0,
      membership: base.membership ?? EMPTY_MEMBERSHIP,
    };
  }

  get baseIndex(): number {
    return this.#base.index;
  }

  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#base.term;
  }

  /** The newest membership, which is in force even before it is committed. */
  get membership(): Membership {
    return this.membershipAt(this.lastIndex);
  }

  get membershipIndex(): number {
    return this.#memberships.at(-1) ?? this.#base.index;
  }

  membershipAt(index: number): Membership {
    const at = this.#memberships.findLast((i) => i <= index);
    const entry = at === undefined ? undefined : this.get(at);
    return entry?.membership ?? this.#base.membership;
  }

  get(index: number): Entry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** The term at an index; undefined if compacted or not yet written. */
  term(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.get(index)?.term;
  }

  /** Entries of a range, cut at about `maxBytes` but never empty for it. */
  range(from: number, to: number, maxBytes = Number.POSITIVE_INFINITY) {
    const entries: Entry[] = [];
    let bytes = 0;
    for (let index = from; index <= to; index++) {
      const entry = this.get(index);
      if (!entry) break;
      bytes += ENTRY_OVERHEAD + (entry.command?.length ?? 0);
      if (bytes > maxBytes && entries.length > 0) break;
      entries.push(entry);
    }
    return entries;
  }

  /** The index before the last entries up to `to` that fit into the limits. */
  startOfTail(to: number, limits: { entries: number; bytes: number }): number {
    let index = to;
    let bytes = 0;
    while (index > this.#base.index && to - index < limits.entries) {
      bytes += ENTRY_OVERHEAD + (this.get(index)?.command?.length ?? 0);
      if (bytes > limits.bytes) break;
      index--;
    }
    return index;
  }

  append(entry: Entry): void {
    this.#entries.push(entry);
    if (entry.membership) this.#memberships.push(entry.index);
  }

  /** Removes the entries from an index on. */
  truncate(from: number): void {
    const kept = Math.max(0, from - this.#base.index - 1);
    this.#entries.length = Math.min(this.#entries.length, kept);
    this.#memberships = this.#memberships.filter((index) => index < from);
  }

  /** Forgets the entries up to an index, which a snapshot covers. */
  compact(to: number): void {
    const term = this.term(to);
    if (term === undefined || to <= this.#base.index) return;
    const membership = this.membershipAt(to);
    this.#entries.splice(0, to - this.#base.index);
    this.#memberships = this.#memberships.filter((index) => index > to);
    this.#base = { index: to, term, membership };
  }

  /** Replaces all that is held by a snapshot's position. */
  reset(base: Base): void {
    this.#base = base;
    this.#entries = [];
    this.#memberships = [];
  }
}
