import { Heap, type OfferResult } from "#admission";
import type { Priority } from "#model";
import {
  type RankedCall,
  rankOf,
  type WaitingQueue,
  workOf,
} from "./call_order.ts";
import { levelOf, RankGroup } from "./rank_group.ts";
import { type Capacity, workPerMs } from "./room.ts";
import { type RankedNode, rankedNode } from "./tenant_flow.ts";
import { TenantWeights } from "./tenant_weights.ts";

/**
 * Share of the started work that a lower rank gets if its calls wait and no
 * rank above is served worse; less if there are more than two lower ranks. With
 * 0.1, about half of the short calls of the last of three ranks missed their
 * objective in replayed overloads; 0.2 cost the middle rank up to 4.4 points.
 */
export const LOWER_RANK_SHARE = 0.15;
/** Share of the started work that all lower ranks get together at most. */
const LOWER_RANKS_SHARE = 2 * LOWER_RANK_SHARE;

/** Expected wait of a call, and the room that its rank has. */
export interface ExpectedWait {
  readonly waitMs: number;
  readonly workPerMs: number;
}

/** A node in the order in which calls become late. */
interface Due<T extends RankedCall> {
  readonly node: RankedNode<T>;
  readonly at: number;
  heapIndex: number;
}

interface Entry<T extends RankedCall> {
  readonly node: RankedNode<T>;
  readonly group: RankGroup<T>;
  readonly due: Due<T>;
  readonly expiry: Due<T>;
}

/**
 * A bounded queue of ranked calls. Calls that can still meet their objective go
 * before late ones, then by rank, then by fair shares of the tenants, then
 * short work and early objectives first. Lower ranks get a small guaranteed
 * share. Each operation takes logarithmic time in the number of calls.
 */
export class RankedQueue<T extends RankedCall> implements WaitingQueue<T> {
  readonly #entries = new Map<string, Entry<T>>();
  /** By rank, the most urgent one first. */
  #groups: RankGroup<T>[] = [];
  readonly #due = new Heap<Due<T>>((a, b) => a.at < b.at);
  readonly #expiries = new Heap<Due<T>>((a, b) => a.at < b.at);
  readonly #weights = new TenantWeights();
  #limit: number;
  #order = 0;
  #now = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  get length(): number {
    return this.#entries.size;
  }

  setLimit(limit: number): void {
    this.#limit = limit;
  }

  lengthOf(priority: Priority): number {
    return this.items().filter((item) => item.priority === priority).length;
  }

  /** Calls that can meet their objective and go before a new one. */
  countAhead(priority: Priority): number {
    const groups =
      priority === "urgent" ? this.#groups.slice(0, 1) : this.#groups;
    return groups.reduce((sum, { count }) => sum + count, 0);
  }

  has(id: string): boolean {
    return this.#entries.has(id);
  }

  items(): T[] {
    return [...this.#entries.values()].map(({ node }) => node.item);
  }

  /** Records the work of a new call, also if it is refused. */
  recordOffer(item: T, now: number): void {
    this.#now = now;
    const workMs = workOf(item);
    this.#group(rankOf(item)).served.offered.add(workMs, now);
    if (item.tenant !== undefined) {
      this.#weights.record(item.tenant, workMs, now);
    }
  }

  /**
   * Queues a call. A full queue gives up the call that costs least: a late one
   * or one of a lower rank, of the tenant with the most waiting work by its
   * share, with the most work.
   */
  offer(item: T): OfferResult<T> {
    if (this.#entries.has(item.id)) return { type: "queued" };
    if (this.length < this.#limit) {
      this.#add(item);
      return { type: "queued" };
    }
    const evicted = this.#worst(item);
    if (!evicted) return { type: "full" };
    this.remove(evicted.id);
    this.#add(item);
    return { type: "queued_instead", evicted };
  }

  /** Queues a call that has waited before, also beyond the limit. */
  putBack(item: T): void {
    if (!this.#entries.has(item.id)) this.#add(item);
  }

  first(priority: Priority): T | undefined {
    const groups =
      priority === "urgent" ? this.#groups.slice(0, 1) : this.#groups.slice(1);
    for (const group of groups) {
      const node = group.first() ?? group.late.peek();
      if (node) return node.item;
    }
    return undefined;
  }

  peek(): T | undefined {
    return this.#next()?.item;
  }

  take(): T | undefined {
    const node = this.#next();
    return node && this.takeById(node.item.id);
  }

  takeById(id: string): T | undefined {
    const entry = this.#entries.get(id);
    if (!entry) return undefined;
    this.#settle(entry);
    return this.#remove(entry, true);
  }

  /** Whether entries must not start their own calls out of turn. */
  get patientDue(): boolean {
    // Only the dispatcher knows the order of ranks and tenants.
    return this.length > 0;
  }

  remove(id: string): T | undefined {
    const entry = this.#entries.get(id);
    return entry && this.#remove(entry, false);
  }

  moveLateCalls(now: number): void {
    this.#now = now;
    for (let due = this.#due.peek(); due && due.at < now; ) {
      const entry = this.#entries.get(due.node.item.id);
      this.#due.remove(due);
      if (entry) this.#moveLate(entry);
      due = this.#due.peek();
    }
  }

  lateCalls(): T[] {
    return this.#groups.flatMap(({ late }) =>
      [...late.items()]
        .sort((a, b) => a.item.latestStart - b.item.latestStart)
        .map(({ item }) => item),
    );
  }

  get onTimeCount(): number {
    return this.#groups.reduce((sum, { count }) => sum + count, 0);
  }

  /** Work of the calls that can meet their objective, in milliseconds. */
  get onTimeWorkMs(): number {
    return this.#groups.reduce((sum, { backlogMs }) => sum + backlogMs, 0);
  }

  expire(now: number): T[] {
    this.moveLateCalls(now);
    const expired: T[] = [];
    for (let due = this.#expiries.peek(); due && due.at < now; ) {
      const { item } = due.node;
      this.remove(item.id);
      expired.push(item);
      due = this.#expiries.peek();
    }
    return expired;
  }

  /** Removes a late call that cannot start in time behind the others. */
  takeHopeless(capacity: Capacity, now: number): T | undefined {
    const node = this.#expiries.peek()?.node;
    if (!node?.isLate) return undefined;
    const waitMs = this.onTimeWorkMs / workPerMs(capacity);
    if (now + waitMs <= node.item.latestStart) return undefined;
    return this.remove(node.item.id);
  }

  /**
   * Expected wait of a new call: the work ahead of it divided by the room that
   * ranks above and shorter calls of its rank leave, or its guaranteed share if
   * that is more.
   */
  expectedWait(item: T, capacity: Capacity, now: number): ExpectedWait {
    const room = workPerMs(capacity);
    const rank = rankOf(item);
    const magnitude = levelOf(workOf(item));
    let aheadMs = 0;
    let usedPerMs = 0;
    let ownMs = 0;
    for (const group of this.#groups) {
      if (group.rank < rank) {
        aheadMs += group.backlogMs;
        usedPerMs += group.started.perMs(now);
      }
      if (group.rank !== rank) continue;
      for (const [level, { backlogMs, started }] of group.levels) {
        if (level > magnitude) continue;
        ownMs += backlogMs;
        if (level < magnitude) usedPerMs += started.perMs(now);
      }
      const tenant = item.tenant ?? "";
      const weight = this.#weight(item);
      ownMs = Math.min(ownMs, group.shareBacklogMs(tenant, weight));
    }
    const guaranteed = room * this.#guaranteedShare();
    const left = Math.max(room - usedPerMs, guaranteed);
    const { soonestMs = 0 } = capacity;
    const waitMs = Math.max(soonestMs, (aheadMs + ownMs) / left);
    if (rank === this.#groups[0]?.rank) return { waitMs, workPerMs: left };
    const sharedMs = Math.max(soonestMs, ownMs / guaranteed);
    const isEntitled = this.#servedWorse(rank, now);
    return {
      waitMs: isEntitled ? Math.min(waitMs, sharedMs) : waitMs,
      workPerMs: left,
    };
  }

  #weight({ tenant }: T): number {
    return tenant === undefined ? 1 : this.#weights.weight(tenant, this.#now);
  }

  #group(rank: number): RankGroup<T> {
    const known = this.#groups.find((group) => group.rank === rank);
    if (known) return known;
    const created = new RankGroup<T>(rank);
    this.#groups = [...this.#groups, created].sort((a, b) => a.rank - b.rank);
    return created;
  }

  #add(item: T): void {
    const node = rankedNode(item, this.#order++);
    const group = this.#group(rankOf(item));
    const { latestStart, targetStart = latestStart } = item;
    const due = { node, at: targetStart, heapIndex: -1 };
    const expiry = { node, at: latestStart, heapIndex: -1 };
    this.#entries.set(item.id, { node, group, due, expiry });
    group.add(node, this.#weight(item));
    this.#due.push(due);
    this.#expiries.push(expiry);
  }

  #remove(entry: Entry<T>, taken: boolean): T {
    const { node, group, due, expiry } = entry;
    this.#entries.delete(node.item.id);
    group.remove(node, { taken, now: this.#now });
    if (taken) this.#chargeLowerRanks(node, group);
    this.#due.remove(due);
    this.#expiries.remove(expiry);
    return node.item;
  }

  /** Counts started work to the tenant's share of the ranks below, too. */
  #chargeLowerRanks({ item, workMs }: RankedNode<T>, from: RankGroup<T>): void {
    if (item.tenant === undefined) return;
    for (const group of this.#groups) {
      if (group.rank > from.rank) {
        group.charge(item.tenant, workMs / this.#weight(item));
      }
    }
  }

  #moveLate({ node, group }: Entry<T>): void {
    group.remove(node, { taken: false, now: this.#now });
    node.isLate = true;
    group.late.push(node);
  }

  #next(): RankedNode<T> | undefined {
    const owed = this.#owedRank()?.first();
    if (owed) return owed;
    for (const group of this.#groups) {
      const node = group.first();
      if (node) return node;
    }
    for (const { late } of this.#groups) {
      const node = late.peek();
      if (node) return node;
    }
    return undefined;
  }

  /** A lower rank that has waited for its guaranteed share of the work. */
  #owedRank(): RankGroup<T> | undefined {
    return this.#groups.find(
      (group) =>
        group.owedMs > 0 && group.owedMs >= (group.first()?.workMs ?? 0),
    );
  }

  /** Accounts for started work to the lower ranks that wait meanwhile. */
  #settle(entry: Entry<T>): void {
    const { workMs } = entry.node;
    const share = this.#guaranteedShare();
    for (const [index, group] of this.#groups.entries()) {
      if (index === 0 || group.count === 0) {
        group.owedMs = 0;
        continue;
      }
      if (this.#servedWorse(group.rank, this.#now)) {
        const mostMs = 2 * (group.first()?.workMs ?? 0);
        group.owedMs = Math.min(mostMs, group.owedMs + share * workMs);
      }
      if (group === entry.group) {
        group.owedMs = Math.max(0, group.owedMs - workMs);
      }
    }
  }

  #guaranteedShare(): number {
    const lowerRanks = Math.max(1, this.#groups.length - 1);
    return Math.min(LOWER_RANK_SHARE, LOWER_RANKS_SHARE / lowerRanks);
  }

  /** Whether less of a rank's work starts than of each rank above. */
  #servedWorse(rank: number, now: number): boolean {
    const share = ({ served }: RankGroup<T>) => {
      const offeredPerMs = served.offered.perMs(now);
      return offeredPerMs > 0 ? served.started.perMs(now) / offeredPerMs : 1;
    };
    const own = this.#groups.find((group) => group.rank === rank);
    if (!own) return true;
    const ownShare = share(own);
    return this.#groups.every((g) => g.rank >= rank || share(g) >= ownShare);
  }

  /** The waiting call that is worth less than a new one. */
  #worst(item: T): T | undefined {
    const rank = rankOf(item);
    for (const group of this.#groups.toReversed()) {
      if (group.rank < rank) break;
      const late = group.late.leaf();
      if (late) return late.item;
    }
    for (const group of this.#groups.toReversed()) {
      if (group.rank < rank) return undefined;
      const worst = group.worst();
      if (!worst) continue;
      if (group.rank > rank) return worst.item;
      const ownExcess = group.shareBacklogMs(
        item.tenant ?? "",
        this.#weight(item),
      );
      const worstExcess = group.shareBacklogMs(
        worst.item.tenant ?? "",
        this.#weight(worst.item),
      );
      const isSameTenant = worst.item.tenant === item.tenant;
      if (isSameTenant)
        return worst.workMs > workOf(item) ? worst.item : undefined;
      return worstExcess > ownExcess ? worst.item : undefined;
    }
    return undefined;
  }
}
