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
  /** Latest start that meets the latency objective; the deadline if absent. */
  readonly target?: number | undefined;
}

/** Result of an offer; `evicted` made place for a more urgent call. */
export type Offer<T> =
  | { readonly type: "queued" }
  | { readonly type: "queued_instead"; readonly evicted: T }
  | { readonly type: "full" };

interface Slot<T> {
  readonly item: T;
  readonly order: number;
  late: boolean;
  heapIndex: number;
}

type Heaps<T> = Record<Priority, Heap<Slot<T>>>;

const PRIORITIES = ["urgent", "patient"] as const;

/**
 * Calls that wait for a slot: those that can still meet their latency objective
 * before those that are late, urgent before patient, then by the time by which
 * they must start, then by arrival; bounded in length; patient calls get a
 * guaranteed small share. A burst then makes some calls late, and not all.
 */
export class ClassQueue<T extends Waiting> {
  readonly #timely: Heaps<T> = {
    urgent: new Heap(beforeByTarget),
    patient: new Heap(beforeByTarget),
  };
  readonly #late: Heaps<T> = {
    urgent: new Heap(beforeByDeadline),
    patient: new Heap(beforeByDeadline),
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
    return this.#timely[priority].size + this.#late[priority].size;
  }

  /** Calls that go before a new call of this priority. */
  ahead(priority: Priority): number {
    const { urgent, patient } = this.#timely;
    return priority === "urgent" ? urgent.size : urgent.size + patient.size;
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
    const victim = this.#late.patient.leaf() ?? this.#timely.patient.leaf();
    if (item.priority === "patient" || !victim) return { type: "full" };
    this.remove(victim.item.id);
    this.#add(item);
    return { type: "queued_instead", evicted: victim.item };
  }

  /** The first call of a priority. */
  first(priority: Priority): T | undefined {
    const slot = this.#timely[priority].peek() ?? this.#late[priority].peek();
    return slot?.item;
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
    this.#heapOf(slot).remove(slot);
    return slot.item;
  }

  /** Puts the calls behind that no longer can meet their objective. */
  advance(now: number): void {
    for (const priority of PRIORITIES) {
      const heap = this.#timely[priority];
      for (;;) {
        const slot = heap.peek();
        if (!slot || latestStart(slot.item) >= now) break;
        if (slot.item.target === undefined) break;
        heap.remove(slot);
        slot.late = true;
        this.#late[priority].push(slot);
      }
    }
  }

  /** The late calls in the order in which they go, urgent ones first. */
  late(): T[] {
    return PRIORITIES.flatMap((priority) =>
      [...this.#late[priority].items()]
        .sort((a, b) => (beforeByDeadline(a, b) ? -1 : 1))
        .map(({ item }) => item),
    );
  }

  /** Calls that can still meet their objective. */
  get timely(): number {
    return this.#timely.urgent.size + this.#timely.patient.size;
  }

  /** Removes and returns the calls whose latest start is before `now`. */
  expire(now: number): T[] {
    this.advance(now);
    const expired: T[] = [];
    for (const heaps of [this.#timely, this.#late]) {
      for (const priority of PRIORITIES) {
        for (;;) {
          const slot = heaps[priority].peek();
          if (!slot || slot.item.deadline >= now) break;
          this.remove(slot.item.id);
          expired.push(slot.item);
        }
      }
    }
    return expired;
  }

  #add(item: T): void {
    const order = this.#order++;
    const slot = { item, order, late: false, heapIndex: -1 };
    this.#slots.set(item.id, slot);
    this.#timely[item.priority].push(slot);
  }

  #heapOf(slot: Slot<T>): Heap<Slot<T>> {
    return (slot.late ? this.#late : this.#timely)[slot.item.priority];
  }

  #patientWaits(): boolean {
    return this.#timely.patient.size > 0;
  }

  #next(): Heap<Slot<T>> | undefined {
    const { urgent, patient } = this.#timely;
    if (urgent.size > 0 && !this.patientDue) return urgent;
    if (patient.size > 0) return patient;
    if (this.#late.urgent.size > 0) return this.#late.urgent;
    return this.#late.patient.size > 0 ? this.#late.patient : undefined;
  }
}

function latestStart({ target, deadline }: Waiting): number {
  return target ?? deadline;
}

function beforeByTarget<T extends Waiting>(a: Slot<T>, b: Slot<T>): boolean {
  const difference = latestStart(a.item) - latestStart(b.item);
  return difference < 0 || (difference === 0 && a.order < b.order);
}

function beforeByDeadline<T extends Waiting>(a: Slot<T>, b: Slot<T>): boolean {
  const difference = a.item.deadline - b.item.deadline;
  return difference < 0 || (difference === 0 && a.order < b.order);
}
