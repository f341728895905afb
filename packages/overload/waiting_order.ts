import { CallQueue } from "#admission";
import type { RankedCall, WaitingQueue } from "./call_order.ts";
import { OverloadControl } from "./overload_control.ts";

/**
 * Calls without a rank in a row after which a service counts as one without
 * ranks. Entries of older builds send no ranks, so one such call says nothing.
 */
const MAX_UNRANKED_CALLS = 1_000;

/**
 * The waiting calls of a service: in a `CallQueue` while no call has a rank,
 * else under an `OverloadControl`. Calls of older builds have no rank and are
 * ordered by their priority there.
 */
export class WaitingOrder<T extends RankedCall> {
  #limit: number;
  readonly #plain: CallQueue<T>;
  #control: OverloadControl<T> | undefined;
  #unranked = 0;

  constructor(limit: number) {
    this.#limit = limit;
    this.#plain = new CallQueue(limit);
  }

  get queue(): WaitingQueue<T> {
    return this.#control?.queue ?? this.#plain;
  }

  /** Present once calls have ranks. */
  get control(): OverloadControl<T> | undefined {
    return this.#control;
  }

  setLimit(limit: number): void {
    this.#limit = limit;
    this.#plain.setLimit(limit);
    this.#control?.queue.setLimit(limit);
  }

  /**
   * Selects the order for a call that arrives; returns the control if calls have
   * ranks.
   */
  select(call: T): OverloadControl<T> | undefined {
    this.#unranked = call.rank === undefined ? this.#unranked + 1 : 0;
    if (call.rank !== undefined) return this.#startControl();
    const isLeft = this.#unranked > MAX_UNRANKED_CALLS;
    if (isLeft && this.#control?.queue.length === 0) this.#control = undefined;
    return this.#control;
  }

  #startControl(): OverloadControl<T> {
    if (this.#control) return this.#control;
    const control = new OverloadControl<T>(this.#limit);
    for (const call of this.#plain.items()) {
      this.#plain.remove(call.id);
      control.queue.putBack(call);
    }
    this.#control = control;
    return control;
  }
}
