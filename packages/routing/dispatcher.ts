import { ClassQueue } from "#admission";
import type { BackendServer, Entry, HostId, Priority, Service } from "#model";
import type { DispatchEntry, Want } from "./dispatch_entry.ts";
import type { SendEffect } from "./effects.ts";
import { Ledger } from "./ledger.ts";
import { isLongWork } from "./long_work.ts";
import type { DispatchReport, DispatchUpdate, Wanted } from "./messages.ts";
import type { Numbers } from "./numbers.ts";
import type { ServerSlots, SlotTable } from "./slots.ts";

/** Time in which a new dispatcher only collects reports. */
const REBUILD_MS = 15;
/** Slots of an entry that is silent for so long count as free. */
const ENTRY_LEASE_MS = 700;
/** The same for long work, of which entries report less often. */
const ENTRY_LEASE_LONG_WORK_MS = 2_000;
/** Part of its time that a late call may be expected to wait. */
const LATE_WAIT_SHARE = 0.5;
/** Time that a call may take, relative to the usual for its class. */
const WORK_MARGIN = 1.4;
/** Calls that a server may get above its slots. */
const OVER_GRANT = 1;
/**
 * A straggler is used once the queue takes this share of the time that it
 * costs; its slots shorten the queue for all others too.
 */
const SPARE_SHARE = 0.3;
/** Waiting calls that may be passed over because of their exclusions. */
const MAX_SET_ASIDE = 8;
/** Entries expire their own calls; this only removes what they forgot. */
const EXPIRE_AFTER_MS = 500;
const MIN_RETRY_MS = 10;

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
  readonly #queue: ClassQueue<Want>;
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
    this.#queue = new ClassQueue(options.service.queueLength);
  }

  /** Calls waiting for a slot. */
  get waiting(): number {
    return this.#queue.length;
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
    this.#queue.setLimit(service.queueLength);
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
      this.#unwant(entry, taken.ticket);
      this.#ledger.take(entry, taken, now);
    }
    const wanted = new Set(report.wanted.map((want) => want.ticket));
    for (const ticket of [...entry.wants.keys()]) {
      if (!wanted.has(ticket)) this.#unwant(entry, ticket);
    }
    for (const want of report.wanted) this.#want(entry, want, now);
    if (report.taken.length > 0) entry.countCall(now);
    this.#ledger.credits.adopt(entry, report.credits);
    entry.answerDue = true;
    return this.#advance(now);
  }

  update(from: HostId, update: DispatchUpdate, now: number): SendEffect[] {
    const entry = this.#accept(from, update, { now, create: false });
    if (!entry) return [];
    for (const ticket of update.cancelled) this.#unwant(entry, ticket);
    for (const taken of update.taken) {
      if (taken.instead === undefined) entry.countCall(now);
      else this.#takeWant(entry, taken.instead);
      this.#ledger.take(entry, taken, now);
    }
    for (const released of update.released) {
      this.#unwant(entry, released.ticket);
      this.#ledger.release(entry, released, now);
    }
    for (const want of update.wanted) {
      entry.countCall(now);
      this.#want(entry, want, now);
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
    for (const want of this.#queue.expire(now - EXPIRE_AFTER_MS)) {
      want.entry.wants.delete(want.ticket);
    }
    this.#ledger.tick(now);
    this.#queue.advance(now);
    this.#refuseHopeless(now);
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

  #want(entry: DispatchEntry, wanted: Wanted, now: number): void {
    const { ticket } = wanted;
    if (entry.wants.has(ticket) || entry.grants.has(ticket)) return;
    const want: Want = {
      id: `${entry.id}/${ticket}`,
      ticket,
      priority: wanted.priority,
      class: wanted.class,
      ...this.#latestStarts(wanted, now),
      exclude: wanted.exclude,
      entry,
      since: now - wanted.waitedMs,
    };
    if (this.slots.free === 0 && !this.#worthWaiting(want, now)) {
      this.#reject(want);
      return;
    }
    const offer = this.#queue.offer(want);
    if (offer.type !== "full") entry.wants.set(ticket, want);
    if (offer.type === "full") this.#reject(want);
    if (offer.type === "queued_instead") this.#reject(offer.evicted);
  }

  /**
   * Whether a call is likely to start in time, or soon enough after it. One
   * that would wait for nothing is better told at once when to come back.
   */
  #worthWaiting(want: Want, now: number): boolean {
    const { priority, target, deadline } = want;
    const startsAt = now + this.#waitMs(this.#queue.ahead(priority));
    if (startsAt <= (target ?? deadline)) return true;
    if (target === undefined) return false;
    const allMs = this.#waitMs(this.#queue.length);
    return allMs <= LATE_WAIT_SHARE * (deadline - now);
  }

  /** Refuses late calls that those before them leave no time. */
  #refuseHopeless(now: number): void {
    let ahead = this.#queue.timely;
    for (const want of this.#queue.late()) {
      if (now + this.#waitMs(ahead) <= want.deadline) {
        ahead += 1;
        continue;
      }
      this.#queue.remove(want.id);
      this.#reject(want);
    }
  }

  /** Until when a call may start, as far as the work of its class is known. */
  #latestStarts(
    wanted: Wanted,
    now: number,
  ): Pick<Want, "deadline" | "target"> {
    const { remainingMs, answerMs, targetMs, class: name } = wanted;
    const usualMs = this.#ledger.knee.usualMs(name);
    const workMs = WORK_MARGIN * (usualMs ?? 0);
    const known = usualMs !== undefined && answerMs !== undefined;
    return {
      deadline: now + (known ? answerMs - workMs : remainingMs),
      target: targetMs === undefined ? undefined : now + targetMs - workMs,
    };
  }

  #unwant(entry: DispatchEntry, ticket: number): void {
    const want = entry.wants.get(ticket);
    if (!want) return;
    entry.wants.delete(ticket);
    this.#queue.remove(want.id);
  }

  /** A waiting call got a slot that its entry used again. */
  #takeWant(entry: DispatchEntry, ticket: number): void {
    const want = entry.wants.get(ticket);
    if (!want) return;
    entry.wants.delete(ticket);
    this.#queue.takeItem(want.id);
  }

  #reject(want: Want): void {
    const { entry, ticket } = want;
    entry.wants.delete(ticket);
    const waitMs = this.#waitMs(this.#queue.length + 1);
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.ceil(waitMs));
    const detail = `${this.#queue.length} calls wait for ${this.slots.limit} usable slots`;
    const code = "queue_full";
    entry.draft.rejects.push({ ticket, code, retryAfterMs, detail });
    this.#ledger.drafted.add(entry);
  }

  /** Time in which so many waiting calls start, in milliseconds. */
  #waitMs(calls: number): number {
    const limit = Math.max(1, this.slots.limit);
    return (calls * this.#ledger.outliers.meanMs) / limit;
  }

  #forget(entry: DispatchEntry): void {
    for (const ticket of [...entry.wants.keys()]) this.#unwant(entry, ticket);
    this.#ledger.forget(entry);
  }

  /** Grants what can be granted and sends what there is to say. */
  #advance(now: number): SendEffect[] {
    // Without servers or reports, silence lets the entries choose locally.
    if (now < this.#openAt || this.slots.size === 0) return [];
    this.#grantWaiting(now);
    const { drafted, entries, credits } = this.#ledger;
    const state = { waiting: this.#queue.length, touched: drafted, now };
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
      patientDue: this.#queue.patientDue,
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
    const first = this.#queue.first(priority);
    return first ? now - first.since : -1;
  }

  #grantWaiting(now: number): void {
    const aside: Want[] = [];
    this.#queue.advance(now);
    while (aside.length < MAX_SET_ASIDE) {
      const want = this.#queue.peek();
      if (!want) break;
      const server = this.#choose(want);
      if (!server && !want.exclude?.length) break;
      this.#queue.take();
      if (server) this.#grant(want, server, now);
      else aside.push(want);
    }
    for (const want of aside) this.#queue.offer(want);
    this.#grantSpare(now);
  }

  /**
   * Gives a free slot of a straggler to a patient call, when the queue is
   * long, or to try the straggler again.
   */
  #grantSpare(now: number): void {
    const { outliers } = this.#ledger;
    // A spell is shorter than long work, so waiting for its end costs less.
    const spells = !isLongWork(outliers.meanMs);
    for (;;) {
      const want = this.#queue.first("patient") ?? this.#queue.first("urgent");
      if (!want || this.slots.free > 0) return;
      const spare = this.slots.pickSpare({ exclude: want.exclude, spells });
      if (!spare) return;
      const { health } = spare;
      if (!this.#gainsAtStraggler(want, spare, now)) {
        // A spell ends by itself, so that there is nothing to try.
        if (health.standing !== "slow") return;
        const tries = want.priority === "patient";
        if (!tries || !outliers.trialDue(health, now)) return;
        outliers.trialStarted(health, now);
      }
      this.#queue.takeItem(want.id);
      this.#grant(want, spare, now);
    }
  }

  /** Whether the queue takes longer than a straggler, and that is in time. */
  #gainsAtStraggler(want: Want, spare: ServerSlots, now: number): boolean {
    const { outliers, knee } = this.#ledger;
    const excess = spare.ratio - 1;
    const waitMs = this.#waitMs(this.#queue.length);
    if (waitMs <= SPARE_SHARE * excess * outliers.meanMs) return false;
    const usualMs = knee.usualMs(want.class) ?? outliers.meanMs;
    return now + excess * usualMs <= want.deadline;
  }

  #choose(want: Want): ServerSlots | undefined {
    const { outliers } = this.#ledger;
    const near = want.entry.dataCentre;
    const all = (want.exclude?.length ?? 0) >= this.slots.size;
    const exclude = all ? undefined : want.exclude;
    const free = this.slots.pick(near, { exclude });
    if (free) return free;
    const over = this.slots.pick(near, { exclude, over: OVER_GRANT });
    if (!over) return undefined;
    // Waiting at one server is worth it only when the queue takes as long.
    const { meanMs } = outliers;
    if (isLongWork(meanMs)) return undefined;
    const waitMs = this.#waitMs(this.#queue.length);
    return meanMs > 0 && waitMs >= meanMs / over.limit ? over : undefined;
  }

  #grant(want: Want, server: ServerSlots, now: number): void {
    const { entry, ticket, class: name } = want;
    entry.wants.delete(ticket);
    const sequence = this.#numbers.last + 1;
    this.#ledger.use(entry, {
      ticket,
      class: name,
      server,
      at: now,
      sequence,
    });
    const slowed = server.spare;
    entry.draft.grants.push({
      ticket,
      server: server.record.id,
      ...(slowed && { slowed }),
    });
    this.#ledger.drafted.add(entry);
  }
}
