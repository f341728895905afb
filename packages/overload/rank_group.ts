import { Heap } from "#admission";
import type { RankedCall } from "./call_order.ts";
import { MovingRate } from "./room.ts";
import { type RankedNode, TenantFlow } from "./tenant_flow.ts";

/** Number of flows from which those that have got no more than their share go. */
const MIN_DROP_SIZE = 256;

/** Time constant of the rates by which ranks are compared. */
const COMPARISON_MS = 2_000;

/** Waiting and started work of the calls of one rank with similar work. */
export interface WorkLevel {
  backlogMs: number;
  readonly started: MovingRate;
}

/** The waiting calls of one rank, shared fairly between tenants. */
export class RankGroup<T extends RankedCall> {
  readonly rank: number;
  readonly #flows = new Map<string, TenantFlow<T>>();
  /** Flows with waiting calls; the one that has got least goes first. */
  readonly #active = new Heap<TenantFlow<T>>(
    (a, b) =>
      a.virtualTime < b.virtualTime ||
      (a.virtualTime === b.virtualTime &&
        (a.calls.peek()?.key ?? 0) < (b.calls.peek()?.key ?? 0)),
  );
  readonly #largest = new Heap<TenantFlow<T>["eviction"]>(
    (a, b) => a.flow.excess > b.flow.excess,
  );
  readonly late = new Heap<RankedNode<T>>(
    (a, b) =>
      a.item.latestStart < b.item.latestStart ||
      (a.item.latestStart === b.item.latestStart && a.order < b.order),
  );
  /** Calls that can meet their objective, the first to become late first. */
  readonly levels = new Map<number, WorkLevel>();
  readonly started = new MovingRate();
  /** Started and offered work, to compare how well ranks are served. */
  readonly served = {
    started: new MovingRate(COMPARISON_MS),
    offered: new MovingRate(COMPARISON_MS),
  };
  #virtualTime = 0;
  #dropAt = MIN_DROP_SIZE;
  #weights = 0;
  backlogMs = 0;
  count = 0;
  /** Work of its guaranteed share that it has not got while it waited. */
  owedMs = 0;

  constructor(rank: number) {
    this.rank = rank;
  }

  /** Adds a call of a tenant with this weight. */
  add(node: RankedNode<T>, weight: number): void {
    const flow = this.#flow(node);
    if (flow.calls.size === 0) {
      flow.weight = weight;
      flow.virtualTime = Math.max(flow.virtualTime, this.#virtualTime);
      this.#weights += weight;
      flow.add(node);
      this.#active.push(flow);
      this.#largest.push(flow.eviction);
    } else {
      flow.add(node);
      this.#active.update(flow);
      this.#largest.update(flow.eviction);
    }
    this.count += 1;
    this.backlogMs += node.workMs;
    this.level(node.workMs).backlogMs += node.workMs;
  }

  /** Removes a call; `taken` if it starts. */
  remove(node: RankedNode<T>, options: { taken: boolean; now: number }): void {
    if (options.taken) this.#recordStart(node, options.now);
    if (node.isLate) {
      this.late.remove(node);
      return;
    }
    const flow = this.#flow(node);
    flow.remove(node);
    if (options.taken) {
      this.#virtualTime = Math.max(this.#virtualTime, flow.virtualTime);
      flow.virtualTime += node.workMs / flow.weight;
    }
    this.count -= 1;
    this.backlogMs = this.count === 0 ? 0 : this.backlogMs - node.workMs;
    const level = this.level(node.workMs);
    level.backlogMs = this.count === 0 ? 0 : level.backlogMs - node.workMs;
    if (flow.calls.size > 0) {
      this.#active.update(flow);
      this.#largest.update(flow.eviction);
      return;
    }
    this.#active.remove(flow);
    this.#largest.remove(flow.eviction);
    this.#weights = this.#active.size === 0 ? 0 : this.#weights - flow.weight;
    if (this.#flows.size > this.#dropAt) this.#dropIdleFlows();
  }

  /**
   * Counts work of a tenant that started in a higher rank, so that a surge there
   * is made up for by the same tenant's calls of this rank.
   */
  charge(tenant: string, virtualMs: number): void {
    if (this.#active.size === 0) return;
    const flow = this.#flowOf(tenant);
    flow.virtualTime =
      Math.max(flow.virtualTime, this.#virtualTime) + virtualMs;
    if (flow.calls.size > 0) this.#active.update(flow);
  }

  /** The next call that can meet its objective. */
  first(): RankedNode<T> | undefined {
    return this.#active.peek()?.calls.peek();
  }

  /** The call whose refusal costs least. */
  worst(): RankedNode<T> | undefined {
    return this.#largest.peek()?.flow.worst();
  }

  /** Work that starts before a new call of a tenant because of its share. */
  shareBacklogMs(tenant: string, weight: number): number {
    const flow = this.#flows.get(tenant);
    if (!flow || flow.calls.size === 0) {
      return flow && flow.virtualTime > this.#virtualTime
        ? (flow.virtualTime - this.#virtualTime) * (this.#weights + weight)
        : 0;
    }
    const aheadMs = flow.virtualTime - this.#virtualTime;
    return (flow.excess + Math.max(0, aheadMs)) * this.#weights;
  }

  /** The level of calls with work of this order of magnitude. */
  level(workMs: number): WorkLevel {
    const magnitude = levelOf(workMs);
    const known = this.levels.get(magnitude);
    if (known) return known;
    const created = { backlogMs: 0, started: new MovingRate() };
    this.levels.set(magnitude, created);
    return created;
  }

  #recordStart(node: RankedNode<T>, now: number): void {
    this.started.add(node.workMs, now);
    this.served.started.add(node.workMs, now);
    this.level(node.workMs).started.add(node.workMs, now);
  }

  #flow({ item }: RankedNode<T>): TenantFlow<T> {
    return this.#flowOf(item.tenant ?? "");
  }

  #flowOf(tenant: string): TenantFlow<T> {
    const known = this.#flows.get(tenant);
    if (known) return known;
    const created = new TenantFlow<T>(tenant);
    this.#flows.set(tenant, created);
    return created;
  }

  /** Drops tenants that have no calls and no more than their share. */
  #dropIdleFlows(): void {
    for (const [tenant, flow] of this.#flows) {
      if (flow.calls.size > 0 || flow.virtualTime > this.#virtualTime) continue;
      this.#flows.delete(tenant);
    }
    // Twice the rest, so that the cost per call stays constant.
    this.#dropAt = Math.max(MIN_DROP_SIZE, 2 * this.#flows.size);
  }
}

/** Calls whose work differs by less than a factor of two share a level. */
export function levelOf(workMs: number): number {
  return Math.floor(Math.log2(Math.max(1, workMs)));
}
