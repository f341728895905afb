import type { Tenant } from "#model";
import { DEFAULT_QUOTA_BOUNDS } from "./limits.ts";

/** Time for which all entries have a lower limit before it binds. */
const APPLY_MS = 2_000;

interface LimitInForce {
  readonly ratePerS: number;
  readonly burst: number;
  /** Version of the configuration that brought it. */
  readonly version: number;
  /** When the first entry had it, and since when all have it or a later one. */
  firstAt: number;
  allAt: number;
}

/** What a simulated tenant sent and what was admitted, to check its rule. */
export class TenantLedger {
  readonly name: string;
  /** Times at which requests were admitted that ran, in milliseconds. */
  readonly admitted: number[] = [];
  offered = 0;
  givenBack = 0;
  unavailable = 0;
  readonly #limits: LimitInForce[];
  readonly #versions = new Map<string, number>();

  constructor({ name, ratePerS = 0, burst = 0 }: Tenant) {
    this.name = name;
    const version = 1;
    this.#limits = [{ ratePerS, burst, version, firstAt: 0, allAt: 0 }];
  }

  addLimit(limit: { ratePerS: number; burst: number; version: number }): void {
    const never = Number.POSITIVE_INFINITY;
    this.#limits.push({ ...limit, firstAt: never, allAt: never });
  }

  /** Records that an entry has a configuration. */
  noteLimit(
    id: string,
    at: { version: number; view: { entries: readonly { id: string }[] } },
    time: number,
  ): void {
    this.#versions.set(id, at.version);
    for (const limit of this.#limits) {
      if (limit.version > at.version) continue;
      limit.firstAt = Math.min(limit.firstAt, time);
      const haveAll = [...this.#versions.values()].every(
        (version) => version >= limit.version,
      );
      if (haveAll) limit.allAt = Math.min(limit.allAt, time);
    }
  }

  /** The windows with more admitted requests than the rule allows. */
  violations(): string[] {
    const { windowMs, overage, slack } = DEFAULT_QUOTA_BOUNDS;
    let start = 0;
    for (let end = 0; end < this.admitted.length; end++) {
      const to = this.admitted[end] ?? 0;
      while ((this.admitted[start] ?? 0) <= to - windowMs) start++;
      const from = this.admitted[start] ?? 0;
      const { ratePerS, burst } = this.#highest(from, to);
      const quota = (ratePerS * windowMs) / 1_000 + burst;
      const most = quota * (1 + overage) + slack;
      const count = end - start + 1;
      if (count > most) {
        return [
          `${this.name}: ${count} requests from ${from} to ${to} ms, at most ${most}`,
        ];
      }
    }
    return [];
  }

  /** The highest limit that may be in force within a window. */
  #highest(from: number, to: number): { ratePerS: number; burst: number } {
    let ratePerS = 0;
    let burst = 0;
    this.#limits.forEach((limit, i) => {
      const endsAt = (this.#limits[i + 1]?.allAt ?? Infinity) + APPLY_MS;
      if (limit.firstAt > to || endsAt <= from) return;
      ratePerS = Math.max(ratePerS, limit.ratePerS);
      burst = Math.max(burst, limit.burst);
    });
    return { ratePerS, burst };
  }
}
