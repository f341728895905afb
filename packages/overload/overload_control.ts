import { Heap, type OfferResult } from "#admission";
import type { RefusalReason } from "#model";
import { type RankedCall, rankOf, workOf } from "./call_order.ts";
import { RankedQueue } from "./ranked_queue.ts";
import { RetrySchedule } from "./retry_schedule.ts";
import type { Capacity } from "./room.ts";

/**
 * Share of the objective within which a call is refused if it has no chance
 * any more. A refusal after that costs the caller more than a late answer.
 */
const REVIEW_SHARE = 1 / 8;
/**
 * A call whose objective is shorter than its work waits if its expected wait is
 * below this share of the time until its latest start.
 */
const LATE_WAIT_SHARE = 0.25;

/** A call that is refused now. */
export interface Refusal<T> {
  readonly call: T;
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

interface Review<T> {
  readonly call: T;
  readonly at: number;
  heapIndex: number;
}

/**
 * Decides which calls of one service wait, and refuses those that cannot be
 * served in time: on arrival, or within an eighth of the objective if calls of
 * higher ranks have arrived since.
 */
export class OverloadControl<T extends RankedCall> {
  readonly queue: RankedQueue<T>;
  readonly #retries = new RetrySchedule();
  readonly #reviews = new Heap<Review<T>>((a, b) => a.at < b.at);

  constructor(limit: number) {
    this.queue = new RankedQueue(limit);
  }

  /**
   * Queues a new call; returns what is refused because of it. `mayStart` if a
   * slot is free, so that the call need not wait.
   */
  offer(
    call: T,
    options: { now: number; capacity: Capacity; mayStart: boolean },
  ): Refusal<T>[] {
    const { now, capacity, mayStart } = options;
    this.queue.recordOffer(call, now);
    if (!mayStart && !this.#isWorthWaiting(call, capacity, now)) {
      return [this.#refuse(call, "no_room", options)];
    }
    const offer: OfferResult<T> = this.queue.offer(call);
    if (offer.type === "full") return [this.#refuse(call, "no_room", options)];
    const { targetStart, latestStart } = call;
    const start = targetStart ?? latestStart;
    const objectiveMs = start - now + workOf(call);
    const at = now + Math.max(0, objectiveMs) * REVIEW_SHARE;
    this.#reviews.push({ call, at, heapIndex: -1 });
    return offer.type === "queued_instead"
      ? [this.#refuse(offer.evicted, "displaced", options)]
      : [];
  }

  /** Removes and returns the calls that are not worth waiting any more. */
  review(options: { now: number; capacity: Capacity }): Refusal<T>[] {
    const { now, capacity } = options;
    this.queue.moveLateCalls(now);
    const refused: Refusal<T>[] = [];
    for (let next = this.#reviews.peek(); next && next.at <= now; ) {
      const { call } = next;
      this.#reviews.remove(next);
      next = this.#reviews.peek();
      if (!this.queue.has(call.id)) continue;
      const wait = this.queue.expectedWait(call, capacity, now);
      if (now + wait.waitMs <= (call.targetStart ?? call.latestStart)) continue;
      // The backlog of a call that waits includes its own work. Beside others it
      // stands for those that will overtake the call, as there is no second review.
      if (wait.waitMs <= workOf(call) / wait.workPerMs) continue;
      this.queue.remove(call.id);
      refused.push(this.#refuse(call, "overtaken", options));
    }
    for (;;) {
      const hopeless = this.queue.takeHopeless(capacity, now);
      if (!hopeless) break;
      refused.push(this.#refuse(hopeless, "late", options));
    }
    return refused;
  }

  /** The time after which a refused call of this kind may come back. */
  retryAfterMs(call: T, options: { now: number; capacity: Capacity }): number {
    const { now, capacity } = options;
    const expected = this.queue.expectedWait(call, capacity, now);
    const remainingMs = call.latestStart - now;
    const refused = { rank: rankOf(call), workMs: workOf(call), remainingMs };
    return this.#retries.retryAfterMs({ ...refused, ...expected }, now);
  }

  #isWorthWaiting(call: T, capacity: Capacity, now: number): boolean {
    const { targetStart, latestStart } = call;
    const { waitMs } = this.queue.expectedWait(call, capacity, now);
    if (now + waitMs <= (targetStart ?? latestStart)) return true;
    // Its objective is too short for its work, however short the queue is.
    if (targetStart === undefined || targetStart > now) return false;
    return waitMs <= LATE_WAIT_SHARE * (latestStart - now);
  }

  #refuse(
    call: T,
    reason: RefusalReason,
    options: { now: number; capacity: Capacity },
  ): Refusal<T> {
    return { call, reason, retryAfterMs: this.retryAfterMs(call, options) };
  }
}
