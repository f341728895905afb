/**
 * Time constant of a tenant's usual rate of work. A surge of some seconds
 * hardly changes it.
 */
const USUAL_RATE_MS = 120_000;
/** Smallest weight, as a share of the mean over the known tenants. */
const MIN_WEIGHT_SHARE = 0.1;
/** Tenants that are remembered; the least recent ones are dropped. */
const MAX_TENANTS = 10_000;

interface OfferedWork {
  ms: number;
  at: number;
}

/**
 * Shares of tenants in proportion to the work that they usually offer. Equal
 * shares would take most from a large tenant whenever slots are short, although
 * it does nothing unusual.
 */
export class TenantWeights {
  /** In the order of the last offer, the oldest first. */
  readonly #offered = new Map<string, OfferedWork>();
  #total: OfferedWork = { ms: 0, at: 0 };

  /** Records work that a tenant offers, whether or not it is accepted. */
  record(tenant: string, workMs: number, now: number): void {
    const known = this.#offered.get(tenant);
    this.#offered.delete(tenant);
    const ms = workMs + (known ? decayed(known, now) : 0);
    this.#offered.set(tenant, { ms, at: now });
    this.#total = { ms: decayed(this.#total, now) + workMs, at: now };
    if (this.#offered.size <= MAX_TENANTS) return;
    const [oldest] = this.#offered.keys();
    if (oldest !== undefined) this.#offered.delete(oldest);
  }

  /** Weight relative to the mean, which is 1. */
  weight(tenant: string, now: number): number {
    const known = this.#offered.get(tenant);
    const meanMs = decayed(this.#total, now) / Math.max(1, this.#offered.size);
    if (!known || meanMs <= 0) return MIN_WEIGHT_SHARE;
    return Math.max(MIN_WEIGHT_SHARE, decayed(known, now) / meanMs);
  }
}

function decayed({ ms, at }: OfferedWork, now: number): number {
  return ms * Math.exp((at - now) / USUAL_RATE_MS);
}
