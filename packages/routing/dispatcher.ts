import { ClassQueue } from "#admission";
import type { BackendServer, DataCentre, HostId, Service } from "#model";
import { CreditPolicy } from "./credits.ts";
import { DispatchEntry, type Grant, type Want } from "./dispatch_entry.ts";
import type { SendEffect } from "./effects.ts";
import type {
  DispatchReport,
  DispatchUpdate,
  Released,
  Taken,
  Wanted,
} from "./messages.ts";
import type { Numbers } from "./numbers.ts";
import { Outliers } from "./outliers.ts";
import { type ServerSlots, SlotTable } from "./slots.ts";

/** Time in which a new dispatcher only collects reports. */
const REBUILD_MS = 15;
/** Slots of an entry that is silent for so long count as free. */
const ENTRY_LEASE_MS = 2_500;
/** Interval of the tests for stragglers among running calls. */
const WEIGH_MS = 20;
/** Calls that a server may get above its slots. */
const OVER_GRANT = 1;
/** Calls of a repeat that may be passed over because of their exclusions. */
const MAX_SET_ASIDE = 8;
const MIN_RETRY_MS = 10;

/**
 * Grants the slots of one service to all entries. Holds the service's queue
 * and is rebuilt from the entries' reports wherever it is started.
 */
export class Dispatcher {
  #service: Service;
  #epoch: number;
  readonly #numbers: Numbers;
  readonly #outliers: Outliers;
  readonly #slots: SlotTable;
  readonly #credits: CreditPolicy;
  readonly #queue: ClassQueue<Want>;
  readonly #entries = new Map<HostId, DispatchEntry>();
  #members: ReadonlyMap<HostId, DataCentre>;
  #openAt: number;
  #weighAt = 0;
  /** Entries whose draft is not empty. */
  readonly #drafted = new Set<DispatchEntry>();

  constructor(options: {
    service: Service;
    epoch: number;
    members: ReadonlyMap<HostId, DataCentre>;
    numbers: Numbers;
    now: number;
  }) {
    this.#service = options.service;
    this.#numbers = options.numbers;
    this.#epoch = options.epoch;
    this.#members = options.members;
    this.#openAt = options.now + REBUILD_MS;
    this.#outliers = new Outliers(options.service);
    this.#slots = new SlotTable(options.service, this.#outliers);
    this.#credits = new CreditPolicy(this.#slots);
    this.#queue = new ClassQueue(options.service.queueLength);
  }

  /** Calls waiting for a slot. */
  get waiting(): number {
    return this.#queue.length;
  }

  get idle(): boolean {
    return this.#entries.size === 0;
  }

  /** Slots in use and credits given, by server; for tests and metrics. */
  usage(): { server: string; inUse: number; credits: number }[] {
    return [...this.#slots.servers()].map(({ record, inUse, credits }) => ({
      server: record.id,
      inUse,
      credits,
    }));
  }

  get slots(): SlotTable {
    return this.#slots;
  }

  get outliers(): Outliers {
    return this.#outliers;
  }

  /** Goes on in a new view; entries that left it lose their slots. */
  configure(
    service: Service,
    view: { epoch: number; members: ReadonlyMap<HostId, DataCentre> },
    now: number,
  ): SendEffect[] {
    this.#service = service;
    this.#epoch = view.epoch;
    this.#members = view.members;
    this.#queue.setLimit(service.queueLength);
    this.#outliers.configure(service);
    this.#slots.configure(service);
    for (const entry of this.#entries.values()) {
      if (!view.members.has(entry.id)) this.#forget(entry);
    }
    return this.#advance(now);
  }

  setServers(records: readonly BackendServer[], now: number): SendEffect[] {
    this.#slots.setServers(records, now);
    for (const entry of this.#entries.values()) {
      this.#credits.revokeStale(entry);
      this.#drafted.add(entry);
    }
    return this.#advance(now);
  }

  /** The connection to an entry is lost, or it has been silent for long. */
  entryDown(id: HostId, now: number): SendEffect[] {
    const entry = this.#entries.get(id);
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
      this.#free(entry, ticket);
    }
    for (const taken of report.taken) this.#take(entry, taken, now);
    const wanted = new Set(report.wanted.map((want) => want.ticket));
    for (const ticket of entry.wants.keys()) {
      if (!wanted.has(ticket)) this.#unwant(entry, ticket);
    }
    for (const want of report.wanted) this.#want(entry, want, now);
    this.#credits.adopt(entry, report.credits);
    entry.answerDue = true;
    return this.#advance(now);
  }

  update(from: HostId, update: DispatchUpdate, now: number): SendEffect[] {
    const entry = this.#accept(from, update, { now, create: false });
    if (!entry) return [];
    for (const ticket of update.cancelled) this.#unwant(entry, ticket);
    for (const taken of update.taken) {
      entry.countCall(now);
      this.#take(entry, taken, now);
    }
    for (const released of update.released) {
      this.#release(entry, released, now);
    }
    for (const want of update.wanted) {
      entry.countCall(now);
      this.#want(entry, want, now);
    }
    if (update.ping || update.wanted.length > 0) entry.answerDue = true;
    return this.#advance(now);
  }

  tick(now: number): SendEffect[] {
    for (const entry of this.#entries.values()) {
      if (now - entry.lastHeard > ENTRY_LEASE_MS) this.#forget(entry);
    }
    this.#outliers.tick(now);
    if (now >= this.#weighAt) this.#weighRunning(now);
    for (const server of this.#slots.servers()) {
      this.#slots.refresh(server, now);
    }
    return this.#advance(now);
  }

  #accept(
    from: HostId,
    message: { epoch: number; sequence: number },
    options: { now: number; create: boolean },
  ): DispatchEntry | undefined {
    const dataCentre = this.#members.get(from);
    if (message.epoch !== this.#epoch || dataCentre === undefined) {
      return undefined;
    }
    let entry = this.#entries.get(from);
    if (!entry && options.create) {
      entry = new DispatchEntry(from, dataCentre, options.now);
      this.#entries.set(from, entry);
    }
    if (!entry || message.sequence <= entry.received) return undefined;
    entry.received = message.sequence;
    entry.lastHeard = options.now;
    this.#drafted.add(entry);
    return entry;
  }

  #take(entry: DispatchEntry, taken: Taken, now: number): void {
    if (entry.grants.has(taken.ticket)) return;
    this.#unwant(entry, taken.ticket);
    const server = this.#slots.get(taken.server);
    if (!server) return;
    if (entry.dropCredit(server)) this.#slots.credit(server, -1);
    this.#use(entry, {
      ticket: taken.ticket,
      class: taken.class,
      server,
      at: now - taken.ageMs,
      sequence: 0,
    });
  }

  #use(
    entry: DispatchEntry,
    grant: Omit<Grant, "crowding"> & { ticket: number },
  ): void {
    const { server } = grant;
    const over = server.inUse + 1 - server.record.slots;
    const crowding = Math.max(0, over) / server.record.slots;
    entry.grants.set(grant.ticket, { ...grant, crowding });
    this.#slots.use(server, 1);
    if (server.free === 0 && server.credits > 0) this.#revoke(server);
  }

  #free(entry: DispatchEntry, ticket: number): Grant | undefined {
    const grant = entry.grants.get(ticket);
    if (!grant) return undefined;
    entry.grants.delete(ticket);
    this.#slots.use(grant.server, -1);
    return grant;
  }

  #release(entry: DispatchEntry, released: Released, now: number): void {
    this.#unwant(entry, released.ticket);
    const grant = this.#free(entry, released.ticket);
    if (!grant) return;
    const { server } = grant;
    if (released.leaving) server.leaving = true;
    if (released.kind === "unused") {
      this.#slots.refresh(server, now);
      return;
    }
    server.lastHeard = now;
    if (released.kind === "not_started") server.shed(now);
    if (released.kind === "answered") server.answered();
    const { kind, serviceMs } = released;
    const { crowding } = grant;
    const seen = { kind, serviceMs, crowding, class: grant.class };
    this.#outliers.observe(server.record.id, seen, now);
    this.#slots.refresh(server, now);
    if (server.limit === 0 || server.spare) this.#revoke(server);
  }

  #want(entry: DispatchEntry, wanted: Wanted, now: number): void {
    const { ticket } = wanted;
    if (entry.wants.has(ticket) || entry.grants.has(ticket)) return;
    const want: Want = {
      id: `${entry.id}/${ticket}`,
      ticket,
      priority: wanted.priority,
      class: wanted.class,
      deadline: now + wanted.remainingMs,
      exclude: wanted.exclude,
      entry,
      since: now - wanted.waitedMs,
    };
    const waitMs = this.#waitMs(
      process.env.OQ ? this.#queue.ahead(want.priority) : this.#queue.length,
    );
    if (this.#slots.free === 0 && now + waitMs > want.deadline) {
      this.#reject(want);
      return;
    }
    const offer = this.#queue.offer(want);
    if (offer.type !== "full") entry.wants.set(ticket, want);
    if (offer.type === "full") this.#reject(want);
    if (offer.type === "queued_instead") this.#reject(offer.evicted);
  }

  #unwant(entry: DispatchEntry, ticket: number): void {
    const want = entry.wants.get(ticket);
    if (!want) return;
    entry.wants.delete(ticket);
    this.#queue.remove(want.id);
  }

  #reject(want: Want): void {
    want.entry.wants.delete(want.ticket);
    want.entry.draft.rejects.push({
      ticket: want.ticket,
      code: "queue_full",
      retryAfterMs: Math.max(
        MIN_RETRY_MS,
        Math.ceil(this.#waitMs(this.#queue.length + 1)),
      ),
    });
    this.#drafted.add(want.entry);
  }

  /** Time in which so many waiting calls start, in milliseconds. */
  #waitMs(calls: number): number {
    const limit = Math.max(1, this.#slots.limit);
    return (calls * this.#outliers.meanMs()) / limit;
  }

  #forget(entry: DispatchEntry): void {
    for (const ticket of [...entry.grants.keys()]) this.#free(entry, ticket);
    for (const ticket of [...entry.wants.keys()]) this.#unwant(entry, ticket);
    this.#credits.forget(entry);
    this.#entries.delete(entry.id);
    this.#drafted.delete(entry);
  }

  #revoke(server: ServerSlots): void {
    for (const entry of this.#credits.revokeServer(server, this.#entries)) {
      this.#drafted.add(entry);
    }
  }

  #weighRunning(now: number): void {
    this.#weighAt = now + WEIGH_MS;
    const running = new Map<
      ServerSlots,
      { class: string; serviceMs: number; crowding: number }[]
    >();
    for (const entry of this.#entries.values()) {
      for (const grant of entry.grants.values()) {
        const { server, crowding } = grant;
        const call = {
          class: grant.class,
          serviceMs: now - grant.at,
          crowding,
        };
        const calls = running.get(server);
        if (calls) calls.push(call);
        else running.set(server, [call]);
      }
    }
    for (const [server, calls] of running) {
      const { id } = server.record;
      if (!this.#outliers.weighRunning(id, calls, now)) continue;
      this.#slots.refresh(server, now);
      this.#revoke(server);
    }
  }

  /** Grants what can be granted and sends what there is to say. */
  #advance(now: number): SendEffect[] {
    if (now < this.#openAt) return [];
    this.#grantWaiting(now);
    const waiting = this.#queue.length;
    const state = { waiting, touched: this.#drafted, now };
    for (const entry of this.#credits.balance(this.#entries, state)) {
      this.#drafted.add(entry);
    }
    const effects: SendEffect[] = [];
    const header = {
      service: this.#service.name,
      epoch: this.#epoch,
      waitedMs: {
        urgent: this.#waited("urgent", now),
        patient: this.#waited("patient", now),
      },
      avoid: this.#slots.avoided(),
    };
    for (const entry of this.#drafted) {
      const payload = entry.takeDraft(header, this.#numbers);
      if (!payload) continue;
      const kind = "dispatch_grant";
      effects.push({ type: "send", to: entry.id, kind, payload });
    }
    this.#drafted.clear();
    return effects;
  }

  #waited(priority: "urgent" | "patient", now: number): number {
    const first = this.#queue.first(priority);
    return first ? now - first.since : -1;
  }

  #grantWaiting(now: number): void {
    const aside: Want[] = [];
    while (aside.length < MAX_SET_ASIDE) {
      const want = this.#queue.peek();
      if (!want) break;
      const server = this.#choose(want, now);
      if (!server && !want.exclude?.length) break;
      this.#queue.take();
      if (server) this.#grant(want, server, now);
      else aside.push(want);
    }
    for (const want of aside) this.#queue.offer(want);
  }

  #choose(want: Want, now: number): ServerSlots | undefined {
    const { exclude } = want;
    const near = want.entry.dataCentre;
    const everyServerExcluded = (exclude?.length ?? 0) >= this.#slots.size;
    const options = { exclude: everyServerExcluded ? undefined : exclude };
    const free = this.#slots.pick(near, options);
    if (free) return free;
    const spare = this.#slots.pickSpare(options.exclude);
    const waitMs = this.#waitMs(this.#queue.length);
    if (spare) {
      const { id } = spare.record;
      const excessMs = (spare.health.ratio - 1) * this.#outliers.meanMs();
      if (waitMs > excessMs) return spare;
      if (this.#outliers.trialDue(id, now) && want.priority === "patient") {
        this.#outliers.trialStarted(id, now);
        return spare;
      }
    }
    const over = this.#slots.pick(near, { ...options, over: OVER_GRANT });
    if (!over) return undefined;
    // Waiting at one server is worth it only when the queue takes as long.
    return waitMs >= this.#outliers.meanMs() / over.limit ? over : undefined;
  }

  #grant(want: Want, server: ServerSlots, now: number): void {
    const { entry, ticket } = want;
    entry.wants.delete(ticket);
    const sequence = this.#numbers.last + 1;
    const { class: name } = want;
    this.#use(entry, { ticket, class: name, server, at: now, sequence });
    entry.draft.grants.push({ ticket, server: server.record.id });
    this.#drafted.add(entry);
  }
}
