import type { HostId, Randomness } from "#model";
import type { Effects } from "./effects.ts";
import {
  type ChangesMessage,
  type Operation,
  type Position,
  RECORDS_PER_MESSAGE,
  type StateMessage,
  type SummaryMessage,
} from "./messages.ts";
import { OwnerList } from "./owner_list.ts";
import { remainingLease, unpackLoad } from "./packed_records.ts";
import { listName, type ServerTable } from "./server_table.ts";
import { ASK_EVERY_MS } from "./timings.ts";

/** Silence after which a list is forgotten: all its leases have long ended. */
const FORGET_MS = 60_000;

/** Where a message came from, and where its effects go. */
export interface Receipt {
  readonly from: HostId;
  readonly now: number;
  /** Earlier than now if the message may have waited in a buffer. */
  readonly receivedAt: number;
  readonly effects: Effects;
}

/** The replicas of the other entries' lists. */
export class Replication {
  readonly #self: HostId;
  readonly #incarnation: number;
  readonly #table: ServerTable;
  readonly #randomness: Randomness;
  readonly #lists = new Map<string, OwnerList>();
  /** The newest incarnation's list of each owner. */
  readonly #newest = new Map<HostId, OwnerList>();
  #askedAt = Number.NEGATIVE_INFINITY;

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

  /** Applies changes; false if they bring nothing new. */
  changes(message: ChangesMessage, receipt: Receipt): boolean {
    const [owner, incarnation, from, operations] = message;
    const list = this.#list(owner, incarnation);
    if (!list || list.version >= from + operations.length) return false;
    if (list.version < from) {
      this.#gap(list, receipt);
      return false;
    }
    this.#apply(list, {
      operations: operations.slice(list.version - from),
      ...receipt,
    });
    list.version = from + operations.length;
    return true;
  }

  /** Renews the records of a list; false if it brings nothing new. */
  summary(message: SummaryMessage, receipt: Receipt): boolean {
    const [owner, incarnation, version, round, ...rest] = message;
    const [load, stopping, records, heldMs] = rest;
    const list = this.#list(owner, incarnation);
    if (!list || version < list.version) return false;
    if (version > list.version || records.length !== list.copies.size) {
      this.#gap(list, receipt);
      return false;
    }
    if (round <= list.round) return false;
    const receivedAt = receipt.receivedAt - heldMs;
    this.#renew(list, { ...receipt, records, receivedAt });
    Object.assign(list, { round, load, stopping, heardAt: receipt.now });
    list.behind = false;
    return true;
  }

  /** Takes a part of a whole list. */
  state(message: StateMessage, receipt: Receipt): void {
    const [owner, incarnation, version, round, load, stopping] = message;
    const list = this.#list(owner, incarnation, { former: true });
    if (!list || !isAfter([owner, incarnation, version, round], list)) return;
    const operations = list.assemble(message);
    if (!operations) return;
    const name = listName(owner, incarnation);
    const before = [...list.copies.keys()];
    list.copies.clear();
    for (const key of before) this.#table.remove(name, key);
    this.#apply(list, { operations, ...receipt });
    for (const key of before) this.#table.refresh(key, receipt);
    Object.assign(list, { version, round, load, stopping });
    list.heardAt = receipt.now;
    list.behind = false;
  }

  /** Answers a question about any list. */
  answer(
    ask: readonly Position[],
    { own, receipt }: { own: OwnerList; receipt: Receipt },
  ): void {
    for (const position of ask) {
      const held = [...this.#lists.values(), own].filter(
        (list) => list.owner === position[0] && !list.behind,
      );
      for (const list of held) {
        if (!list.isAhead(position)) continue;
        for (const payload of list.state(receipt.now, RECORDS_PER_MESSAGE)) {
          const message = { kind: "presence_state", payload } as const;
          receipt.effects.send([receipt.from], message);
        }
      }
    }
  }

  /** Asks for the lists that are silent or known to be incomplete. */
  ask(options: {
    expected: Iterable<HostId>;
    peers: readonly HostId[];
    silentMs: number;
    now: number;
    effects: Effects;
  }): void {
    const { peers, now, effects } = options;
    if (now - this.#askedAt < ASK_EVERY_MS || peers.length === 0) return;
    const wanted = this.#incomplete(options);
    if (wanted.length === 0) return;
    this.#askedAt = now;
    // The owner itself may be reachable even if its relays are not.
    for (const position of wanted) {
      if (!peers.includes(position[0])) continue;
      effects.send([position[0]], {
        kind: "presence_ask",
        payload: [position],
      });
    }
    const helper = peers[this.#randomness.below(peers.length)] ?? "";
    effects.send([helper], { kind: "presence_ask", payload: wanted });
  }

  /** Whether the list of an entry is complete. */
  isComplete(owner: HostId): boolean {
    const list = this.#newest.get(owner);
    return list !== undefined && !list.behind && list.round >= 0;
  }

  /** Forgets the lists of entries that have been silent for long. */
  prune(now: number): void {
    for (const [name, list] of this.#lists) {
      list.prune(now);
      if (list.heardAt === Number.NEGATIVE_INFINITY) list.heardAt = now;
      if (now - list.heardAt < FORGET_MS) continue;
      for (const key of list.copies.keys()) this.#table.remove(name, key);
      this.#lists.delete(name);
      if (this.#newest.get(list.owner) === list) {
        this.#newest.delete(list.owner);
      }
    }
  }

  #incomplete(options: {
    expected: Iterable<HostId>;
    silentMs: number;
    now: number;
  }): Position[] {
    const { now, silentMs } = options;
    const owners = new Set(options.expected);
    for (const { owner, behind } of this.#newest.values()) {
      if (behind) owners.add(owner);
    }
    owners.delete(this.#self);
    const wanted: Position[] = [];
    for (const owner of owners) {
      const list = this.#newest.get(owner);
      if (list && !list.behind && now - list.heardAt < silentMs) continue;
      wanted.push(list?.position ?? [owner, 0, 0, -1]);
    }
    return wanted;
  }

  /**
   * The list of an owner's incarnation; none for the own one. A list of a
   * former incarnation stays until its leases have ended, because servers run
   * on while their entry restarts; it starts only with a whole state.
   */
  #list(
    owner: HostId,
    incarnation: number,
    { former = false } = {},
  ): OwnerList | undefined {
    const name = listName(owner, incarnation);
    const known = this.#lists.get(name);
    if (known) return known;
    const isOwn = owner === this.#self;
    const newest = isOwn ? this.#incarnation : this.newest(owner)?.incarnation;
    if (newest === incarnation) return undefined;
    const isFormer = newest !== undefined && newest > incarnation;
    if (isOwn ? !isFormer : isFormer && !former) return undefined;
    const list = new OwnerList(owner, incarnation);
    this.#lists.set(name, list);
    if (!isFormer) this.#newest.set(owner, list);
    return list;
  }

  #gap(list: OwnerList, { from, now, effects }: Receipt): void {
    list.behind = true;
    if (now - list.askedAt < ASK_EVERY_MS) return;
    list.askedAt = now;
    const payload = [list.position];
    effects.send([from], { kind: "presence_ask", payload });
  }

  #apply(
    list: OwnerList,
    options: {
      operations: readonly Operation[];
      now: number;
      receivedAt: number;
      effects: Effects;
    },
  ): void {
    const { operations, now, receivedAt, effects } = options;
    const name = listName(list.owner, list.incarnation);
    for (const operation of operations) {
      const key = list.apply(operation, receivedAt);
      const copy = list.copies.get(key);
      if (copy) this.#table.put(name, copy);
      else this.#table.remove(name, key);
      const tomb = list.leaves.get(key);
      if (operation[0] === 2 && tomb) this.#table.bury(tomb);
      this.#table.refresh(key, { now, effects });
    }
  }

  #renew(
    list: OwnerList,
    options: {
      records: Uint8Array;
      now: number;
      receivedAt: number;
      effects: Effects;
    },
  ): void {
    const { records, now, receivedAt } = options;
    let index = 0;
    for (const [key, copy] of list.copies) {
      const packed = records[index] ?? 0;
      index++;
      const ended = copy.expires <= now;
      copy.expires = receivedAt + remainingLease(packed);
      this.#table.noteEnd(copy.expires);
      const inFlight = unpackLoad(packed, copy.server.slots);
      const changed = inFlight !== copy.server.inFlight;
      if (changed) copy.server = { ...copy.server, inFlight };
      if (changed || ended || copy.expires <= now) {
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
