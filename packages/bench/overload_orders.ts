import { CallQueue, Heap, type QueuedCall } from "#admission";
import type {
  CallOrder,
  Refuse,
  ReplayCall,
  ReplayRoom,
} from "./overload_replay.ts";

/** Allowed service time as a multiple of the typical one, as the dispatcher's. */
export const SERVICE_TIME_MARGIN = 1.4;
export const QUEUE_LENGTH = 1_000;
/** As the dispatcher's, for calls that would miss their objective. */
const MAX_LATE_WAIT_SHARE = 0.5;
const MIN_RETRY_AFTER_MS = 10;

type TodaysCall = QueuedCall & { readonly call: ReplayCall };

/** The dispatcher's queue without ranks, with its rules for rejections. */
export class TodaysOrder implements CallOrder {
  readonly #queue = new CallQueue<TodaysCall>(QUEUE_LENGTH);
  readonly #room: ReplayRoom;
  readonly #refuse: Refuse;

  constructor(room: ReplayRoom, refuse: Refuse) {
    this.#room = room;
    this.#refuse = refuse;
  }

  offer(call: ReplayCall, now: number): void {
    const serviceMs =
      SERVICE_TIME_MARGIN * this.#room.typicalMs(call.class.name);
    const item: TodaysCall = {
      id: call.id,
      priority: call.class.rank === 0 ? "urgent" : "patient",
      latestStart: call.deadline - serviceMs,
      targetStart: call.seenTarget - serviceMs,
      call,
    };
    if (this.#room.free === 0 && !this.#isWorthWaiting(item, now)) {
      this.#reject(call);
      return;
    }
    const offer = this.#queue.offer(item);
    if (offer.type === "full") this.#reject(call);
    if (offer.type === "queued_instead") this.#reject(offer.evicted.call);
  }

  take(now: number): ReplayCall | undefined {
    this.#queue.moveLateCalls(now);
    return this.#queue.take()?.call;
  }

  tick(now: number): void {
    for (const { call } of this.#queue.expire(now)) this.#reject(call);
    let ahead = this.#queue.onTimeCount;
    for (const item of this.#queue.lateCalls()) {
      if (now + this.#waitMs(ahead) <= item.latestStart) {
        ahead += 1;
        continue;
      }
      this.#queue.remove(item.id);
      this.#reject(item.call);
    }
  }

  #waitMs(calls: number): number {
    return (calls * this.#room.meanMs) / Math.max(1, this.#room.slots);
  }

  #isWorthWaiting(item: TodaysCall, now: number): boolean {
    const ahead = this.#queue.countAhead(item.priority);
    if (now + this.#waitMs(ahead) <= (item.targetStart ?? 0)) return true;
    const wholeQueueMs = this.#waitMs(this.#queue.length);
    return wholeQueueMs <= MAX_LATE_WAIT_SHARE * (item.latestStart - now);
  }

  #reject(call: ReplayCall): void {
    const waitMs = this.#waitMs(this.#queue.length + 1);
    this.#refuse(call, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)));
  }
}

interface Node {
  readonly call: ReplayCall;
  readonly order: number;
  heapIndex: number;
}

/** A bounded queue by a fixed order; calls end at their deadline. */
export class SortedOrder implements CallOrder {
  readonly #heap: Heap<Node>;
  readonly #room: ReplayRoom;
  readonly #refuse: Refuse;
  #order = 0;

  constructor(
    room: ReplayRoom,
    refuse: Refuse,
    compare: (a: ReplayCall, b: ReplayCall) => number,
  ) {
    this.#room = room;
    this.#refuse = refuse;
    this.#heap = new Heap<Node>((a, b) => {
      const difference = compare(a.call, b.call);
      return difference < 0 || (difference === 0 && a.order < b.order);
    });
  }

  offer(call: ReplayCall): void {
    this.#heap.push({ call, order: this.#order++, heapIndex: -1 });
    if (this.#heap.size <= QUEUE_LENGTH) return;
    const last = this.#heap.leaf();
    if (!last) return;
    this.#heap.remove(last);
    this.#reject(last.call);
  }

  take(): ReplayCall | undefined {
    return this.#heap.pop()?.call;
  }

  tick(now: number): void {
    for (const node of [...this.#heap.items()]) {
      const {
        deadline,
        class: { workMs },
      } = node.call;
      if (now <= deadline - SERVICE_TIME_MARGIN * workMs) continue;
      this.#heap.remove(node);
      this.#reject(node.call);
    }
  }

  #reject(call: ReplayCall): void {
    const { meanMs, slots } = this.#room;
    this.#refuse(call, (this.#heap.size * meanMs) / Math.max(1, slots));
  }
}

/** Interval after which a queue that did not get empty is overloaded. */
const CODEL_INTERVAL_MS = 100;
/** Longest wait while overloaded; five times the published target of 5 ms. */
const CODEL_TARGET_MS = 25;

/** CoDel with adaptive LIFO: newest first and short waits while overloaded. */
export class CodelOrder implements CallOrder {
  readonly #calls: ReplayCall[] = [];
  readonly #room: ReplayRoom;
  readonly #refuse: Refuse;
  #emptyAt = 0;

  constructor(room: ReplayRoom, refuse: Refuse) {
    this.#room = room;
    this.#refuse = refuse;
  }

  offer(call: ReplayCall, now: number): void {
    if (this.#calls.length === 0) this.#emptyAt = now;
    this.#calls.push(call);
  }

  take(now: number): ReplayCall | undefined {
    if (this.#calls.length === 0) this.#emptyAt = now;
    return this.#isOverloaded(now) ? this.#calls.pop() : this.#calls.shift();
  }

  tick(now: number): void {
    const longestMs = this.#isOverloaded(now)
      ? CODEL_TARGET_MS
      : CODEL_INTERVAL_MS;
    while (this.#calls[0] && now - this.#calls[0].since > longestMs) {
      const call = this.#calls.shift() as ReplayCall;
      const { meanMs, slots } = this.#room;
      this.#refuse(call, (this.#calls.length * meanMs) / Math.max(1, slots));
    }
  }

  #isOverloaded(now: number): boolean {
    return now - this.#emptyAt > CODEL_INTERVAL_MS;
  }
}
