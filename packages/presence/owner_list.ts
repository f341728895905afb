import { backendServerKey, type HostId } from "#model";
import {
  type Copy,
  decodePut,
  encodeLeave,
  encodePut,
  type Operation,
  type Position,
  type StateMessage,
  type SummaryMessage,
  type Tombstone,
} from "./messages.ts";
import { packRecord } from "./packed_records.ts";

/**
 * The servers that announce themselves to one entry, at that entry or as a
 * replica. All replicas apply the same operations in the same order, so that
 * a summary needs no names: its ages are in the order of the list.
 */
export class OwnerList {
  readonly owner: HostId;
  readonly incarnation: number;
  readonly copies = new Map<string, Copy>();
  readonly leaves = new Map<string, Tombstone>();
  version = 0;
  /** -1 until the first summary or state has arrived. */
  round = -1;
  load = 0;
  stopping = false;
  /** Time of the last summary or state that brought something new. */
  heardAt = Number.NEGATIVE_INFINITY;
  /** Time of the last question about this list. */
  askedAt = Number.NEGATIVE_INFINITY;
  /** True where operations are known to be missing. */
  behind = false;
  readonly #parts = new Map<number, readonly Operation[]>();
  #partsOf = "";

  constructor(owner: HostId, incarnation: number) {
    this.owner = owner;
    this.incarnation = incarnation;
  }

  get position(): Position {
    return [this.owner, this.incarnation, this.version, this.round];
  }

  /** Whether this list is newer than a position of the same owner. */
  isAhead([, incarnation, version, round]: Position): boolean {
    if (this.incarnation !== incarnation) return this.incarnation > incarnation;
    if (this.version !== version) return this.version > version;
    return this.round > round;
  }

  /** Applies one operation and returns the key of the server it is about. */
  apply(operation: Operation, now: number): string {
    const [type, service, id] = operation;
    const key = backendServerKey({ service, id });
    if (type === 0) this.copies.set(key, decodePut(operation, now));
    if (type === 1) this.copies.delete(key);
    if (type === 2) {
      const [, , , incarnation, keepMs] = operation;
      const copy = this.copies.get(key);
      if (copy && copy.server.incarnation <= incarnation) {
        this.copies.delete(key);
      }
      const until = now + keepMs;
      this.leaves.set(key, { service, id, incarnation, until });
    }
    return key;
  }

  /** The summary of the list as it is now. */
  summary(now: number): SummaryMessage {
    const records = new Uint8Array(this.copies.size);
    let index = 0;
    for (const { server, expires } of this.copies.values()) {
      records[index] = packRecord(server, expires - now);
      index++;
    }
    return [...this.position, this.load, this.stopping, records, 0];
  }

  /** The whole list in parts of at most `size` records. */
  state(now: number, size: number): StateMessage[] {
    const operations: Operation[] = [];
    for (const tomb of this.leaves.values()) {
      if (tomb.until > now) operations.push(encodeLeave(tomb, now));
    }
    // Leaves come first: a put of a later incarnation must outlive them.
    for (const copy of this.copies.values()) {
      operations.push(encodePut(copy, now));
    }
    const parts = Math.max(1, Math.ceil(operations.length / size));
    return Array.from({ length: parts }, (_, part) => [
      ...this.position,
      this.load,
      this.stopping,
      part,
      parts,
      operations.slice(part * size, (part + 1) * size),
    ]);
  }

  /** Keeps a part and returns all operations once the last one is there. */
  assemble(message: StateMessage): readonly Operation[] | undefined {
    const [, incarnation, version, round, , , part, parts, operations] =
      message;
    const of = `${incarnation} ${version} ${round} ${parts}`;
    if (of !== this.#partsOf) this.#parts.clear();
    this.#partsOf = of;
    this.#parts.set(part, operations);
    if (this.#parts.size < parts) return undefined;
    const all = Array.from({ length: parts }, (_, i) => this.#parts.get(i));
    this.#parts.clear();
    return all.flatMap((some) => some ?? []);
  }

  /** Drops the leaves that need not be remembered any longer. */
  prune(now: number): void {
    for (const [key, { until }] of this.leaves) {
      if (until <= now) this.leaves.delete(key);
    }
  }
}
