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
   * ordered, since another host may take the opposite order at the same time.
   */
  async carryOut(order: EvacuationOrder): Promise<EvacuationReply> {
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
      const change = this.#changeFor(order);
      if (!change) return this.#accept(order, attempt);
      if (attempt === MAX_ATTEMPTS) break;
      const at = Math.floor(this.#clock.wallTime());
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
  ): EvacuationReply {
    const fields = { dataCentre, isEvacuated, fault };
    this.#logger.warn("evacuation not confirmed", fields);
    return { type: "unavailable", fault };
  }
}
