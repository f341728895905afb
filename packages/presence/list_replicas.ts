import type { HostId, Randomness } from "#model";
import type { Effects } from "./effects.ts";
import type {
  ChangesMessage,
  Operation,
  Position,
  StateMessage,
  SummaryMessage,
} from "./messages.ts";
import { OwnerList } from "./owner_list.ts";
import { remainingLease, unpackLoad } from "./packed_records.ts";
import { RequestPace } from "./request_pace.ts";
import { listId, type ServerTable } from "./server_table.ts";
import { REQUEST_ROUND_INTERVAL_MS } from "./timings.ts";

/** Silence after which a list is deleted; its leases expired long before. */
const FORGET_AFTER_MS = 60_000;

/** Origin and time of a received message, and the collector of its effects. */
export interface MessageContext {
  readonly from: HostId;
  readonly now: number;
  /** Earliest arrival; before `now` if the message may have been buffered. */
  readonly receivedAt: number;
  readonly effects: Effects;
}

/** Replicates the other entries' lists and requests what is missing. */
export class ListReplicas {
  readonly #self: HostId;
  readonly #incarnation: number;
  readonly #table: ServerTable;
  readonly #randomness: Randomness;
  readonly #lists = new Map<string, OwnerList>();
  /** The list of each owner's newest known incarnation. */
  readonly #newest = new Map<HostId, OwnerList>();
  /** Of the requested lists by id; that of an unknown one has incarnation 0. */
  readonly #paces = new Map<string, RequestPace>();
  #lastRequestRoundAt = Number.NEGATIVE_INFINITY;

  constructor(options: {
    self: HostId;
    incarnation: number;
    table: ServerTable;
    randomness: Randomness;
  }) {
    this.#self = options.self;
    this.#incarnation = options.incarnation;
    this.#table = options.table;
    this.#randomness = options.randomness;
  }

  newest(owner: HostId): OwnerList | undefined {
    return this.#newest.get(owner);
  }

  owners(): Iterable<OwnerList> {
    return this.#newest.values();
  }

  /** Applies changes to a list; false if nothing was applied. */
  applyChanges(message: ChangesMessage, context: MessageContext): boolean {
    const [owner, incarnation, from, operations] = message;
    const list = this.#findOrCreateList(owner, incarnation);
    if (!list || list.version >= from + operations.length) return false;
    if (list.version < from) {
      this.#requestMissingChanges(list, context);
      return false;
    }
    this.#applyOperations(list, {
      operations: operations.slice(list.version - from),
      ...context,
    });
    list.version = from + operations.length;
    return true;
  }

  /** Renews the leases in a list; false if the summary was not applied. */
  applySummary(message: SummaryMessage, context: MessageContext): boolean {
    const [owner, incarnation, version, round, ...rest] = message;
    const [load, stopping, packedRecords, heldMs] = rest;
    const list = this.#findOrCreateList(owner, incarnation);
    if (!list || version < list.version) return false;
    if (version > list.version || packedRecords.length !== list.records.size) {
      this.#requestMissingChanges(list, context);
      return false;
    }
    if (round <= list.round) return false;
    const receivedAt = context.receivedAt - heldMs;
    this.#renewLeases(list, { ...context, packedRecords, receivedAt });
    Object.assign(list, { round, load, stopping, lastHeardAt: context.now });
    list.incomplete = false;
    this.#paces.get(listId(owner, incarnation))?.handleAnswer();
    return true;
  }

  /** Replaces a list once all parts of a newer state have arrived. */
  applyState(message: StateMessage, context: MessageContext): void {
    const [owner, incarnation, version, round, load, stopping] = message;
    const list = this.#findOrCreateList(owner, incarnation, {
      allowFormer: true,
    });
    if (!list || !isAfter([owner, incarnation, version, round], list)) return;
    const id = listId(owner, incarnation);
    this.#paces.get(id)?.handleAnswer();
    const operations = list.addStatePart(message);
    if (!operations) return;
    const formerKeys = [...list.records.keys()];
    list.records.clear();
    for (const key of formerKeys) this.#table.remove(id, key);
    this.#applyOperations(list, { operations, ...context });
    for (const key of formerKeys) this.#table.refresh(key, context);
    Object.assign(list, { version, round, load, stopping });
    list.lastHeardAt = context.now;
    list.incomplete = false;
  }

  /** Sends every list that is newer than the requested positions. */
  answerStateRequest(
    positions: readonly Position[],
    { localList, context }: { localList: OwnerList; context: MessageContext },
  ): void {
    for (const position of positions) {
      const known = [...this.#lists.values(), localList].filter(
        (list) => list.owner === position[0] && !list.incomplete,
      );
      for (const list of known) {
        if (!list.isNewerThan(position)) continue;
        for (const payload of list.encodeState(context.now)) {
          const message = { kind: "presence_state", payload } as const;
          context.effects.send([context.from], message);
        }
      }
    }
  }

  /** Requests the lists that are silent, unknown or known to be incomplete. */
  requestMissingStates(options: {
    expectedOwners: Iterable<HostId>;
    peers: readonly HostId[];
    silentMs: number;
    now: number;
    effects: Effects;
  }): void {
    const { peers, now, effects } = options;
    if (
      now - this.#lastRequestRoundAt < REQUEST_ROUND_INTERVAL_MS ||
      peers.length === 0
    )
      return;
    const due = this.#incompletePositions(options).filter((position) =>
      this.#paceOf(position).isDue(now),
    );
    if (due.length === 0) return;
    this.#lastRequestRoundAt = now;
    // The owner may be reachable even if the relays to this entry are not.
    for (const position of due) {
      this.#paceOf(position).handleRequest(now);
      if (!peers.includes(position[0])) continue;
      effects.send([position[0]], {
        kind: "presence_ask",
        payload: [position],
      });
    }
    const randomPeer = peers[this.#randomness.below(peers.length)] ?? "";
    effects.send([randomPeer], { kind: "presence_ask", payload: due });
  }

  /** Whether an entry's list is known without gaps. */
  isComplete(owner: HostId): boolean {
    const list = this.#newest.get(owner);
    return list !== undefined && !list.incomplete && list.round >= 0;
  }

  /** Deletes the lists of entries that were silent for `FORGET_AFTER_MS`. */
  forgetSilentLists(now: number): void {
    for (const [id, list] of this.#lists) {
      list.dropExpiredTombstones(now);
      if (list.lastHeardAt === Number.NEGATIVE_INFINITY) list.lastHeardAt = now;
      if (now - list.lastHeardAt < FORGET_AFTER_MS) continue;
      for (const key of list.records.keys()) this.#table.remove(id, key);
      this.#lists.delete(id);
      if (this.#newest.get(list.owner) === list) {
        this.#newest.delete(list.owner);
      }
    }
    for (const [id, { requestedAt }] of this.#paces) {
      if (now - requestedAt >= FORGET_AFTER_MS) this.#paces.delete(id);
    }
  }

  #paceOf([owner, incarnation]: Position): RequestPace {
    const id = listId(owner, incarnation);
    const known = this.#paces.get(id);
    if (known) return known;
    const pace = new RequestPace(this.#randomness);
    this.#paces.set(id, pace);
    return pace;
  }

  #incompletePositions(options: {
    expectedOwners: Iterable<HostId>;
    silentMs: number;
    now: number;
  }): Position[] {
    const { now, silentMs } = options;
    const owners = new Set(options.expectedOwners);
    for (const { owner, incomplete } of this.#newest.values()) {
      if (incomplete) owners.add(owner);
    }
    owners.delete(this.#self);
    const positions: Position[] = [];
    for (const owner of owners) {
      const list = this.#newest.get(owner);
      if (list && !list.incomplete && now - list.lastHeardAt < silentMs)
        continue;
      positions.push(list?.position ?? [owner, 0, 0, -1]);
    }
    return positions;
  }

  /**
   * The list of an owner's incarnation; undefined for this entry's own list. A
   * list of a former incarnation is kept until its leases have expired, because
   * servers keep running while their entry restarts. A former list that is not
   * known yet is created only from a whole state (`allowFormer`), or if it is
   * one of this entry's.
   */
  #findOrCreateList(
    owner: HostId,
    incarnation: number,
    { allowFormer = false } = {},
  ): OwnerList | undefined {
    const id = listId(owner, incarnation);
    const known = this.#lists.get(id);
    if (known) return known;
    const isOwn = owner === this.#self;
    const newest = isOwn ? this.#incarnation : this.newest(owner)?.incarnation;
    if (newest === incarnation) return undefined;
    const isFormer = newest !== undefined && newest > incarnation;
    if (isOwn ? !isFormer : isFormer && !allowFormer) return undefined;
    const list = new OwnerList(owner, incarnation);
    this.#lists.set(id, list);
    if (!isFormer) this.#newest.set(owner, list);
    return list;
  }

  #requestMissingChanges(
    list: OwnerList,
    { from, now, effects }: MessageContext,
  ): void {
    list.incomplete = true;
    const pace = this.#paceOf(list.position);
    if (!pace.isDue(now)) return;
    pace.handleRequest(now);
    const payload = [list.position];
    effects.send([from], { kind: "presence_ask", payload });
  }

  #applyOperations(
    list: OwnerList,
    options: {
      operations: readonly Operation[];
      from: HostId;
      now: number;
      receivedAt: number;
      effects: Effects;
    },
  ): void {
    const { operations, from, now, receivedAt, effects } = options;
    const id = listId(list.owner, list.incarnation);
    for (const operation of operations) {
      const key = list.apply(operation, receivedAt);
      const record = list.records.get(key);
      if (record && !record.unusable) this.#table.put(id, record);
      else this.#table.remove(id, key);
      if (record?.unusable) {
        const { owner } = list;
        const { problem } = record.unusable;
        const [, service, serverId] = operation;
        effects.recordUnusable({ owner, from, service, id: serverId, problem });
      }
      const tombstone = list.tombstones.get(key);
      if (operation[0] === 2 && tombstone) this.#table.addTombstone(tombstone);
      this.#table.refresh(key, { now, effects });
    }
  }

  #renewLeases(
    list: OwnerList,
    options: {
      packedRecords: Uint8Array;
      now: number;
      receivedAt: number;
      effects: Effects;
    },
  ): void {
    const { packedRecords, now, receivedAt } = options;
    let index = 0;
    for (const [key, record] of list.records) {
      const packed = packedRecords[index] ?? 0;
      index++;
      if (record.unusable) continue;
      const wasExpired = record.expiresAt <= now;
      record.expiresAt = receivedAt + remainingLease(packed);
      this.#table.noteExpiry(record.expiresAt);
      const inFlight = unpackLoad(packed, record.server.slots);
      const loadChanged = inFlight !== record.server.inFlight;
      if (loadChanged) record.server = { ...record.server, inFlight };
      if (loadChanged || wasExpired || record.expiresAt <= now) {
        this.#table.refresh(key, options);
      }
    }
  }
}

function isAfter(position: Position, list: OwnerList): boolean {
  const [, incarnation, version, round] = position;
  if (incarnation !== list.incarnation) return incarnation > list.incarnation;
  if (version !== list.version) return version > list.version;
  return round > list.round;
}
