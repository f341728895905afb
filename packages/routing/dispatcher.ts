import type { BackendServer, Entry, HostId, Priority, Service } from "#model";
import type { DispatchEntry } from "./dispatch_entry.ts";
import { DispatcherState } from "./dispatcher_state.ts";
import type { SendEffect } from "./effects.ts";
import { isLongRunning } from "./long_running.ts";
import type { DispatchReport, DispatchUpdate } from "./messages.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { HealthChange } from "./server_health.ts";
import { SlotScheduler } from "./slot_scheduler.ts";
import type { SlotTable } from "./slot_table.ts";
import { WaitingCalls } from "./waiting_calls.ts";

/** Time after its start in which a dispatcher only collects reports. */
const REPORT_COLLECTION_MS = 15;
/** An entry that sends nothing for this long loses its slots. */
const ENTRY_LEASE_MS = 700;
/** The same for long-running calls, on which entries report less often. */
const ENTRY_LEASE_LONG_RUNNING_MS = 2_000;
/**
 * Share of a cold server's rate that a dispatcher grants which control has not
 * confirmed: the entries that are connected may have another one, which grants the
 * whole rate, and the bound is one and a half times the rate.
 */
const UNCONFIRMED_COLD_SHARE = 0.5;

/** The cluster membership that a dispatcher needs. */
export interface DispatcherView {
  readonly epoch: number;
  readonly members: ReadonlyMap<HostId, Entry>;
}

/**
 * Grants the backend slots of one service to all entries that call it and
 * queues the calls for which no slot is free. One entry hosts the dispatcher of
 * a service; wherever it starts, it rebuilds its state from the entries'
 * reports.
 */
export class Dispatcher {
  #service: Service;
  #view: DispatcherView;
  readonly #sequenceNumbers: SequenceNumbers;
  readonly #state: DispatcherState;
  readonly #waitingCalls: WaitingCalls;
  readonly #scheduler: SlotScheduler;
  readonly #grantsStartAt: number;
  readonly #isConfirmed: () => boolean;

  constructor(options: {
    service: Service;
    view: DispatcherView;
    sequenceNumbers: SequenceNumbers;
    now: number;
    /** See `RouterOptions`. */
    isConfirmed?: () => boolean;
  }) {
    this.#isConfirmed = options.isConfirmed ?? (() => true);
    this.#service = options.service;
    this.#view = options.view;
    this.#sequenceNumbers = options.sequenceNumbers;
    this.#grantsStartAt = options.now + REPORT_COLLECTION_MS;
    this.#state = new DispatcherState(options.service, options.sequenceNumbers);
    this.#waitingCalls = new WaitingCalls(options.service, this.#state);
    this.#scheduler = new SlotScheduler({
      waitingCalls: this.#waitingCalls,
      state: this.#state,
      sequenceNumbers: options.sequenceNumbers,
    });
  }

  /** Whether calls take long compared with a round trip to an entry. */
  get isLongRunning(): boolean {
    return isLongRunning(this.#state.outliers.meanMs);
  }

  /** Number of calls that wait for a slot. */
  get waitingCount(): number {
    return this.#waitingCalls.queue.length;
  }

  /** Whether no entry uses this dispatcher. */
  get idle(): boolean {
    return this.#state.entries.size === 0;
  }

  /** Removes and returns the changes of servers' health since the last call. */
  takeHealthChanges(): readonly HealthChange[] {
    return this.#state.outliers.takeChanges();
  }

  get slots(): SlotTable {
    return this.#state.slots;
  }

  /**
   * Applies a changed service or view; entries that left the view lose their
   * slots.
   */
  configure(service: Service, view: DispatcherView, now: number): SendEffect[] {
    this.#service = service;
    this.#view = view;
    this.#waitingCalls.setLimit(service.queueLength);
    this.#state.configure(service);
    for (const entry of this.#state.entries.values()) {
      const member = view.members.get(entry.id);
      if (member?.incarnation !== entry.incarnation) this.#removeEntry(entry);
    }
    return this.#grantAndNotify(now);
  }

  setServers(records: readonly BackendServer[], now: number): SendEffect[] {
    this.#state.setServers(records, now);
    return this.#grantAndNotify(now);
  }

  /** Releases everything that an entry holds after its connection was lost. */
  entryDisconnected(id: HostId, now: number): SendEffect[] {
    const entry = this.#state.entries.get(id);
    if (!entry) return [];
    this.#removeEntry(entry);
    return this.#grantAndNotify(now);
  }

  handleReport(
    from: HostId,
    report: DispatchReport,
    now: number,
  ): SendEffect[] {
    const entry = this.#acceptMessage(from, report, { now, create: true });
    if (!entry) return [];
    const listed = new Set(report.taken.map((taken) => taken.ticket));
    for (const [ticket, allocation] of entry.allocations) {
      // Keep grants that were sent after the report.
      if (listed.has(ticket) || allocation.grantSequence > report.seen)
        continue;
      this.#state.freeSlot(entry, ticket);
    }
    entry.rateLimitVersion ??= report.rateLimitVersion ?? 0;
    this.#state.recordRateLimits(report.rateLimits ?? [], now);
    for (const taken of report.taken) {
      this.#waitingCalls.remove(entry, taken.ticket);
      this.#state.recordTaken(entry, taken, now);
    }
    const wantedTickets = new Set(
      report.wanted.map((request) => request.ticket),
    );
    for (const ticket of [...entry.waitingCalls.keys()]) {
      if (!wantedTickets.has(ticket)) this.#waitingCalls.remove(entry, ticket);
    }
    for (const request of report.wanted)
      this.#waitingCalls.add(entry, request, now);
    if (report.taken.length > 0) entry.recordCall(now);
    this.#state.credits.replaceCredits(entry, report.credits);
    entry.answerDue = true;
    return this.#grantAndNotify(now);
  }

  handleUpdate(
    from: HostId,
    update: DispatchUpdate,
    now: number,
  ): SendEffect[] {
    const entry = this.#acceptMessage(from, update, { now, create: false });
    if (!entry) return [];
    this.#state.recordRateLimits(update.rateLimits ?? [], now);
    for (const ticket of update.cancelled)
      this.#waitingCalls.remove(entry, ticket);
    for (const taken of update.taken) {
      if (taken.instead === undefined) entry.recordCall(now);
      else this.#waitingCalls.removeStarted(entry, taken.instead);
      this.#state.recordTaken(entry, taken, now);
    }
    for (const released of update.released) {
      this.#waitingCalls.remove(entry, released.ticket);
      this.#state.recordRelease(entry, released, now);
    }
    for (const request of update.wanted) {
      entry.recordCall(now);
      this.#waitingCalls.add(entry, request, now);
    }
    if (update.ping || update.wanted.length > 0) entry.answerDue = true;
    return this.#grantAndNotify(now);
  }

  /** Records the result of a probe that the hosting entry sent to a server. */
  handleProbeResult(
    id: string,
    result: { failed: boolean; leaving: boolean },
    now: number,
  ): SendEffect[] {
    const server = this.#state.slots.get(id);
    if (!server) return [];
    this.#state.recordProbe(server, result, now);
    return this.#grantAndNotify(now);
  }

  tick(now: number): SendEffect[] {
    const leaseMs = this.isLongRunning
      ? ENTRY_LEASE_LONG_RUNNING_MS
      : ENTRY_LEASE_MS;
    for (const entry of this.#state.entries.values()) {
      if (now - entry.lastHeard > leaseMs) this.#removeEntry(entry);
    }
    this.slots.setColdShare(this.#isConfirmed() ? 1 : UNCONFIRMED_COLD_SHARE);
    this.#state.tick(now);
    this.#waitingCalls.tick(now);
    return this.#grantAndNotify(now);
  }

  #acceptMessage(
    from: HostId,
    message: { epoch: number; sequence: number },
    options: { now: number; create: boolean },
  ): DispatchEntry | undefined {
    const member = this.#view.members.get(from);
    if (message.epoch !== this.#view.epoch || !member) return undefined;
    const { now, create } = options;
    const known = this.#state.entries.get(from);
    if (!known && !create) return undefined;
    const entry = known ?? this.#state.addEntry(member, now);
    if (message.sequence <= entry.lastSequence) return undefined;
    entry.lastSequence = message.sequence;
    entry.lastHeard = now;
    this.#state.entriesToNotify.add(entry);
    return entry;
  }

  #removeEntry(entry: DispatchEntry): void {
    for (const ticket of [...entry.waitingCalls.keys()])
      this.#waitingCalls.remove(entry, ticket);
    this.#state.removeEntry(entry);
  }

  /**
   * Grants free slots to waiting calls and sends each entry its pending
   * messages.
   */
  #grantAndNotify(now: number): SendEffect[] {
    // Without servers or reports nothing is sent, so that the entries fall back
    // to choosing servers themselves.
    if (now < this.#grantsStartAt || this.slots.size === 0) return [];
    this.#scheduler.grantWaiting(now);
    const { entriesToNotify, entries, credits } = this.#state;
    const state = {
      waiting: this.#waitingCalls.queue.length,
      activeEntries: entriesToNotify,
      now,
    };
    for (const entry of credits.balance(entries, state))
      entriesToNotify.add(entry);
    if (entriesToNotify.size === 0) return [];
    const effects: SendEffect[] = [];
    const header = {
      service: this.#service.name,
      epoch: this.#view.epoch,
      waitedMs: {
        urgent: this.#firstWaitedMs("urgent", now),
        patient: this.#firstWaitedMs("patient", now),
      },
      patientDue: this.#waitingCalls.queue.patientDue,
      // Entries reuse slots without asking only for short calls.
      avoid: this.isLongRunning ? [] : this.slots.serversToAvoid(),
    };
    const sequenceNumbers = this.#sequenceNumbers;
    for (const entry of entriesToNotify) {
      const rateLimits = this.#state.rateLimitChanges(entry, now);
      const payload = entry.takeMessage(header, sequenceNumbers, rateLimits);
      if (!payload) continue;
      const kind = "dispatch_grant";
      effects.push({ type: "send", to: entry.id, kind, payload });
    }
    entriesToNotify.clear();
    return effects;
  }

  #firstWaitedMs(priority: Priority, now: number): number {
    const first = this.#waitingCalls.queue.first(priority);
    return first ? now - first.since : -1;
  }
}
