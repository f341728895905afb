import { SeededRandomness, type Tenant, type View } from "#model";
import type { AskEffect } from "./messages.ts";
import {
  entryRecord,
  type SimulatedConfiguration,
  SimulatedEntry,
} from "./simulated_entry.ts";
import { TenantLedger } from "./tenant_ledger.ts";

/** Requests per second that a tenant usually sends, as a part of its limit. */
const USUAL_SHARE = 1 / 1.6;
const HEARTBEAT_MS = 1_000;
/** Time until control removes an entry that it does not hear, at least. */
const REMOVAL_MS = 3_000;
/** Starts of processes at which nothing is offered yet. */
const WARM_UP_MS = 4_000;

export interface SimulationOptions {
  readonly faults: boolean;
  /** Number of entries; random if absent. */
  readonly entries?: number;
  readonly durationMs?: number;
  readonly tenants?: readonly SimulatedTenant[];
}

export interface SimulatedTenant {
  readonly ratePerS: number;
  readonly burst: number;
  /** Requests per second, relative to the limit. */
  readonly load: number;
  /** Number of entries that get its requests; all if absent. */
  readonly atEntries?: number;
  /** Length of its pauses and of the surges between them; none if absent. */
  readonly surgeMs?: number;
}

/**
 * Simulates entries that take tokens of a few tenants, with or without faults of
 * processes, links and control. Equal seeds give equal schedules.
 */
export class Simulation {
  readonly ledgers: ReadonlyMap<string, TenantLedger>;
  readonly #random: SeededRandomness;
  readonly #options: SimulationOptions;
  readonly #agenda: (() => void)[][] = [];
  readonly #entries: SimulatedEntry[] = [];
  readonly #tenants: readonly (SimulatedTenant & { name: string })[];
  readonly #durationMs: number;
  /** Pairs of groups that cannot reach each other, by the group of each entry. */
  readonly #group = new Map<string, number>();
  readonly #maxDelayMs: number;
  /** Arrival of the last message of each connection. */
  readonly #linkFreeAt = new Map<string, number>();
  #configuration: SimulatedConfiguration;
  #time = 0;
  messages = 0;

  constructor(seed: number, options: SimulationOptions) {
    this.#random = new SeededRandomness(seed);
    this.#options = options;
    this.#durationMs = options.durationMs ?? 20_000;
    this.#maxDelayMs = options.faults ? this.#pick([2, 5, 60]) : 2;
    const size = options.entries ?? 2 + this.#random.below(9);
    const tenants = options.tenants ?? this.#randomTenants();
    this.#tenants = tenants.map((tenant, i) => ({ ...tenant, name: `t${i}` }));
    const records = this.#tenants.map(({ name, ratePerS, burst }): Tenant => {
      return { name, keyHashes: [], ratePerS, burst };
    });
    this.ledgers = new Map(
      records.map((tenant) => [tenant.name, new TenantLedger(tenant)]),
    );
    for (let i = 0; i < size; i++) {
      const entry = new SimulatedEntry(`e${i}`, this.#random);
      this.#entries.push(entry);
      entry.start(0);
    }
    const entries = this.#entries.map(({ id }) => entryRecord(id));
    const view = { epoch: 1, entries, began: 0 };
    const formerViews: View[] = [];
    this.#configuration = { version: 1, view, formerViews, tenants: records };
  }

  /** Runs the schedule; returns what broke the rule of a tenant. */
  run(): string[] {
    for (const entry of this.#entries) this.#heartbeat(entry);
    for (const tenant of this.#tenants) this.#offer(tenant);
    if (this.#options.faults) this.#scheduleFaults();
    for (this.#time = 0; this.#time < this.#durationMs; this.#time++) {
      for (const run of this.#agenda[this.#time] ?? []) run();
      delete this.#agenda[this.#time];
      for (const entry of this.#entries) this.#turn(entry);
    }
    return [...this.ledgers.values()].flatMap((ledger) => ledger.violations());
  }

  #pick<T>(values: readonly T[]): T {
    return values[this.#random.below(values.length)] as T;
  }

  #randomTenants(): SimulatedTenant[] {
    return Array.from({ length: 1 + this.#random.below(3) }, () => {
      const ratePerS = this.#pick([0.5, 5, 40, 120, 400]);
      const burst = ratePerS * this.#pick([0, 1, 1, 3]);
      const load = this.#pick([1, 8, 8]) * USUAL_SHARE;
      const atEntries = this.#pick([undefined, undefined, 1, 3]);
      const surgeMs = this.#pick([undefined, 1_500, 4_000]);
      return {
        ratePerS,
        burst,
        load,
        ...(atEntries && { atEntries }),
        ...(surgeMs && { surgeMs }),
      };
    });
  }

  #at(time: number, run: () => void): void {
    // What is due now has run before.
    const moment = Math.max(this.#time + 1, Math.floor(time));
    const runs = this.#agenda[moment] ?? [];
    this.#agenda[moment] = runs;
    runs.push(run);
  }

  #turn(entry: SimulatedEntry): void {
    if (!entry.isRunning(this.#time)) return;
    const { held } = entry;
    if (held.length > 0) {
      entry.held = [];
      for (const deliver of held) deliver();
    }
    if (!entry.configuration) return;
    for (const effect of entry.turn(this.#time)) this.#sendAsk(entry, effect);
  }

  /** Confirms the configuration, as long as control is reached. */
  #heartbeat(entry: SimulatedEntry): void {
    const { incarnation } = entry;
    const askedAt = this.#time;
    const configuration = this.#configuration;
    const isHeard = entry.isRunning(this.#time) && !entry.isUnconfirmed;
    if (isHeard) {
      const askedNow = entry.now(askedAt);
      this.#deliver(entry, this.#delay(), () => {
        entry.confirmedAt = Math.max(entry.confirmedAt, askedNow);
        const known = entry.configuration?.version ?? 0;
        if (configuration.version < known) return;
        entry.configure(configuration, this.#time);
        for (const ledger of this.ledgers.values()) {
          ledger.noteLimit(entry.id, configuration, this.#time);
        }
      });
    }
    this.#at(this.#time + HEARTBEAT_MS, () => {
      if (entry.incarnation === incarnation) this.#heartbeat(entry);
    });
  }

  #offer(tenant: SimulatedTenant & { name: string }): void {
    const { ratePerS, load, name, atEntries, surgeMs } = tenant;
    const ledger = this.ledgers.get(name);
    const first = this.#random.below(this.#entries.length);
    const count = Math.min(atEntries ?? Infinity, this.#entries.length);
    const next = () => {
      const meanMs = 1_000 / (ratePerS * load);
      const gap = -Math.log(1 - this.#random.next()) * meanMs;
      this.#at(this.#time + Math.max(gap, this.#random.next()), next);
      if (surgeMs && Math.floor(this.#time / surgeMs) % 2 === 0) return;
      const index = (first + this.#random.below(count)) % this.#entries.length;
      const entry = this.#entries[index];
      if (entry?.isRunning(this.#time) && entry.configuration && ledger)
        this.#request(entry, ledger);
    };
    const start = this.#options.faults ? 0 : WARM_UP_MS;
    this.#at(start + this.#random.next() * 50, next);
  }

  #request(entry: SimulatedEntry, ledger: TenantLedger): void {
    ledger.offered++;
    const { name } = ledger;
    const { incarnation } = entry;
    entry.take(name, this.#time, (decision) => {
      if (decision.type !== "admitted") {
        if (decision.type === "unavailable") ledger.unavailable++;
        return;
      }
      const isGivenBack = this.#random.below(10) === 0;
      if (!isGivenBack) {
        ledger.admitted.push(this.#time);
        return;
      }
      ledger.givenBack++;
      const ms = this.#random.next() * this.#pick([5, 400]);
      this.#at(this.#time + ms, () => {
        if (entry.incarnation !== incarnation) return;
        if (!entry.isRunning(this.#time)) return;
        entry.giveBack(name, decision.usableUntil, this.#time);
      });
    });
  }

  #sendAsk(from: SimulatedEntry, { to, ask }: AskEffect): void {
    const owner = this.#entries.find(({ id }) => id === to);
    if (!owner?.isAlive) {
      if (this.#random.below(2) === 0) from.unreachable(to, this.#time);
      return;
    }
    this.messages += owner === from ? 0 : 2;
    const asker = { id: from.id, incarnation: from.incarnation };
    this.#transmit(from, owner, () => {
      const grant = owner.ask(asker, ask, this.#time);
      if (!grant) return;
      const reply = () => from.receive(to, grant, this.#time);
      this.#transmit(owner, from, reply);
    });
  }

  #delay(): number {
    return this.#random.next() * this.#maxDelayMs;
  }

  /** Carries a message, unless the link is cut; some arrive late or twice. */
  #transmit(from: SimulatedEntry, to: SimulatedEntry, run: () => void): void {
    if (from === to) {
      run();
      return;
    }
    if (this.#group.get(from.id) !== this.#group.get(to.id)) {
      // A connection may deliver what it has kept when the cut is over.
      if (this.#random.below(2) > 0) return;
      const ms = this.#random.next() * 6_000;
      this.#deliver(to, ms, run);
      return;
    }
    // Messages of one connection keep their order.
    const link = `${from.id} ${to.id}`;
    const earliest = this.#linkFreeAt.get(link) ?? 0;
    const arrival = Math.max(earliest, this.#time + this.#delay());
    this.#linkFreeAt.set(link, arrival);
    this.#deliver(to, arrival - this.#time, run);
    const isRepeated = this.#options.faults && this.#random.below(50) === 0;
    if (isRepeated) this.#deliver(to, this.#random.next() * 300, run);
  }

  #deliver(to: SimulatedEntry, ms: number, run: () => void): void {
    const { incarnation } = to;
    this.#at(this.#time + ms, () => {
      if (!to.isAlive || to.incarnation !== incarnation) return;
      if (to.isRunning(this.#time)) run();
      else to.held.push(run);
    });
  }

  #publish(change: Partial<SimulatedConfiguration>): void {
    const { view, formerViews, version: former } = this.#configuration;
    const version = former + 1;
    this.#configuration = {
      ...{ ...this.#configuration, ...change, version },
      ...(change.view && { formerViews: [...formerViews, view] }),
    };
  }

  #scheduleFaults(): void {
    const count = 1 + this.#random.below(7);
    for (let i = 0; i < count; i++) {
      this.#at(this.#random.next() * this.#durationMs, () => this.#fault());
    }
  }

  #fault(): void {
    const entry = this.#pick(this.#entries);
    const faults = {
      kill: () => this.#kill(entry),
      killAll: () => {
        for (const each of this.#entries) this.#kill(each);
      },
      freeze: () => this.#freeze(entry),
      suspend: () => {
        const time = this.#time;
        this.#freeze(entry);
        entry.clockOffset -= Math.max(0, entry.frozenUntil - time);
      },
      cut: () => this.#cut(),
      heal: () => this.#group.clear(),
      control: () => this.#loseControl(entry),
      add: () => this.#add(),
      remove: () => this.#remove(entry.id),
      limit: () => this.#changeLimit(),
      cutAll: () => {
        for (const { id } of this.#entries) {
          this.#group.set(id, this.#random.below(100));
        }
      },
    };
    this.#pick(Object.values(faults))();
  }

  #kill(entry: SimulatedEntry): void {
    if (!entry.isAlive) return;
    entry.isAlive = false;
    const removal = REMOVAL_MS + this.#random.next() * 2_000;
    const downMs = this.#random.next() * this.#pick([200, 9_000]);
    if (downMs > removal) {
      this.#at(this.#time + removal, () => this.#remove(entry.id));
    }
    this.#at(this.#time + downMs, () => {
      entry.start(this.#time);
      this.#join(entry.id);
      this.#heartbeat(entry);
    });
  }

  #freeze(entry: SimulatedEntry): void {
    const span = this.#pick([60, 400, 2_000, 8_000]);
    entry.frozenUntil = this.#time + Math.ceil(this.#random.next() * span);
    if (entry.frozenUntil - this.#time < REMOVAL_MS) return;
    this.#at(this.#time + REMOVAL_MS, () => this.#remove(entry.id));
    this.#at(entry.frozenUntil + 1, () => this.#join(entry.id));
  }

  /** Separates a part of the entries from the others, mostly for a while. */
  #cut(): void {
    const side = this.#entries.filter(() => this.#random.below(2) === 0);
    for (const { id } of side) this.#group.set(id, 1);
    const losesControl = this.#random.below(2) === 0;
    if (losesControl) for (const entry of side) this.#loseControl(entry);
    if (this.#random.below(3) > 0) {
      const ms = this.#random.next() * this.#pick([500, 8_000]);
      this.#at(this.#time + ms, () => this.#group.clear());
    }
  }

  #loseControl(entry: SimulatedEntry): void {
    entry.isUnconfirmed = true;
    const ms = this.#random.next() * this.#pick([1_000, 15_000]);
    const back = this.#time + ms;
    if (ms > REMOVAL_MS) {
      this.#at(this.#time + REMOVAL_MS, () => this.#remove(entry.id));
    }
    this.#at(back, () => {
      entry.isUnconfirmed = false;
      this.#join(entry.id);
    });
  }

  #add(): void {
    const entry = new SimulatedEntry(`e${this.#entries.length}`, this.#random);
    this.#entries.push(entry);
    entry.start(this.#time);
    this.#join(entry.id);
    this.#heartbeat(entry);
  }

  #join(id: string): void {
    const { view } = this.#configuration;
    if (view.entries.some((entry) => entry.id === id)) return;
    const entries = [...view.entries, entryRecord(id)];
    this.#publish({ view: { ...view, epoch: view.epoch + 1, entries } });
  }

  #remove(id: string): void {
    const { view } = this.#configuration;
    const entries = view.entries.filter((entry) => entry.id !== id);
    if (entries.length === 0) return;
    this.#publish({ view: { ...view, epoch: view.epoch + 1, entries } });
  }

  #changeLimit(): void {
    const { tenants } = this.#configuration;
    const changed = this.#pick(tenants);
    const factor = this.#pick([0.02, 0.2, 3]);
    const ratePerS = (changed.ratePerS ?? 1) * factor;
    const burst = (changed.burst ?? 0) * factor;
    const next = { ...changed, ratePerS, burst };
    this.#publish({
      tenants: tenants.map((tenant) => (tenant === changed ? next : tenant)),
    });
    this.ledgers
      .get(changed.name)
      ?.addLimit({ ratePerS, burst, version: this.#configuration.version });
  }
}
