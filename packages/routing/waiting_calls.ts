import { CallQueue } from "#admission";
import type { Service } from "#model";
import type { DispatchEntry, WaitingCall } from "./dispatch_entry.ts";
import type { DispatcherState } from "./dispatcher_state.ts";
import type { SlotRequest } from "./messages.ts";

/** Part of its time that a late call may be expected to wait. */
const MAX_LATE_WAIT_SHARE = 0.5;
/** Time that a call may take, relative to the usual for its class. */
const SERVICE_TIME_MARGIN = 1.4;
/** Entries expire their own calls; this only removes what they forgot. */
const EXPIRE_AFTER_MS = 500;
const MIN_RETRY_AFTER_MS = 10;

/**
 * The calls of all entries that wait for a slot of a service. Those that would
 * wait for nothing are refused at once, with the time to come back.
 */
export class WaitingCalls {
  readonly queue: CallQueue<WaitingCall>;
  readonly #state: DispatcherState;

  constructor(service: Service, state: DispatcherState) {
    this.queue = new CallQueue(service.queueLength);
    this.#state = state;
  }

  /** Expires calls and refuses those that time has made hopeless. */
  tick(now: number): void {
    for (const call of this.queue.expire(now - EXPIRE_AFTER_MS)) {
      call.entry.waitingCalls.delete(call.ticket);
    }
    this.queue.moveLateCalls(now);
    this.#rejectLateCalls(now);
  }

  /** Takes in a call that an entry wants a slot for. */
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
    };
    if (this.#state.slots.free === 0 && !this.#isWorthWaiting(call, now)) {
      this.#reject(call);
      return;
    }
    const offer = this.queue.offer(call);
    if (offer.type !== "full") entry.waitingCalls.set(ticket, call);
    if (offer.type === "full") this.#reject(call);
    if (offer.type === "queued_instead") this.#reject(offer.evicted);
  }

  /** Drops a call that no longer waits. */
  remove(entry: DispatchEntry, ticket: number): void {
    const call = entry.waitingCalls.get(ticket);
    if (!call) return;
    entry.waitingCalls.delete(ticket);
    this.queue.remove(call.id);
  }

  /** A waiting call got a slot that its entry used again. */
  removeStarted(entry: DispatchEntry, ticket: number): void {
    const call = entry.waitingCalls.get(ticket);
    if (!call) return;
    entry.waitingCalls.delete(ticket);
    this.queue.takeById(call.id);
  }

  /** Time in which so many waiting calls start, in milliseconds. */
  estimateWaitMs(calls: number): number {
    const limit = Math.max(1, this.#state.slots.limit);
    return (calls * this.#state.outliers.meanMs) / limit;
  }

  /**
   * Whether a call is likely to start in time, or soon enough after it. One
   * that would wait for nothing is better told at once when to come back.
   */
  #isWorthWaiting(call: WaitingCall, now: number): boolean {
    const { priority, targetStart, latestStart } = call;
    const startsAt = now + this.estimateWaitMs(this.queue.countAhead(priority));
    if (startsAt <= (targetStart ?? latestStart)) return true;
    if (targetStart === undefined) return false;
    const wholeQueueMs = this.estimateWaitMs(this.queue.length);
    return wholeQueueMs <= MAX_LATE_WAIT_SHARE * (latestStart - now);
  }

  /** Refuses late calls that those before them leave no time. */
  #rejectLateCalls(now: number): void {
    let ahead = this.queue.onTimeCount;
    for (const call of this.queue.lateCalls()) {
      if (now + this.estimateWaitMs(ahead) <= call.latestStart) {
        ahead += 1;
        continue;
      }
      this.queue.remove(call.id);
      this.#reject(call);
    }
  }

  /** Until when a call may start, as far as the work of its class is known. */
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

  #reject(call: WaitingCall): void {
    const { entry, ticket } = call;
    entry.waitingCalls.delete(ticket);
    const waitMs = this.estimateWaitMs(this.queue.length + 1);
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    const detail = `${this.queue.length} calls wait for ${this.#state.slots.limit} usable slots`;
    const code = "queue_full";
    entry.outbox.rejects.push({ ticket, code, retryAfterMs, detail });
    this.#state.entriesToNotify.add(entry);
  }
}
