import type { Priority } from "#model";
import { Heap } from "./heap.ts";

/** Of this many calls taken, one is patient if any patient call waits. */
export const PATIENT_TURN = 10;

/** What the queue needs to know of a waiting call. */
export interface Waiting {
  readonly id: string;
  readonly priority: Priority;
  /** Latest useful start, in milliseconds of `Clock.now()`. */
  readonly deadline: number;
}

/** Result of an offer; `evicted` made place for a more urgent call. */
export type Offer<T> =
  | { readonly type: "queued" }
  | { readonly type: "queued_instead"; readonly evicted: T }
  | { readonly type: "full" };

interface Slot<T> {
  readonly item: T;
  readonly order: number;
  heapIndex: number;
}

/**
 * Calls that wait for a slot: urgent before patient, then by deadline, then by
 * arrival; bounded in length; patient calls get a guaranteed small share.
 */
export class ClassQueue<T extends Waiting> {
  readonly #heaps: Record<Priority, Heap<Slot<T>>> = {
    urgent: new Heap(before),
    patient: new Heap(before),
  };
  readonly #slots = new Map<string, Slot<T>>();
  #limit: number;
  #order = 0;
  /** Urgent calls taken in a row while a patient one waited. */
  #urgentTaken = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  get length(): number {
    return this.#slots.size;
  }

  /** Sets the greatest length; calls that already wait stay. */
  setLimit(limit: number): void {
    this.#limit = limit;
  }

  lengthOf(priority: Priority): number {
    return this.#heaps[priority].size;
  }

  /** Calls that go before a new call of this priority. */
  ahead(priority: Priority): number {
    return priority === "urgent" ? this.lengthOf("urgent") : this.length;
  }

  has(id: string): boolean {
    return this.#slots.has(id);
  }

  items(): T[] {
    return [...this.#slots.values()].map((slot) => slot.item);
  }

  offer(item: T): Offer<T> {
    if (this.#slots.has(item.id)) return { type: "queued" };
    if (this.length < this.#limit) {
      this.#add(item);
      return { type: "queued" };
    }
    const victim = this.#heaps.patient.leaf();
    if (item.priority === "patient" || !victim) return { type: "full" };
    this.remove(victim.item.id);
    this.#add(item);
    return { type: "queued_instead", evicted: victim.item };
  }

  /** The first call of a priority. */
  first(priority: Priority): T | undefined {
    return this.#heaps[priority].peek()?.item;
  }

  /** The call that `take` returns next. */
  peek(): T | undefined {
    return this.#next()?.peek()?.item;
  }

  take(): T | undefined {
    const slot = this.#next()?.peek();
    return slot && this.takeItem(slot.item.id);
  }

  /** Takes a call out of turn; it counts as if it had been the next one. */
  takeItem(id: string): T | undefined {
    const item = this.remove(id);
    if (!item) return undefined;
    const passed = item.priority === "urgent" && this.#patientWaits();
    this.#urgentTaken = passed ? this.#urgentTaken + 1 : 0;
    return item;
  }

  /** Whether a patient call goes next although urgent ones may wait. */
  get patientDue(): boolean {
    return this.#urgentTaken >= PATIENT_TURN - 1 && this.#patientWaits();
  }

  remove(id: string): T | undefined {
    const slot = this.#slots.get(id);
    if (!slot) return undefined;
    this.#slots.delete(id);
    this.#heaps[slot.item.priority].remove(slot);
    return slot.item;
  }

  /** Removes and returns the calls whose latest start is before `now`. */
  expire(now: number): T[] {
    const expired: T[] = [];
    for (const heap of [this.#heaps.urgent, this.#heaps.patient]) {
      for (;;) {
        const slot = heap.peek();
        if (!slot || slot.item.deadline >= now) break;
        this.remove(slot.item.id);
        expired.push(slot.item);
      }
    }
    return expired;
  }

  #add(item: T): void {
    const slot = { item, order: this.#order++, heapIndex: -1 };
    this.#slots.set(item.id, slot);
    this.#heaps[item.priority].push(slot);
  }

  #patientWaits(): boolean {
    return this.#heaps.patient.size > 0;
  }

  #next(): Heap<Slot<T>> | undefined {
    const { urgent, patient } = this.#heaps;
    if (urgent.size > 0 && !this.patientDue) return urgent;
    return this.#patientWaits() ? patient : undefined;
  }
}

function before<T extends Waiting>(a: Slot<T>, b: Slot<T>): boolean {
  const difference = a.item.deadline - b.item.deadline;
  return difference < 0 || (difference === 0 && a.order < b.order);
}
