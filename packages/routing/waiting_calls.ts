import type { RefusalReason, Service } from "#model";
import {
  type Capacity,
  type Refusal,
  WaitingOrder,
  type WaitingQueue,
} from "#overload";
import type { DispatchEntry, WaitingCall } from "./dispatch_entry.ts";
import type { DispatcherState } from "./dispatcher_state.ts";
import type { SlotRequest } from "./messages.ts";

/**
 * A call that would miss its latency objective is queued only if the whole
 * queue starts within this share of the time left until its latest start.
 */
const MAX_LATE_WAIT_SHARE = 0.5;
/**
 * Service time that is allowed for a call, as a multiple of the typical one.
 */
const SERVICE_TIME_MARGIN = 1.4;
/**
 * Entries expire their own calls; this only removes calls whose cancellation
 * was lost.
 */
const EXPIRE_AFTER_MS = 500;
const MIN_RETRY_AFTER_MS = 10;

/**
 * The calls of all entries that wait for a slot of one service. Calls that have
 * no chance to start in time are rejected at once, with a time after which to
 * retry.
 */
export class WaitingCalls {
  readonly #order: WaitingOrder<WaitingCall>;
  readonly #state: DispatcherState;

  constructor(service: Service, state: DispatcherState) {
    this.#order = new WaitingOrder(service.queueLength);
    this.#state = state;
  }

  get queue(): WaitingQueue<WaitingCall> {
    return this.#order.queue;
  }

  /** Whether calls of the service have ranks. */
  get isRanked(): boolean {
    return this.#order.control !== undefined;
  }

  /** Sets the maximum length of the queue; calls that already wait stay. */
  setLimit(limit: number): void {
    this.#order.setLimit(limit);
  }

  /**
   * Removes expired calls and rejects those that can no longer start in time.
   */
  tick(now: number): void {
    for (const call of this.queue.expire(now - EXPIRE_AFTER_MS)) {
      call.entry.waitingCalls.delete(call.ticket);
    }
    this.queue.moveLateCalls(now);
    const { control } = this.#order;
    if (!control) {
      this.#rejectLateCalls(now);
      return;
    }
    const capacity = this.#capacity(now);
    for (const refusal of control.review({ now, capacity }))
      this.#refuse(refusal);
  }

  /** Queues a call for which an entry requests a slot, or rejects it. */
  add(entry: DispatchEntry, request: SlotRequest, now: number): void {
    const { ticket } = request;
    if (entry.waitingCalls.has(ticket) || entry.allocations.has(ticket)) return;
    const call: WaitingCall = {
      id: `${entry.id}/${ticket}`,
      ticket,
      priority: request.priority,
      class: request.class,
      ...this.#latestStarts(request, now),
      exclude: request.exclude,
      entry,
      since: now - request.waitedMs,
      rank: request.rank,
      tenant: request.tenant,
      workMs: this.#state.concurrency.typicalMs(request.class),
    };
    const control = this.#order.select(call);
    if (control) {
      const capacity = this.#capacity(now);
      const mayStart = this.#state.slots.free > 0;
      entry.waitingCalls.set(ticket, call);
      for (const refusal of control.offer(call, { now, capacity, mayStart }))
        this.#refuse(refusal);
      return;
    }
    if (this.#state.slots.free === 0 && !this.#isWorthWaiting(call, now)) {
      this.#reject(call);
      return;
    }
    const offer = this.queue.offer(call);
    if (offer.type !== "full") entry.waitingCalls.set(ticket, call);
    if (offer.type === "full") this.#reject(call);
    if (offer.type === "queued_instead") this.#reject(offer.evicted);
  }

  /** Removes a call that no longer waits. */
  remove(entry: DispatchEntry, ticket: number): void {
    const call = entry.waitingCalls.get(ticket);
    if (!call) return;
    entry.waitingCalls.delete(ticket);
    this.queue.remove(call.id);
  }

  /** Removes a call that its entry started on a slot it reused. */
  removeStarted(entry: DispatchEntry, ticket: number): void {
    const call = entry.waitingCalls.get(ticket);
    if (!call) return;
    entry.waitingCalls.delete(ticket);
    this.queue.takeById(call.id);
  }

  /** Time until this many waiting calls have started, in milliseconds. */
  estimateWaitMs(calls: number): number {
    const { slots, outliers } = this.#state;
    const { meanMs } = outliers;
    const concurrency = slots.limit + slots.pacedConcurrency(meanMs);
    return (calls * meanMs) / (concurrency > 0 ? concurrency : 1);
  }

  #capacity(now: number): Capacity {
    const { slots, outliers, slowdown } = this.#state;
    const concurrency = slots.limit + slots.pacedConcurrency(outliers.meanMs);
    const soonestMs = slots.pacedWaitMs(now);
    return { concurrency, slowdown: slowdown.value, soonestMs };
  }

  /** As `estimateWaitMs`, and until a rate limit allows a start. */
  #waitMs(calls: number, now: number): number {
    const pacedMs = this.#state.slots.pacedWaitMs(now);
    return Math.max(this.estimateWaitMs(calls), pacedMs);
  }

  /**
   * Whether a call is likely to start in time for its latency objective, or
   * soon enough after that. A call without a chance is better rejected at once,
   * with a time after which to retry.
   */
  #isWorthWaiting(call: WaitingCall, now: number): boolean {
    const { priority, targetStart, latestStart } = call;
    const startsAt = now + this.#waitMs(this.queue.countAhead(priority), now);
    if (startsAt <= (targetStart ?? latestStart)) return true;
    if (targetStart === undefined) return false;
    const wholeQueueMs = this.#waitMs(this.queue.length, now);
    return wholeQueueMs <= MAX_LATE_WAIT_SHARE * (latestStart - now);
  }

  /**
   * Rejects calls past their objective that cannot start before their latest
   * start, because of the calls ahead of them.
   */
  #rejectLateCalls(now: number): void {
    let ahead = this.queue.onTimeCount;
    for (const call of this.queue.lateCalls()) {
      if (now + this.#waitMs(ahead, now) <= call.latestStart) {
        ahead += 1;
        continue;
      }
      this.queue.remove(call.id);
      this.#reject(call);
    }
  }

  /**
   * Latest starts that meet the deadline and the objective, after the typical
   * service time of the call's class, if known, is subtracted.
   */
  #latestStarts(
    request: SlotRequest,
    now: number,
  ): Pick<WaitingCall, "latestStart" | "targetStart"> {
    const { remainingMs, answerMs, targetMs, class: className } = request;
    const typicalMs = this.#state.concurrency.typicalMs(className);
    const expectedServiceMs = SERVICE_TIME_MARGIN * (typicalMs ?? 0);
    const known = typicalMs !== undefined && answerMs !== undefined;
    return {
      latestStart: now + (known ? answerMs - expectedServiceMs : remainingMs),
      targetStart:
        targetMs === undefined ? undefined : now + targetMs - expectedServiceMs,
    };
  }

  #refuse({ call, reason, retryAfterMs }: Refusal<WaitingCall>): void {
    this.#sendRejection(call, { retryAfterMs, reason });
  }

  #reject(call: WaitingCall): void {
    const waitMs = this.estimateWaitMs(this.queue.length + 1);
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    this.#sendRejection(call, { retryAfterMs });
  }

  #sendRejection(
    call: WaitingCall,
    refusal: { retryAfterMs: number; reason?: RefusalReason },
  ): void {
    const { entry, ticket } = call;
    entry.waitingCalls.delete(ticket);
    const { limit, free, pacedCount } = this.#state.slots;
    const limited = `${pacedCount} servers that limit their rate`;
    const detail =
      `${this.queue.length} calls wait for ${limit} usable slots, ${free} free` +
      (pacedCount > 0 ? ` and ${limited}` : "");
    const code = "queue_full";
    entry.outbox.rejects.push({ ticket, code, detail, ...refusal });
    this.#state.entriesToNotify.add(entry);
  }
}
