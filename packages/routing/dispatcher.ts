import type { BackendServer, Entry, HostId, Priority, Service } from "#model";
import type { DispatchEntry } from "./dispatch_entry.ts";
import type { SendEffect } from "./effects.ts";
import { Granting } from "./granting.ts";
import { Ledger } from "./ledger.ts";
import { isLongWork } from "./long_work.ts";
import type { DispatchReport, DispatchUpdate } from "./messages.ts";
import type { Numbers } from "./numbers.ts";
import type { SlotTable } from "./slots.ts";
import { WaitingCalls } from "./waiting_calls.ts";

/** Time in which a new dispatcher only collects reports. */
const REBUILD_MS = 15;
/** Slots of an entry that is silent for so long count as free. */
const ENTRY_LEASE_MS = 700;
/** The same for long work, of which entries report less often. */
const ENTRY_LEASE_LONG_WORK_MS = 2_000;
/** The view as a dispatcher uses it. */
export interface Membership {
  readonly epoch: number;
  readonly members: ReadonlyMap<HostId, Entry>;
}

/**
 * Grants the slots of one service to all entries. Holds the service's queue
 * and is rebuilt from the entries' reports wherever it is started.
 */
export class Dispatcher {
  #service: Service;
  #view: Membership;
  readonly #numbers: Numbers;
  readonly #ledger: Ledger;
  readonly #waiting: WaitingCalls;
  readonly #granting: Granting;
  readonly #openAt: number;

  constructor(options: {
    service: Service;
    view: Membership;
    numbers: Numbers;
    now: number;
  }) {
    this.#service = options.service;
    this.#view = options.view;
    this.#numbers = options.numbers;
    this.#openAt = options.now + REBUILD_MS;
    this.#ledger = new Ledger(options.service);
    this.#waiting = new WaitingCalls(options.service, this.#ledger);
    this.#granting = new Granting({
      waiting: this.#waiting,
      ledger: this.#ledger,
      numbers: options.numbers,
    });
  }

  /** Calls waiting for a slot. */
  get waiting(): number {
    return this.#waiting.queue.length;
  }

  /** Whether no entry uses this dispatcher. */
  get idle(): boolean {
    return this.#ledger.entries.size === 0;
  }

  get slots(): SlotTable {
    return this.#ledger.slots;
  }

  /** Goes on in a new view; entries that left it lose their slots. */
  configure(service: Service, view: Membership, now: number): SendEffect[] {
    this.#service = service;
    this.#view = view;
    this.#waiting.queue.setLimit(service.queueLength);
    this.#ledger.configure(service);
    for (const entry of this.#ledger.entries.values()) {
      const member = view.members.get(entry.id);
      if (member?.incarnation !== entry.incarnation) this.#forget(entry);
    }
    return this.#advance(now);
  }

  setServers(records: readonly BackendServer[], now: number): SendEffect[] {
    this.#ledger.setServers(records, now);
    return this.#advance(now);
  }

  /** The connection to an entry is lost. */
  entryDown(id: HostId, now: number): SendEffect[] {
    const entry = this.#ledger.entries.get(id);
    if (!entry) return [];
    this.#forget(entry);
    return this.#advance(now);
  }

  report(from: HostId, report: DispatchReport, now: number): SendEffect[] {
    const entry = this.#accept(from, report, { now, create: true });
    if (!entry) return [];
    const listed = new Set(report.taken.map((taken) => taken.ticket));
    for (const [ticket, grant] of entry.grants) {
      // A grant that the report could not know of yet stays.
      if (listed.has(ticket) || grant.sequence > report.seen) continue;
      this.#ledger.free(entry, ticket);
    }
    for (const taken of report.taken) {
      this.#waiting.remove(entry, taken.ticket);
      this.#ledger.take(entry, taken, now);
    }
    const wanted = new Set(report.wanted.map((want) => want.ticket));
    for (const ticket of [...entry.wants.keys()]) {
      if (!wanted.has(ticket)) this.#waiting.remove(entry, ticket);
    }
    for (const want of report.wanted) this.#waiting.add(entry, want, now);
    if (report.taken.length > 0) entry.countCall(now);
    this.#ledger.credits.adopt(entry, report.credits);
    entry.answerDue = true;
    return this.#advance(now);
  }

  update(from: HostId, update: DispatchUpdate, now: number): SendEffect[] {
    const entry = this.#accept(from, update, { now, create: false });
    if (!entry) return [];
    for (const ticket of update.cancelled) this.#waiting.remove(entry, ticket);
    for (const taken of update.taken) {
      if (taken.instead === undefined) entry.countCall(now);
      else this.#waiting.take(entry, taken.instead);
      this.#ledger.take(entry, taken, now);
    }
    for (const released of update.released) {
      this.#waiting.remove(entry, released.ticket);
      this.#ledger.release(entry, released, now);
    }
    for (const want of update.wanted) {
      entry.countCall(now);
      this.#waiting.add(entry, want, now);
    }
    if (update.ping || update.wanted.length > 0) entry.answerDue = true;
    return this.#advance(now);
  }

  /** Takes in the answer of a probe that this entry sent. */
  probed(
    id: string,
    result: { failed: boolean; leaving: boolean },
    now: number,
  ): SendEffect[] {
    const server = this.#ledger.slots.get(id);
    if (!server) return [];
    this.#ledger.probed(server, result, now);
    return this.#advance(now);
  }

  tick(now: number): SendEffect[] {
    const leaseMs = isLongWork(this.#ledger.outliers.meanMs)
      ? ENTRY_LEASE_LONG_WORK_MS
      : ENTRY_LEASE_MS;
    for (const entry of this.#ledger.entries.values()) {
      if (now - entry.lastHeard > leaseMs) this.#forget(entry);
    }
    this.#ledger.tick(now);
    this.#waiting.tick(now);
    return this.#advance(now);
  }

  #accept(
    from: HostId,
    message: { epoch: number; sequence: number },
    options: { now: number; create: boolean },
  ): DispatchEntry | undefined {
    const member = this.#view.members.get(from);
    if (message.epoch !== this.#view.epoch || !member) return undefined;
    const { now, create } = options;
    const known = this.#ledger.entries.get(from);
    if (!known && !create) return undefined;
    const entry = known ?? this.#ledger.addEntry(member, now);
    if (message.sequence <= entry.received) return undefined;
    entry.received = message.sequence;
    entry.lastHeard = now;
    this.#ledger.drafted.add(entry);
    return entry;
  }

  #forget(entry: DispatchEntry): void {
    for (const ticket of [...entry.wants.keys()])
      this.#waiting.remove(entry, ticket);
    this.#ledger.forget(entry);
  }

  /** Grants what can be granted and sends what there is to say. */
  #advance(now: number): SendEffect[] {
    // Without servers or reports, silence lets the entries choose locally.
    if (now < this.#openAt || this.slots.size === 0) return [];
    this.#granting.grantWaiting(now);
    const { drafted, entries, credits } = this.#ledger;
    const state = {
      waiting: this.#waiting.queue.length,
      touched: drafted,
      now,
    };
    for (const entry of credits.balance(entries, state)) drafted.add(entry);
    if (drafted.size === 0) return [];
    const effects: SendEffect[] = [];
    const header = {
      service: this.#service.name,
      epoch: this.#view.epoch,
      waitedMs: {
        urgent: this.#waitedMs("urgent", now),
        patient: this.#waitedMs("patient", now),
      },
      patientDue: this.#waiting.queue.patientDue,
      // Only slots of short work are used again without a question.
      avoid: isLongWork(this.#ledger.outliers.meanMs)
        ? []
        : this.slots.avoided(),
    };
    for (const entry of drafted) {
      const payload = entry.takeDraft(header, this.#numbers);
      if (!payload) continue;
      const kind = "dispatch_grant";
      effects.push({ type: "send", to: entry.id, kind, payload });
    }
    drafted.clear();
    return effects;
  }

  #waitedMs(priority: Priority, now: number): number {
    const first = this.#waiting.queue.first(priority);
    return first ? now - first.since : -1;
  }
}
