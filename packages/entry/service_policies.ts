import { Hedging, RetryBudget } from "#admission";
import type { Clock, Service } from "#model";

interface Policy {
  readonly budget: RetryBudget;
  /** By class; hedges suit only classes that may be repeated. */
  readonly hedging: ReadonlyMap<string, Hedging>;
}

/** What each service allows beyond a call's first attempt. */
export class ServicePolicies {
  readonly #clock: Clock;
  #policies = new Map<string, Policy>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes the services in force; what was learned of them is kept. */
  configure(services: readonly Service[]): void {
    this.#policies = new Map(
      services.map((service) => [service.name, this.#policy(service)]),
    );
  }

  budget(service: string): RetryBudget | undefined {
    return this.#policies.get(service)?.budget;
  }

  hedging(service: string, name: string): Hedging | undefined {
    return this.#policies.get(service)?.hedging.get(name);
  }

  #policy(service: Service): Policy {
    const known = this.#policies.get(service.name);
    const percent = service.retryBudgetPercent;
    known?.budget.configure(percent);
    const budget =
      known?.budget ?? new RetryBudget({ percent, clock: this.#clock });
    const repeatable = service.classes.filter((c) => c.repeatable);
    const hedging = new Map(
      repeatable.map(({ name }) => [
        name,
        known?.hedging.get(name) ?? new Hedging(),
      ]),
    );
    return { budget, hedging };
  }
}
