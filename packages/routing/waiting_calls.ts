import { ClassQueue } from "#admission";
import type { Service } from "#model";
import type { DispatchEntry, Want } from "./dispatch_entry.ts";
import type { Ledger } from "./ledger.ts";
import type { Wanted } from "./messages.ts";

/** Part of its time that a late call may be expected to wait. */
const LATE_WAIT_SHARE = 0.5;
/** Time that a call may take, relative to the usual for its class. */
const WORK_MARGIN = 1.4;
/** Entries expire their own calls; this only removes what they forgot. */
const EXPIRE_AFTER_MS = 500;
const MIN_RETRY_MS = 10;

/**
 * The calls of all entries that wait for a slot of a service. Those that would
 * wait for nothing are refused at once, with the time to come back.
 */
export class WaitingCalls {
  readonly queue: ClassQueue<Want>;
  readonly #ledger: Ledger;

  constructor(service: Service, ledger: Ledger) {
    this.queue = new ClassQueue(service.queueLength);
    this.#ledger = ledger;
  }

  /** Expires calls and refuses those that time has made hopeless. */
  tick(now: number): void {
    for (const want of this.queue.expire(now - EXPIRE_AFTER_MS)) {
      want.entry.wants.delete(want.ticket);
    }
    this.queue.advance(now);
    this.#refuseHopeless(now);
  }

  /** Takes in a call that an entry wants a slot for. */
  add(entry: DispatchEntry, wanted: Wanted, now: number): void {
    const { ticket } = wanted;
    if (entry.wants.has(ticket) || entry.grants.has(ticket)) return;
    const want: Want = {
      id: `${entry.id}/${ticket}`,
      ticket,
      priority: wanted.priority,
      class: wanted.class,
      ...this.#latestStarts(wanted, now),
      exclude: wanted.exclude,
      entry,
      since: now - wanted.waitedMs,
    };
    if (this.#ledger.slots.free === 0 && !this.#worthWaiting(want, now)) {
      this.#reject(want);
      return;
    }
    const offer = this.queue.offer(want);
    if (offer.type !== "full") entry.wants.set(ticket, want);
    if (offer.type === "full") this.#reject(want);
    if (offer.type === "queued_instead") this.#reject(offer.evicted);
  }

  /** Drops a call that no longer waits. */
  remove(entry: DispatchEntry, ticket: number): void {
    const want = entry.wants.get(ticket);
    if (!want) return;
    entry.wants.delete(ticket);
    this.queue.remove(want.id);
  }

  /** A waiting call got a slot that its entry used again. */
  take(entry: DispatchEntry, ticket: number): void {
    const want = entry.wants.get(ticket);
    if (!want) return;
    entry.wants.delete(ticket);
    this.queue.takeItem(want.id);
  }

  /** Time in which so many waiting calls start, in milliseconds. */
  waitMs(calls: number): number {
    const limit = Math.max(1, this.#ledger.slots.limit);
    return (calls * this.#ledger.outliers.meanMs) / limit;
  }

  /**
   * Whether a call is likely to start in time, or soon enough after it. One
   * that would wait for nothing is better told at once when to come back.
   */
  #worthWaiting(want: Want, now: number): boolean {
    const { priority, target, deadline } = want;
    const startsAt = now + this.waitMs(this.queue.ahead(priority));
    if (startsAt <= (target ?? deadline)) return true;
    if (target === undefined) return false;
    const allMs = this.waitMs(this.queue.length);
    return allMs <= LATE_WAIT_SHARE * (deadline - now);
  }

  /** Refuses late calls that those before them leave no time. */
  #refuseHopeless(now: number): void {
    let ahead = this.queue.timely;
    for (const want of this.queue.late()) {
      if (now + this.waitMs(ahead) <= want.deadline) {
        ahead += 1;
        continue;
      }
      this.queue.remove(want.id);
      this.#reject(want);
    }
  }

  /** Until when a call may start, as far as the work of its class is known. */
  #latestStarts(
    wanted: Wanted,
    now: number,
  ): Pick<Want, "deadline" | "target"> {
    const { remainingMs, answerMs, targetMs, class: name } = wanted;
    const usualMs = this.#ledger.knee.usualMs(name);
    const workMs = WORK_MARGIN * (usualMs ?? 0);
    const known = usualMs !== undefined && answerMs !== undefined;
    return {
      deadline: now + (known ? answerMs - workMs : remainingMs),
      target: targetMs === undefined ? undefined : now + targetMs - workMs,
    };
  }

  #reject(want: Want): void {
    const { entry, ticket } = want;
    entry.wants.delete(ticket);
    const waitMs = this.waitMs(this.queue.length + 1);
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.ceil(waitMs));
    const detail = `${this.queue.length} calls wait for ${this.#ledger.slots.limit} usable slots`;
    const code = "queue_full";
    entry.draft.rejects.push({ ticket, code, retryAfterMs, detail });
    this.#ledger.drafted.add(entry);
  }
}
