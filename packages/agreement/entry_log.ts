import { EMPTY_MEMBERSHIP, type Membership } from "./members.ts";

/**
 * One entry of the log. An entry without command and membership has no effect;
 * a new leader appends one.
 */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** Id of the request that the entry settles. */
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

/** The position of the last compacted entry. */
interface LogBase {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
}

/** Estimated bytes that an entry adds to a message besides its command. */
const ENTRY_OVERHEAD_BYTES = 128;

/**
 * The part of the log that is kept in memory: the entries after the base, up to
 * which the log is compacted.
 */
export class EntryLog {
  #base: LogBase;
  #entries: LogEntry[] = [];
  /** Indices of the entries that hold a membership, ascending. */
  #memberships: number[] = [];

  constructor(base: Partial<LogBase> = {}) {
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

  /** The newest membership; it applies even before it is committed. */
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

  get(index: number): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** The term of an entry; undefined if it is compacted or does not exist. */
  term(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.get(index)?.term;
  }

  /**
   * The entries of a range, limited to about `maxBytes`; a first entry that is
   * larger is returned nevertheless.
   */
  range(from: number, to: number, maxBytes = Number.POSITIVE_INFINITY) {
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (let index = from; index <= to; index++) {
      const entry = this.get(index);
      if (!entry) break;
      bytes += ENTRY_OVERHEAD_BYTES + (entry.command?.length ?? 0);
      if (bytes > maxBytes && entries.length > 0) break;
      entries.push(entry);
    }
    return entries;
  }

  /**
   * Counts back from `to` as many entries as fit into the limits, and returns
   * the index before them.
   */
  indexBeforeTail(
    to: number,
    limits: { entries: number; bytes: number },
  ): number {
    let index = to;
    let bytes = 0;
    while (index > this.#base.index && to - index < limits.entries) {
      bytes += ENTRY_OVERHEAD_BYTES + (this.get(index)?.command?.length ?? 0);
      if (bytes > limits.bytes) break;
      index--;
    }
    return index;
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
    if (entry.membership) this.#memberships.push(entry.index);
  }

  /** Removes all entries from an index on. */
  truncate(from: number): void {
    const kept = Math.max(0, from - this.#base.index - 1);
    this.#entries.length = Math.min(this.#entries.length, kept);
    this.#memberships = this.#memberships.filter((index) => index < from);
  }

  /** Removes the entries up to an index, which a snapshot covers. */
  compact(to: number): void {
    const term = this.term(to);
    if (term === undefined || to <= this.#base.index) return;
    const membership = this.membershipAt(to);
    this.#entries.splice(0, to - this.#base.index);
    this.#memberships = this.#memberships.filter((index) => index > to);
    this.#base = { index: to, term, membership };
  }

  /** Removes all entries and restarts the log at a new base. */
  reset(base: LogBase): void {
    this.#base = base;
    this.#entries = [];
    this.#memberships = [];
  }
}
