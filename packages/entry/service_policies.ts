import {
  HedgePolicy,
  ResendBudget,
  RetryBudget,
  type SendBudget,
} from "#admission";
import type { Clock, Service } from "#model";
import type { ResendLimit } from "#settings";

interface Policy {
  readonly budget: SendBudget;
  /** By class; hedges suit only classes that may be repeated. */
  readonly hedging: ReadonlyMap<string, HedgePolicy>;
}

/** What each service allows beyond a call's first attempt. */
export class ServicePolicies {
  readonly #clock: Clock;
  readonly #resendLimit: ResendLimit | undefined;
  readonly #entries: () => number;
  #policies = new Map<string, Policy>();

  constructor(options: {
    clock: Clock;
    resendLimit?: ResendLimit | undefined;
    /** Entries that share the bounds. */
    entries: () => number;
  }) {
    this.#clock = options.clock;
    this.#resendLimit = options.resendLimit;
    this.#entries = options.entries;
  }

  /** Takes the services in force; what was learned of them is kept. */
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

  #policy(service: Service): Policy {
    const known = this.#policies.get(service.name);
    const budget = this.#budget(service, known?.budget);
    const repeatable = service.classes.filter((c) => c.repeatable);
    const hedging = new Map(
      repeatable.map(({ name }) => [
        name,
        known?.hedging.get(name) ?? new HedgePolicy(),
      ]),
    );
    return { budget, hedging };
  }

  #budget(service: Service, known: SendBudget | undefined): SendBudget {
    const clock = this.#clock;
    const percent = service.retryBudgetPercent;
    if (known instanceof RetryBudget) known.configure(percent);
    if (known) return known;
    const limit = this.#resendLimit;
    if (!limit) return new RetryBudget({ percent, clock });
    return new ResendBudget({ clock, limit, entries: this.#entries });
  }
}
