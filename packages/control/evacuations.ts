import type { Clock } from "#model";
import {
  type EvacuationOrder,
  evacuationChange,
  evacuationKey,
} from "#registry";
import type { Logger } from "#telemetry";
import type { ControlProcess } from "./control_process.ts";
import {
  faultTypeOf,
  MAJORITY_TIMEOUT_MS,
  withTimeout,
} from "./majority_timeout.ts";
import { isLate, LATE_ORDER } from "./order_lifetime.ts";

/**
 * Most commands for one order. A further one is needed only if another host took
 * the opposite order at the same time.
 */
const MAX_ATTEMPTS = 4;

export type EvacuationReply =
  | { readonly type: "in_force" }
  | { readonly type: "unavailable"; readonly fault: string };

/** Takes the operators' orders to evacuate data centres. */
export class Evacuations {
  readonly #control: Pick<
    ControlProcess,
    "confirmRead" | "submit" | "registry"
  >;
  readonly #clock: Clock;
  readonly #logger: Logger;

  constructor(options: {
    control: Pick<ControlProcess, "confirmRead" | "submit" | "registry">;
    clock: Clock;
    logger: Logger;
  }) {
    this.#control = options.control;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Whether the state as this host knows it has an order for a data centre. */
  isEvacuated(dataCentre: string): boolean {
    const { document } = this.#control.registry.configuration();
    return document.evacuated?.includes(dataCentre) ?? false;
  }

  /**
   * Carries out an order; accepted once a linearizable read shows the state as
   * ordered, since another host may take the opposite order at the same time. Each
   * order is logged with a version of its own, also where the state is as ordered: an
   * opposite one that was given up may still be on its way to the log.
   */
  async carryOut(
    order: EvacuationOrder,
    /** The order was not sent before this time. */
    sentAfter: number,
  ): Promise<EvacuationReply> {
    const until = this.#clock.now() + MAJORITY_TIMEOUT_MS;
    const leftMs = () => Math.max(0, until - this.#clock.now());
    for (let attempt = 0; attempt <= MAX_ATTEMPTS; attempt++) {
      const confirmed = await withTimeout(
        this.#control.confirmRead(),
        leftMs(),
      );
      if (!confirmed?.isOk()) {
        return this.#refuse(order, faultTypeOf(confirmed));
      }
      if (attempt > 0 && this.#isInForce(order)) {
        return this.#accept(order, attempt);
      }
      if (attempt === MAX_ATTEMPTS) break;
      // The version of a command is that after the state of now. What was sent long
      // ago may have been resent elsewhere, and overruled since.
      const now = this.#clock.now();
      if (isLate(sentAfter, now)) {
        const ageMs = Math.round(now - sentAfter);
        return this.#refuse(order, LATE_ORDER, { ageMs });
      }
      const at = Math.floor(this.#clock.wallTime());
      const change = this.#changeFor(order);
      const submitted = await withTimeout(
        this.#control.submit({ type: "put_items", ...change, at }),
        leftMs(),
      );
      if (!submitted?.isOk()) {
        return this.#refuse(order, faultTypeOf(submitted));
      }
    }
    return this.#refuse(order, "opposite_orders");
  }

  #isInForce({ dataCentre, isEvacuated }: EvacuationOrder): boolean {
    const key = evacuationKey(dataCentre);
    const stored = this.#control.registry.storedItem(key);
    return (stored?.type === "item") === isEvacuated;
  }

  #changeFor(order: EvacuationOrder) {
    const key = evacuationKey(order.dataCentre);
    const stored = this.#control.registry.storedItem(key);
    return evacuationChange(order, stored);
  }

  #accept(order: EvacuationOrder, commands: number): EvacuationReply {
    const { version } = this.#control.registry.configuration();
    const message = order.isEvacuated
      ? "evacuation accepted"
      : "end of evacuation accepted";
    const { dataCentre } = order;
    this.#logger.info(message, { dataCentre, commands, version });
    return { type: "in_force" };
  }

  #refuse(
    { dataCentre, isEvacuated }: EvacuationOrder,
    fault: string,
    details: { readonly ageMs?: number } = {},
  ): EvacuationReply {
    const fields = { dataCentre, isEvacuated, fault, ...details };
    this.#logger.warn("evacuation not confirmed", fields);
    return { type: "unavailable", fault };
  }
}
