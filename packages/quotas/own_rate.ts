import type { TenantLimit } from "./limits.ts";

/**
 * Requests that an entry admits without an owner, at a small part of its share of a
 * tenant's rate. Each entry has one short turn in each period, at another time than
 * most others. A turn that is not used is lost: else all entries could use theirs of
 * a long time at once.
 */
export class OwnRate {
  readonly #overage: number;
  /** Part of the period by which this entry's turns are displaced. */
  readonly #phase: number;
  readonly #lastTurns = new Map<string, number>();

  constructor(options: { overage: number; phase: number }) {
    this.#overage = options.overage;
    this.#phase = options.phase;
  }

  /** Whether a request may run now; each turn allows one. */
  tryTake(
    { name, ratePerS }: TenantLimit,
    { entries, now }: { entries: number; now: number },
  ): boolean {
    const ratePerMs = (this.#overage / 2) * (ratePerS / 1_000);
    if (ratePerMs <= 0) return false;
    const periods = (now * ratePerMs) / entries + this.#phase;
    const turn = Math.floor(periods);
    if (periods - turn > 1 / entries) return false;
    if (this.#lastTurns.get(name) === turn) return false;
    this.#lastTurns.set(name, turn);
    return true;
  }

  /** Forgets the tenants that have no quota any more. */
  retain(names: ReadonlyMap<string, unknown>): void {
    for (const name of this.#lastTurns.keys()) {
      if (!names.has(name)) this.#lastTurns.delete(name);
    }
  }
}
