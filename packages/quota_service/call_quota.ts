import { type Call, type CallFault, callFault } from "#model";
import type { QuotaDecision } from "#quotas";
import type { TenantQuotas } from "./tenant_quotas.ts";

/** The token that a call takes from its tenant's quota. */
export class CallQuota {
  readonly #quotas: Pick<TenantQuotas, "take" | "giveBack">;
  #tenant: string | undefined;
  #usableUntil = 0;

  constructor({
    quotas,
  }: { readonly quotas: Pick<TenantQuotas, "take" | "giveBack"> }) {
    this.#quotas = quotas;
  }

  /**
   * Takes a token; the fault of the call if there is none. Only where an owner has to
   * be asked this is a promise.
   */
  take(call: Call): CallFault | undefined | Promise<CallFault | undefined> {
    const tenant = call.access?.tenant;
    const taken = tenant === undefined ? undefined : this.#quotas.take(tenant);
    if (!taken || tenant === undefined) return undefined;
    return taken instanceof Promise
      ? taken.then((decision) => this.#settle(tenant, decision))
      : this.#settle(tenant, taken);
  }

  /** Returns the token of a call that did not run. */
  giveBack(): void {
    if (this.#tenant === undefined) return;
    this.#quotas.giveBack(this.#tenant, this.#usableUntil);
    this.#tenant = undefined;
  }

  #settle(tenant: string, decision: QuotaDecision): CallFault | undefined {
    if (decision.type === "admitted") {
      this.#tenant = tenant;
      this.#usableUntil = decision.usableUntil;
      return undefined;
    }
    const { retryAfterMs } = decision;
    return decision.type === "refused"
      ? callFault("quota_exceeded", { retryAfterMs })
      : callFault("not_ready", {
          retryAfterMs,
          detail: "no owner of the tenant's quota has answered",
        });
  }
}
