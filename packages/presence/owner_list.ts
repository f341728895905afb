import { backendServerKey, type HostId } from "#model";
import { splitIntoMessages } from "./message_parts.ts";
import {
  decodePut,
  encodeLeave,
  encodePut,
  type Operation,
  type Position,
  type ServerRecord,
  type StateMessage,
  type SummaryMessage,
  type Tombstone,
} from "./messages.ts";
import { packRecord } from "./packed_records.ts";
import { TOMBSTONE_TTL_MS } from "./timings.ts";

/**
 * The records and tombstones that one entry owns, at that entry or as a
 * replica. All replicas apply the same operations in the same order, so that a
 * summary needs no server ids: its records are in the order of the list.
 */
export class OwnerList {
  readonly owner: HostId;
  readonly incarnation: number;
  readonly records = new Map<string, ServerRecord>();
  readonly tombstones = new Map<string, Tombstone>();
  version = 0;
  /** Round of the newest summary or state; -1 before the first. */
  round = -1;
  load = 0;
  stopping = false;
  /** Time of the last summary or state with anything new, in milliseconds. */
  lastHeardAt = Number.NEGATIVE_INFINITY;
  /** True if operations are known to be missing. */
  incomplete = false;
  readonly #receivedParts = new Map<number, readonly Operation[]>();
  #receivedPartsOf = "";

  constructor(owner: HostId, incarnation: number) {
    this.owner = owner;
    this.incarnation = incarnation;
  }

  get position(): Position {
    return [this.owner, this.incarnation, this.version, this.round];
  }

  /** Whether this list is newer than a position in the same owner's list. */
  isNewerThan([, incarnation, version, round]: Position): boolean {
    if (this.incarnation !== incarnation) return this.incarnation > incarnation;
    if (this.version !== version) return this.version > version;
    return this.round > round;
  }

  /** Applies one operation and returns the key of its server. */
  apply(operation: Operation, at: number): string {
    const [type, service, id] = operation;
    const key = backendServerKey({ service, id });
    if (type === 0) this.records.set(key, decodePut(operation, at));
    if (type === 1) this.records.delete(key);
    if (type === 2) {
      const [, , , incarnation, keepMs] = operation;
      const record = this.records.get(key);
      if (record && record.server.incarnation <= incarnation) {
        this.records.delete(key);
      }
      const keptUntil = at + Math.min(keepMs, TOMBSTONE_TTL_MS);
      this.tombstones.set(key, { service, id, incarnation, keptUntil });
    }
    return key;
  }

  encodeSummary(now: number): SummaryMessage {
    const packedRecords = new Uint8Array(this.records.size);
    let index = 0;
    for (const { server, expiresAt } of this.records.values()) {
      packedRecords[index] = packRecord(server, expiresAt - now);
      index++;
    }
    return [...this.position, this.load, this.stopping, packedRecords, 0];
  }

  /** The whole list in parts that fit into a message each. */
  encodeState(now: number): StateMessage[] {
    const operations: Operation[] = [];
    for (const tombstone of this.tombstones.values()) {
      if (tombstone.keptUntil > now)
        operations.push(encodeLeave(tombstone, now));
    }
    // Tombstones come first, so that they cannot remove a later incarnation.
    for (const record of this.records.values()) {
      operations.push(encodePut(record, now));
    }
    const messages = splitIntoMessages(operations);
    // An empty list is sent, too: the receiver has to remove its records.
    const parts = messages.length > 0 ? messages : [[]];
    return parts.map((partOperations, part) => [
      ...this.position,
      this.load,
      this.stopping,
      part,
      parts.length,
      partOperations,
    ]);
  }

  /** Keeps a part; returns all operations once every part has arrived. */
  addStatePart(message: StateMessage): readonly Operation[] | undefined {
    const [, incarnation, version, round, , , part, parts, operations] =
      message;
    const stateId = `${incarnation} ${version} ${round} ${parts}`;
    if (stateId !== this.#receivedPartsOf) this.#receivedParts.clear();
    this.#receivedPartsOf = stateId;
    this.#receivedParts.set(part, operations);
    if (this.#receivedParts.size < parts) return undefined;
    const all = Array.from({ length: parts }, (_, i) =>
      this.#receivedParts.get(i),
    );
    this.#receivedParts.clear();
    return all.flatMap((part) => part ?? []);
  }

  dropExpiredTombstones(now: number): void {
    for (const [key, { keptUntil }] of this.tombstones) {
      if (keptUntil <= now) this.tombstones.delete(key);
    }
  }
}
