import type { Entry, SeededRandomness, Tenant, View } from "#model";
import type { QuotaDecision } from "./account.ts";
import { DEFAULT_QUOTA_BOUNDS, quotaTable } from "./limits.ts";
import type { AskEffect, QuotaAsk, QuotaGrant } from "./messages.ts";
import { QuotaClient } from "./quota_client.ts";
import { QuotaOwner } from "./quota_owner.ts";

/** The configuration that control has at some time. */
export interface SimulatedConfiguration {
  readonly version: number;
  readonly view: View;
  readonly formerViews: readonly View[];
  readonly tenants: readonly Tenant[];
}

/** The record of an entry in a view. */
export function entryRecord(id: string): Entry {
  const address = { host: "10.0.0.1", port: 1 };
  const state = "ready";
  return {
    id,
    incarnation: 1,
    dataCentre: "a",
    http: address,
    peer: address,
    state,
  };
}

/** One process of a simulated site, with a clock of its own. */
export class SimulatedEntry {
  readonly id: string;
  incarnation = 0;
  isAlive = false;
  frozenUntil = 0;
  /** Cut off from control. */
  isUnconfirmed = false;
  confirmedAt = Number.NEGATIVE_INFINITY;
  configuration: SimulatedConfiguration | undefined;
  /** Deliveries that wait for the end of a freeze. */
  held: (() => void)[] = [];
  needsFlush = false;
  /** Difference of its clock from the time of the simulation. */
  clockOffset: number;
  #client!: QuotaClient;
  #owner!: QuotaOwner;
  readonly #random: SeededRandomness;
  #nextTickAt = 0;

  constructor(id: string, random: SeededRandomness) {
    this.id = id;
    this.#random = random;
    this.clockOffset = random.below(1_000_000);
  }

  isRunning(time: number): boolean {
    return this.isAlive && this.frozenUntil <= time;
  }

  start(time: number): void {
    this.incarnation++;
    this.isAlive = true;
    this.frozenUntil = 0;
    this.held = [];
    this.confirmedAt = Number.NEGATIVE_INFINITY;
    this.configuration = undefined;
    this.clockOffset = this.#random.below(1_000_000);
    const bounds = DEFAULT_QUOTA_BOUNDS;
    this.#owner = new QuotaOwner({ incarnation: this.incarnation, bounds });
    this.#client = new QuotaClient({
      bounds,
      startedAt: this.now(time),
      phase: this.#random.next(),
      confirmationAgeMs: () => this.now(this.#time) - this.confirmedAt,
    });
  }

  #time = 0;

  now(time: number): number {
    this.#time = time;
    return time + this.clockOffset;
  }

  configure(configuration: SimulatedConfiguration, time: number): void {
    if (this.configuration === configuration) return;
    this.configuration = configuration;
    const now = this.now(time);
    const { view, formerViews, tenants } = configuration;
    const table = quotaTable(tenants, DEFAULT_QUOTA_BOUNDS);
    this.#client.configure(table, { view, formerViews }, now);
    const entries = this.#client.entries(now);
    this.#owner.configure(table, { view, entries, now });
    this.needsFlush = true;
  }

  take(
    tenant: string,
    time: number,
    decide: (decision: QuotaDecision) => void,
  ): void {
    const decision = this.#client.take(tenant, this.now(time), decide);
    if (decision) decide(decision);
    else this.needsFlush = true;
  }

  giveBack(tenant: string, usableUntil: number, time: number): void {
    this.#client.giveBack(tenant, usableUntil, this.now(time));
  }

  ask(
    from: { id: string; incarnation: number },
    ask: QuotaAsk,
    time: number,
  ): QuotaGrant | undefined {
    return this.#owner.receive(from, ask, this.now(time));
  }

  receive(from: string, grant: QuotaGrant, time: number): void {
    this.#client.receive(from, grant, this.now(time));
    this.needsFlush = true;
  }

  unreachable(id: string, time: number): void {
    this.#client.unreachable(id, this.now(time));
    this.needsFlush = true;
  }

  /** What happens in one turn of the event loop. */
  turn(time: number): AskEffect[] {
    const now = this.now(time);
    if (time >= this.#nextTickAt) {
      this.#nextTickAt = time + (this.#client.isWaiting ? 10 : 100);
      this.#client.tick(now);
      this.#owner.tick({ entries: this.#client.entries(now), now });
      this.needsFlush = true;
    } else if (this.#client.isWaiting) {
      this.#nextTickAt = Math.min(this.#nextTickAt, time + 10);
    }
    if (!this.needsFlush) return [];
    this.needsFlush = false;
    return this.#client.flush(now);
  }
}
