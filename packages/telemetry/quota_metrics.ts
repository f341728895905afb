import { Counter, type Registry } from "prom-client";
import { OTHER_LABEL } from "./service_labels.ts";

/** Tenants with series of their own; the others are counted together. */
const MAX_LABELLED_TENANTS = 200;

/** What was decided about a request of a tenant with a quota. */
export type QuotaOutcome = "admitted" | "over_quota" | "no_owner";

const OUTCOMES: readonly QuotaOutcome[] = [
  "admitted",
  "over_quota",
  "no_owner",
];

/** Counts requests of tenants with quotas, by tenant and decision. */
export class QuotaMetrics {
  readonly #requests;
  #labelled: ReadonlySet<string> = new Set();

  constructor(registry: Registry) {
    this.#requests = new Counter({
      name: "mangobank_quota_requests_total",
      help: "Requests of tenants with a quota, by what was decided",
      labelNames: ["tenant", "decision"],
      registers: [registry],
    });
  }

  /** Sets the tenants that have quotas, and drops the series of others. */
  configure(tenants: Iterable<string>): void {
    const next = new Set<string>();
    for (const tenant of tenants) {
      if (next.size === MAX_LABELLED_TENANTS) break;
      next.add(tenant);
    }
    for (const tenant of this.#labelled) {
      if (next.has(tenant)) continue;
      for (const decision of OUTCOMES) {
        this.#requests.remove({ tenant, decision });
      }
    }
    this.#labelled = next;
  }

  record(name: string, decision: QuotaOutcome): void {
    const tenant = this.#labelled.has(name) ? name : OTHER_LABEL;
    this.#requests.inc({ tenant, decision });
  }
}
