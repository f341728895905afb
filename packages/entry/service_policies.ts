import {
  HedgePolicy,
  ResendBudget,
  RetryBudget,
  type SendBudget,
} from "#admission";
import type { Clock, Service } from "#model";
import type { ResendLimit } from "#settings";
import { CallDurations } from "./call_durations.ts";

interface ServicePolicy {
  readonly budget: SendBudget;
  /** By class; only repeatable classes may be hedged. */
  readonly hedging: ReadonlyMap<string, HedgePolicy>;
  /** By class. */
  readonly durations: ReadonlyMap<string, CallDurations>;
}

/**
 * Retry budgets and hedging, which limit the extra attempts of each service, and
 * the measured durations of its calls.
 */
export class ServicePolicies {
  readonly #clock: Clock;
  readonly #resendLimit: ResendLimit | undefined;
  readonly #entries: () => number;
  #policies = new Map<string, ServicePolicy>();

  constructor(options: {
    clock: Clock;
    resendLimit?: ResendLimit | undefined;
    /** Number of entries that share the resend limit. */
    entries: () => number;
  }) {
    this.#clock = options.clock;
    this.#resendLimit = options.resendLimit;
    this.#entries = options.entries;
  }

  /** Applies the services in force; keeps what was measured for known ones. */
  configure(services: readonly Service[]): void {
    this.#policies = new Map(
      services.map((service) => [service.name, this.#policy(service)]),
    );
  }

  budget(service: string): SendBudget | undefined {
    return this.#policies.get(service)?.budget;
  }

  hedging(service: string, name: string): HedgePolicy | undefined {
    return this.#policies.get(service)?.hedging.get(name);
  }

  durations(service: string, name: string): CallDurations | undefined {
    return this.#policies.get(service)?.durations.get(name);
  }

  #policy(service: Service): ServicePolicy {
    const existing = this.#policies.get(service.name);
    const budget = this.#budget(service, existing?.budget);
    const repeatable = service.classes.filter((c) => c.repeatable);
    const hedging = new Map(
      repeatable.map(({ name }) => [
        name,
        existing?.hedging.get(name) ?? new HedgePolicy(),
      ]),
    );
    const durations = new Map(
      service.classes.map(({ name }) => [
        name,
        existing?.durations.get(name) ?? new CallDurations(),
      ]),
    );
    return { budget, hedging, durations };
  }

  #budget(service: Service, existing: SendBudget | undefined): SendBudget {
    const clock = this.#clock;
    const percent = service.retryBudgetPercent;
    if (existing instanceof RetryBudget) existing.configure(percent);
    if (existing) return existing;
    const limit = this.#resendLimit;
    if (!limit) return new RetryBudget({ percent, clock });
    return new ResendBudget({ clock, limit, entries: this.#entries });
  }
}
