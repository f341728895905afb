import type { Priority } from "#model";
import { Heap } from "./heap.ts";

/**
 * Of this many calls taken, at least one is patient if a patient call waits.
 */
export const PATIENT_INTERVAL = 10;

/** The properties of a waiting call that determine its place in the queue. */
export interface QueuedCall {
  readonly id: string;
  readonly priority: Priority;
  /** Latest useful start, in milliseconds of `Clock.now()`. */
  readonly latestStart: number;
  /** Latest start that meets the latency objective; `latestStart` if absent. */
  readonly targetStart?: number | undefined;
}

/**
 * Result of an offer; `evicted` is the call that was removed to make room for a
 * more urgent one.
 */
export type OfferResult<T> =
  | { readonly type: "queued" }
  | { readonly type: "queued_instead"; readonly evicted: T }
  | { readonly type: "full" };

interface QueueNode<T> {
  readonly item: T;
  readonly order: number;
  isLate: boolean;
  heapIndex: number;
}

type Heaps<T> = Record<Priority, Heap<QueueNode<T>>>;

const PRIORITIES = ["urgent", "patient"] as const;

/**
 * A bounded queue of calls that wait for a slot. Calls that can still meet
 * their latency objective go before those that are late, then urgent before
 * patient, then by the latest start, then by arrival. Serving the calls that
 * are on time first keeps a burst from making all calls late. Patient calls get
 * a small guaranteed share.
 */
export class CallQueue<T extends QueuedCall> {
  readonly #onTime: Heaps<T> = {
    urgent: new Heap(precedesByTarget),
    patient: new Heap(precedesByTarget),
  };
  readonly #late: Heaps<T> = {
    urgent: new Heap(precedesByLatestStart),
    patient: new Heap(precedesByLatestStart),
  };
  readonly #nodes = new Map<string, QueueNode<T>>();
  #limit: number;
  #order = 0;
  /** Urgent calls taken in a row while a patient call waited. */
  #urgentTaken = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  get length(): number {
    return this.#nodes.size;
  }

  /** Sets the maximum length; calls that already wait stay. */
  setLimit(limit: number): void {
    this.#limit = limit;
  }

  lengthOf(priority: Priority): number {
    return this.#onTime[priority].size + this.#late[priority].size;
  }

  /** Number of calls that go before a new call of this priority. */
  countAhead(priority: Priority): number {
    const { urgent, patient } = this.#onTime;
    return priority === "urgent" ? urgent.size : urgent.size + patient.size;
  }

  has(id: string): boolean {
    return this.#nodes.has(id);
  }

  items(): T[] {
    return [...this.#nodes.values()].map((node) => node.item);
  }

  offer(item: T): OfferResult<T> {
    if (this.#nodes.has(item.id)) return { type: "queued" };
    if (this.length < this.#limit) {
      this.#add(item);
      return { type: "queued" };
    }
    const evicted = this.#late.patient.leaf() ?? this.#onTime.patient.leaf();
    if (item.priority === "patient" || !evicted) return { type: "full" };
    this.remove(evicted.item.id);
    this.#add(item);
    return { type: "queued_instead", evicted: evicted.item };
  }

  /** Queues a call that has waited before, also beyond the limit. */
  putBack(item: T): void {
    if (!this.#nodes.has(item.id)) this.#add(item);
  }

  /** The first call of a priority. */
  first(priority: Priority): T | undefined {
    const node = this.#onTime[priority].peek() ?? this.#late[priority].peek();
    return node?.item;
  }

  /** The call that `take` would return. */
  peek(): T | undefined {
    return this.#nextHeap()?.peek()?.item;
  }

  take(): T | undefined {
    const node = this.#nextHeap()?.peek();
    return node && this.takeById(node.item.id);
  }

  /**
   * Takes a call out of turn; it counts towards the share of patient calls as
   * if it had been the next one.
   */
  takeById(id: string): T | undefined {
    const item = this.remove(id);
    if (!item) return undefined;
    const overtookPatient = item.priority === "urgent" && this.#patientWaits();
    this.#urgentTaken = overtookPatient ? this.#urgentTaken + 1 : 0;
    return item;
  }

  /** Whether a patient call goes next even if urgent calls wait. */
  get patientDue(): boolean {
    return this.#urgentTaken >= PATIENT_INTERVAL - 1 && this.#patientWaits();
  }

  remove(id: string): T | undefined {
    const node = this.#nodes.get(id);
    if (!node) return undefined;
    this.#nodes.delete(id);
    this.#heapOf(node).remove(node);
    return node.item;
  }

  /** Moves calls that can no longer meet their objective behind the others. */
  moveLateCalls(now: number): void {
    for (const priority of PRIORITIES) {
      const heap = this.#onTime[priority];
      for (;;) {
        const node = heap.peek();
        if (!node || orderingTime(node.item) >= now) break;
        if (node.item.targetStart === undefined) break;
        heap.remove(node);
        node.isLate = true;
        this.#late[priority].push(node);
      }
    }
  }

  /**
   * The late calls in the order in which they are served, urgent ones first.
   */
  lateCalls(): T[] {
    return PRIORITIES.flatMap((priority) =>
      [...this.#late[priority].items()]
        .sort((a, b) => (precedesByLatestStart(a, b) ? -1 : 1))
        .map(({ item }) => item),
    );
  }

  /** Number of calls that can still meet their objective. */
  get onTimeCount(): number {
    return this.#onTime.urgent.size + this.#onTime.patient.size;
  }

  /** Removes and returns the calls whose latest start is before `now`. */
  expire(now: number): T[] {
    this.moveLateCalls(now);
    const expired: T[] = [];
    for (const heaps of [this.#onTime, this.#late]) {
      for (const priority of PRIORITIES) {
        for (;;) {
          const node = heaps[priority].peek();
          if (!node || node.item.latestStart >= now) break;
          this.remove(node.item.id);
          expired.push(node.item);
        }
      }
    }
    return expired;
  }

  #add(item: T): void {
    const order = this.#order++;
    const node = { item, order, isLate: false, heapIndex: -1 };
    this.#nodes.set(item.id, node);
    this.#onTime[item.priority].push(node);
  }

  #heapOf(node: QueueNode<T>): Heap<QueueNode<T>> {
    return (node.isLate ? this.#late : this.#onTime)[node.item.priority];
  }

  #patientWaits(): boolean {
    return this.#onTime.patient.size > 0;
  }

  #nextHeap(): Heap<QueueNode<T>> | undefined {
    const { urgent, patient } = this.#onTime;
    if (urgent.size > 0 && !this.patientDue) return urgent;
    if (patient.size > 0) return patient;
    if (this.#late.urgent.size > 0) return this.#late.urgent;
    return this.#late.patient.size > 0 ? this.#late.patient : undefined;
  }
}

function orderingTime({ targetStart, latestStart }: QueuedCall): number {
  return targetStart ?? latestStart;
}

function precedesByTarget<T extends QueuedCall>(
  a: QueueNode<T>,
  b: QueueNode<T>,
): boolean {
  const difference = orderingTime(a.item) - orderingTime(b.item);
  return difference < 0 || (difference === 0 && a.order < b.order);
}

function precedesByLatestStart<T extends QueuedCall>(
  a: QueueNode<T>,
  b: QueueNode<T>,
): boolean {
  const difference = a.item.latestStart - b.item.latestStart;
  return difference < 0 || (difference === 0 && a.order < b.order);
}
