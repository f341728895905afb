/**
 * Time constant of a tenant's usual rate of work. A surge of some seconds
 * hardly changes it.
 */
const USUAL_RATE_MS = 120_000;
/** Work counts as usual from the end of the period in which it was offered. */
const PERIOD_MS = 5_000;
const DECAY_PER_PERIOD = Math.exp(-PERIOD_MS / USUAL_RATE_MS);
/** Smallest weight, as a share of the mean over the known tenants. */
const MIN_WEIGHT = 0.1;
/** Tenants that are remembered; the least recent ones are dropped. */
const MAX_TENANTS = 10_000;

/** Offered work: in the present period, and decayed of the ones before. */
interface OfferedWork {
  period: number;
  presentMs: number;
  usualMs: number;
}

/**
 * Shares of tenants in proportion to the work that they usually offer. Equal
 * shares would take most from a large tenant whenever slots are short, although
 * it does nothing unusual.
 */
export class TenantWeights {
  /** In the order of the last offer, the oldest first. */
  readonly #offered = new Map<string, OfferedWork>();
  readonly #total = noWork(0);

  /** Records work that a tenant offers, whether or not it is accepted. */
  record(tenant: string, workMs: number, now: number): void {
    const period = Math.floor(now / PERIOD_MS);
    const offered = this.#offered.get(tenant) ?? noWork(period);
    this.#offered.delete(tenant);
    this.#offered.set(tenant, offered);
    for (const work of [offered, this.#total]) {
      advance(work, period);
      work.presentMs += workMs;
    }
    if (this.#offered.size <= MAX_TENANTS) return;
    const [oldest] = this.#offered.keys();
    if (oldest !== undefined) this.#offered.delete(oldest);
  }

  /** Weight relative to the mean, which is 1; 1 for a new tenant. */
  weight(tenant: string, now: number): number {
    const offered = this.#offered.get(tenant);
    if (!offered) return 1;
    const period = Math.floor(now / PERIOD_MS);
    advance(offered, period);
    advance(this.#total, period);
    if (offered.usualMs === 0 || this.#total.usualMs === 0) return 1;
    const meanMs = this.#total.usualMs / this.#offered.size;
    return Math.max(MIN_WEIGHT, offered.usualMs / meanMs);
  }
}

function noWork(period: number): OfferedWork {
  return { period, presentMs: 0, usualMs: 0 };
}

function advance(work: OfferedWork, period: number): void {
  if (period <= work.period) return;
  const passed = period - work.period;
  work.usualMs =
    (work.usualMs * DECAY_PER_PERIOD + work.presentMs) *
    DECAY_PER_PERIOD ** (passed - 1);
  work.presentMs = 0;
  work.period = period;
}
