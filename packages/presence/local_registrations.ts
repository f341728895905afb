import {
  type BackendServer,
  backendServerKey,
  type HostId,
  hasSameAddress,
} from "#model";
import type { Effects } from "./effects.ts";
import { splitIntoMessages } from "./message_parts.ts";
import {
  coldUntilOf,
  decodePut,
  encodeLeave,
  type LeaveOperation,
  type Operation,
  type PutOperation,
  type ServerRecord,
  type Tombstone,
} from "./messages.ts";
import type { Publisher } from "./publisher.ts";
import { type ServerTable, sameContent, sameWarmUp } from "./server_table.ts";

interface Context {
  readonly now: number;
  readonly effects: Effects;
}

/**
 * The servers that announce themselves to this entry. Keeps this entry's list
 * consistent with the server table and resolves conflicts with other entries'
 * lists.
 */
export class LocalRegistrations {
  readonly publisher: Publisher;
  readonly #table: ServerTable;
  readonly #changeTargets: () => readonly HostId[];
  readonly #connected: ReadonlySet<HostId>;

  constructor(options: {
    publisher: Publisher;
    table: ServerTable;
    changeTargets: () => readonly HostId[];
    connected: ReadonlySet<HostId>;
  }) {
    this.publisher = options.publisher;
    this.#table = options.table;
    this.#changeTargets = options.changeTargets;
    this.#connected = options.connected;
  }

  /** Registers a server or renews its lease; the checks have passed. */
  accept(
    server: BackendServer,
    context: { key: string; now: number; effects: Effects },
  ): void {
    const { key, now } = context;
    const current = this.publisher.records.get(key);
    const isRepeated =
      current?.server.incarnation === server.incarnation &&
      current.server.sequence === server.sequence &&
      hasSameAddress(current.server, server);
    // May be an old duplicate, which must not renew the lease.
    if (current && isRepeated && current.expiresAt > now) return;
    // If another entry has a newer record, only a sent record overrides it: a
    // summary carries no sequence.
    const isNewest =
      current !== undefined && this.#table.current(key) === current;
    const coldUntil = coldUntilOf(server, now);
    const isUnchanged =
      isNewest &&
      sameContent(current.server, server) &&
      sameWarmUp(current, { coldUntil }, now);
    if (isUnchanged) {
      this.publisher.renewLease(current, { server, now });
    } else {
      this.publisher.addRecord(server, now);
    }
    this.updateTable(key, context);
  }

  /** Adds a tombstone to this entry's list and sends it immediately. */
  publishLeave(
    tombstone: Tombstone,
    context: { now: number; effects: Effects },
  ): void {
    this.publisher.addTombstone(tombstone, context.now);
    this.#table.addTombstone(tombstone);
    this.updateTable(backendServerKey(tombstone), context);
    this.publisher.sendPendingChanges(this.#changeTargets(), context);
  }

  /** Copies a server's record, or its absence, from the list to the table. */
  updateTable(key: string, context: { now: number; effects: Effects }): void {
    const record = this.publisher.records.get(key);
    if (record) this.#table.put(this.publisher.listId, record);
    else this.#table.remove(this.publisher.listId, key);
    this.#table.refresh(key, context);
  }

  /**
   * Resolves conflicts after operations on another entry's list: removes local
   * records that have left, sends that entry the leaves that its list
   * contradicts, and publishes local records again that an older one replaced.
   */
  reconcile(
    received: { owner: HostId; operations: readonly Operation[] },
    context: Context,
  ): void {
    const contradictingLeaves: LeaveOperation[] = [];
    for (const operation of received.operations) {
      const key = backendServerKey({ service: operation[1], id: operation[2] });
      const local = this.publisher.records.get(key);
      const tombstone = this.#table.tombstone(key);
      if (
        operation[0] === 0 &&
        tombstone &&
        tombstone.incarnation >= operation[6]
      ) {
        contradictingLeaves.push(encodeLeave(tombstone, context.now));
      }
      if (
        local &&
        tombstone &&
        tombstone.incarnation >= local.server.incarnation
      ) {
        this.publishLeave(tombstone, context);
      } else if (local && operation[0] === 0) {
        this.#reassert(local, operation, context);
      }
    }
    if (!this.#connected.has(received.owner)) return;
    for (const payload of splitIntoMessages(contradictingLeaves)) {
      const message = { kind: "presence_leaves", payload } as const;
      context.effects.send([received.owner], message);
    }
  }

  /**
   * Publishes a local record again if it is newer than another entry's: that
   * announcement was delayed and arrived after a newer one.
   */
  #reassert(local: ServerRecord, remote: PutOperation, context: Context): void {
    const key = backendServerKey(local.server);
    if (this.#table.current(key) !== local) return;
    const { now } = context;
    const { server, coldUntil } = decodePut(remote, now);
    const isSame = sameWarmUp(local, { coldUntil }, now);
    if (isSame && sameContent(local.server, server)) return;
    this.publisher.addRecord(local.server, context.now, local);
    this.updateTable(key, context);
  }

  /** Removes the records whose lease has expired. */
  expire(context: Context): void {
    for (const key of this.publisher.expire(context.now))
      this.updateTable(key, context);
  }
}
