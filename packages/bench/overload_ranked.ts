import { OverloadControl, type RankedCall, type Refusal } from "#overload";
import { QUEUE_LENGTH, SERVICE_TIME_MARGIN } from "./overload_orders.ts";
import type {
  CallOrder,
  Refuse,
  ReplayCall,
  ReplayRoom,
} from "./overload_replay.ts";

type WaitingCall = RankedCall & { readonly call: ReplayCall };

/** The order of the package `overload`. */
export class RankedOrder implements CallOrder {
  readonly #control = new OverloadControl<WaitingCall>(QUEUE_LENGTH);
  readonly #room: ReplayRoom;
  readonly #refuse: Refuse;

  constructor(room: ReplayRoom, refuse: Refuse) {
    this.#room = room;
    this.#refuse = refuse;
  }

  offer(call: ReplayCall, now: number): void {
    const { rank, name } = call.class;
    const workMs = this.#room.typicalMs(name);
    const serviceMs = SERVICE_TIME_MARGIN * workMs;
    const item: WaitingCall = {
      id: call.id,
      priority: rank === 0 ? "urgent" : "patient",
      rank,
      tenant: call.tenant === "" ? undefined : call.tenant,
      workMs,
      latestStart: call.deadline - serviceMs,
      targetStart: call.seenTarget - serviceMs,
      call,
    };
    const mayStart = this.#room.free > 0;
    const options = { now, capacity: this.#capacity(), mayStart };
    this.#refuseAll(this.#control.offer(item, options));
  }

  take(now: number): ReplayCall | undefined {
    this.#control.queue.moveLateCalls(now);
    return this.#control.queue.take()?.call;
  }

  tick(now: number): void {
    const options = { now, capacity: this.#capacity() };
    for (const item of this.#control.queue.expire(now)) {
      this.#refuse(item.call, this.#control.retryAfterMs(item, options));
    }
    this.#refuseAll(this.#control.review(options));
  }

  #refuseAll(refusals: readonly Refusal<WaitingCall>[]): void {
    for (const { call, retryAfterMs } of refusals) {
      this.#refuse(call.call, retryAfterMs);
    }
  }

  #capacity() {
    const { slots, slowdown } = this.#room;
    return { concurrency: slots, slowdown };
  }
}
