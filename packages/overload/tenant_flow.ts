import { Heap } from "#admission";
import { type RankedCall, workOf } from "./call_order.ts";

/**
 * Time by which a call goes later per millisecond of its work, so that short
 * work goes first where both calls can meet their objectives.
 */
const WORK_PENALTY = 1;

/** A waiting call in a `RankGroup`. */
export interface RankedNode<T extends RankedCall> {
  readonly item: T;
  readonly order: number;
  readonly workMs: number;
  /** Calls start in the order of their keys. */
  readonly key: number;
  isLate: boolean;
  heapIndex: number;
  /** Place of the node in the order in which calls are evicted. */
  readonly eviction: { readonly node: RankedNode<T>; heapIndex: number };
}

/** Creates a node; `order` grows with each call. */
export function rankedNode<T extends RankedCall>(
  item: T,
  order: number,
): RankedNode<T> {
  const workMs = workOf(item);
  const key = (item.targetStart ?? item.latestStart) + WORK_PENALTY * workMs;
  const base = { item, order, workMs, key, isLate: false, heapIndex: -1 };
  const node = base as typeof base & {
    eviction: { node: RankedNode<T>; heapIndex: number };
  };
  node.eviction = { node, heapIndex: -1 };
  return node;
}

/** The waiting calls of one tenant and rank that can meet their objective. */
export class TenantFlow<T extends RankedCall> {
  readonly tenant: string;
  readonly calls = new Heap<RankedNode<T>>(precedes);
  readonly #evictions = new Heap<RankedNode<T>["eviction"]>(
    (a, b) =>
      a.node.workMs > b.node.workMs ||
      (a.node.workMs === b.node.workMs && precedes(b.node, a.node)),
  );
  /** Work started so far by weight, on the virtual clock of the rank. */
  virtualTime = 0;
  /** Share of the room relative to the mean tenant; set while calls wait. */
  weight = 1;
  /** Work of the waiting calls, in milliseconds. */
  backlogMs = 0;
  heapIndex = -1;
  /** Place in the order in which tenants lose calls. */
  readonly eviction = { flow: this, heapIndex: -1 };

  constructor(tenant: string) {
    this.tenant = tenant;
  }

  /** Waiting work by the tenant's share: who has most loses a call first. */
  get excess(): number {
    return this.backlogMs / this.weight;
  }

  add(node: RankedNode<T>): void {
    this.calls.push(node);
    this.#evictions.push(node.eviction);
    this.backlogMs += node.workMs;
  }

  remove(node: RankedNode<T>): void {
    this.calls.remove(node);
    this.#evictions.remove(node.eviction);
    this.backlogMs = this.calls.size === 0 ? 0 : this.backlogMs - node.workMs;
  }

  /** The call whose refusal costs least: the most work, then the last one. */
  worst(): RankedNode<T> | undefined {
    return this.#evictions.peek()?.node;
  }
}

/** Whether a node goes before another one of the same tenant. */
export function precedes<T extends RankedCall>(
  a: RankedNode<T>,
  b: RankedNode<T>,
): boolean {
  return a.key < b.key || (a.key === b.key && a.order < b.order);
}
