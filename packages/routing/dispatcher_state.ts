import type { BackendServer, Entry, HostId, Service } from "#model";
import { SlowdownMeter } from "#overload";
import { ConcurrencyEstimator } from "./concurrency_estimator.ts";
import { CreditPolicy } from "./credits.ts";
import { DispatchEntry, type SlotAllocation } from "./dispatch_entry.ts";
import type {
  RateLimitChanges,
  ReleasedSlot,
  ServerRateLimit,
  TakenSlot,
} from "./messages.ts";
import { type Observation, OutlierDetector } from "./outlier_detector.ts";
import { RateLimitLog } from "./rate_limit_log.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { ServerSlots } from "./server_slots.ts";
import { SlotTable } from "./slot_table.ts";

/** Interval at which running calls are evaluated and limits are refreshed. */
const EVALUATION_INTERVAL_MS = 20;
/** Age up to which a call counts as running without a report that lists it. */
const UNCONFIRMED_MS = 250;
/**
 * A slot taken longer ago than this was chosen locally, without a dispatcher.
 */
const LOCAL_CHOICE_AGE_MS = 2;

/** A call that still runs, with its run time so far. */
type RunningCall = Pick<Observation, "class" | "serviceMs" | "queueRatio">;

/**
 * State of a dispatcher: which entry uses which slot of a service, the credits
 * given to entries, and the health and limits of the servers.
 */
export class DispatcherState {
  readonly outliers: OutlierDetector;
  readonly slots: SlotTable;
  readonly credits: CreditPolicy;
  readonly concurrency = new ConcurrencyEstimator();
  /** How much longer calls take than their typical time. */
  readonly slowdown = new SlowdownMeter();
  readonly entries = new Map<HostId, DispatchEntry>();
  /** Entries whose outbox may have to be sent. */
  readonly entriesToNotify = new Set<DispatchEntry>();
  readonly #rateLimitLog: RateLimitLog;
  #nextEvaluationAt = 0;

  constructor(service: Service, sequenceNumbers: SequenceNumbers) {
    this.#rateLimitLog = new RateLimitLog(sequenceNumbers);
    this.outliers = new OutlierDetector(service);
    this.slots = new SlotTable(service, this.outliers, this.concurrency);
    this.credits = new CreditPolicy(this.slots, this.outliers);
  }

  configure(service: Service): void {
    this.outliers.configure(service);
    this.slots.configure(service);
  }

  setServers(records: readonly BackendServer[], now: number): void {
    this.slots.setServers(records, now);
    for (const server of this.slots.servers()) {
      if (server.isPaced) this.revokeCredits(server);
    }
    for (const entry of this.entries.values()) {
      this.credits.revokeStale(entry);
      this.entriesToNotify.add(entry);
    }
  }

  addEntry(member: Entry, now: number): DispatchEntry {
    const entry = new DispatchEntry(member, now);
    this.entries.set(member.id, entry);
    return entry;
  }

  /** Records a slot that an entry took without a grant. */
  recordTaken(entry: DispatchEntry, taken: TakenSlot, now: number): void {
    const known = entry.allocations.get(taken.ticket);
    if (known) {
      known.confirmedAt = now;
      return;
    }
    const server = this.slots.get(taken.server);
    if (!server) return;
    if (entry.dropCredit(server)) this.slots.adjustCredits(server, -1);
    const { ticket, class: className } = taken;
    const assignedAt = now - taken.ageMs;
    const allocation = {
      ticket,
      class: className,
      server,
      assignedAt,
      grantSequence: 0,
    };
    this.allocate(entry, allocation, {
      queueRatioKnown: taken.ageMs < LOCAL_CHOICE_AGE_MS,
    });
  }

  allocate(
    entry: DispatchEntry,
    allocation: Omit<
      SlotAllocation,
      "queueRatio" | "runningAtStart" | "confirmedAt"
    > & {
      ticket: number;
    },
    options: { queueRatioKnown: boolean } = { queueRatioKnown: true },
  ): void {
    const { server } = allocation;
    const { slots } = server.record;
    const queued = Math.max(0, server.inUse + 1 - slots);
    const queueRatio = options.queueRatioKnown ? queued / slots : undefined;
    const confirmedAt = allocation.assignedAt;
    const runningAtStart = server.inUse + 1;
    const created = { ...allocation, queueRatio, runningAtStart, confirmedAt };
    entry.allocations.set(allocation.ticket, created);
    entry.recordConnection(server, allocation.assignedAt);
    server.pacer?.take(allocation.assignedAt);
    this.slots.adjustInUse(server, 1);
    if (server.free === 0) this.revokeCredits(server);
  }

  freeSlot(entry: DispatchEntry, ticket: number): SlotAllocation | undefined {
    const allocation = entry.allocations.get(ticket);
    if (!allocation) return undefined;
    entry.allocations.delete(ticket);
    this.slots.adjustInUse(allocation.server, -1);
    return allocation;
  }

  /**
   * Frees a slot and updates the server's health from the outcome of its call.
   */
  recordRelease(
    entry: DispatchEntry,
    released: ReleasedSlot,
    now: number,
  ): void {
    const allocation = this.freeSlot(entry, released.ticket);
    if (!allocation) return;
    const { server, queueRatio } = allocation;
    const { kind, serviceMs } = released;
    if (released.leaving) server.leaving = true;
    const answer = {
      rateLimit: released.rateLimit,
      complete: kind === "answered",
    };
    this.#updateRateLimit(server, now, () =>
      server.rateLimit.recordAnswer(answer, now),
    );
    if (kind === "unused" && allocation.paced) server.pacer?.giveBack();
    const { warmUpMs } = released;
    if (warmUpMs !== undefined) server.cold.recordAnswer(warmUpMs, now);
    server.recordSlowdown(released.slowdown, now);
    if (released.backOffMs !== undefined) {
      entry.recordBackOff(server, now + released.backOffMs);
      if (kind !== "unused") server.recordShed(now);
    } else if (kind !== "unused") {
      server.lastHeard = now;
      const wasFull = allocation.runningAtStart >= server.record.slots;
      if (kind === "not_started" && wasFull) server.recordShed(now);
      if (kind === "answered") {
        server.recordAnswer();
        const workMs = this.concurrency.typicalMs(allocation.class);
        if (workMs) this.slowdown.record(now - allocation.assignedAt, workMs);
        if (!server.isSlow) this.#recordServiceTime(allocation, serviceMs, now);
      }
      // Without the queue ratio, a long service time says nothing about the
      // server.
      if (queueRatio !== undefined || kind !== "answered") {
        // A server that refuses a call although it has free slots counts as
        // failing.
        const refused = kind === "not_started" && !wasFull;
        const outcome = {
          kind: refused ? ("failed" as const) : kind,
          serviceMs,
          class: allocation.class,
        };
        const observation = { ...outcome, queueRatio: queueRatio ?? 0 };
        this.outliers.observe(server.health, observation, now);
      }
    }
    this.slots.refresh(server, now);
    if (server.limit === 0 || server.isSlow) this.revokeCredits(server);
  }

  #recordServiceTime(
    allocation: SlotAllocation,
    serviceMs: number,
    now: number,
  ): void {
    const { class: className, runningAtStart, server } = allocation;
    const { slots } = server.record;
    this.concurrency.observe(
      { class: className, running: runningAtStart, slots, serviceMs },
      now,
    );
  }

  /** Removes an entry and frees its slots and credits. */
  removeEntry(entry: DispatchEntry): void {
    for (const ticket of [...entry.allocations.keys()])
      this.freeSlot(entry, ticket);
    this.credits.clearCredits(entry);
    this.entries.delete(entry.id);
    this.entriesToNotify.delete(entry);
  }

  /** Records the rate limits that an entry knows of. */
  recordRateLimits(limits: readonly ServerRateLimit[], now: number): void {
    for (const limit of limits) {
      const server = this.slots.get(limit.server);
      if (server?.record.incarnation !== limit.incarnation) continue;
      this.#updateRateLimit(server, now, () =>
        server.rateLimit.recordNotice(limit, now),
      );
    }
  }

  /** The changes of rate limits that an entry was not told yet. */
  rateLimitChanges(
    entry: DispatchEntry,
    now: number,
  ): RateLimitChanges | undefined {
    const servers = this.slots.servers();
    const version = entry.rateLimitVersion ?? 0;
    return this.#rateLimitLog.changesSince(version, { servers, now });
  }

  #updateRateLimit(
    server: ServerSlots,
    now: number,
    update: () => boolean,
  ): void {
    const hadLimit = server.rateLimit.perSecond !== undefined;
    if (!update()) return;
    const hasLimit = server.rateLimit.perSecond !== undefined;
    if (hasLimit !== hadLimit) this.#rateLimitLog.record(server);
    this.slots.updatePacer(server, now);
    this.slots.refresh(server, now);
    this.revokeCredits(server);
  }

  /** Records the result of a probe. */
  recordProbe(
    server: ServerSlots,
    result: { failed: boolean; leaving: boolean },
    now: number,
  ): void {
    server.lastHeard = now;
    if (result.leaving) server.leaving = true;
    if (result.failed) {
      const observation = {
        kind: "lost",
        serviceMs: 0,
        queueRatio: 0,
        class: "",
      };
      this.outliers.observe(server.health, observation as Observation, now);
    }
    this.slots.refresh(server, now);
    if (server.limit === 0) this.revokeCredits(server);
  }

  tick(now: number): void {
    if (now < this.#nextEvaluationAt) return;
    this.#nextEvaluationAt = now + EVALUATION_INTERVAL_MS;
    this.outliers.tick(now);
    this.#evaluateRunningCalls(now);
    this.slots.updateWarmUp(now);
    for (const server of this.slots.servers()) {
      this.slots.refresh(server, now);
    }
  }

  /** Revokes all credits for a server. */
  revokeCredits(server: ServerSlots): void {
    if (server.credits === 0) return;
    for (const entry of this.credits.revokeServer(server, this.entries)) {
      this.entriesToNotify.add(entry);
    }
  }

  #evaluateRunningCalls(now: number): void {
    const running = new Map<ServerSlots, RunningCall[]>();
    for (const entry of this.entries.values()) {
      for (const allocation of entry.allocations.values()) {
        const { server, queueRatio } = allocation;
        const runMs = confirmedRunMs(entry, allocation, now);
        if (runMs <= 0 || queueRatio === undefined) continue;
        const call = { class: allocation.class, serviceMs: runMs, queueRatio };
        const calls = running.get(server);
        if (calls) calls.push(call);
        else running.set(server, [call]);
      }
    }
    for (const [server, calls] of running) {
      const { health } = server;
      if (!this.outliers.evaluateRunning(health, calls, now)) continue;
      this.slots.refresh(server, now);
      this.revokeCredits(server);
    }
  }
}

/**
 * Time for which a call is known to have run. An entry that was cut off could
 * not report the call's end, so an old call counts only up to the last report
 * that listed it.
 */
function confirmedRunMs(
  entry: DispatchEntry,
  allocation: SlotAllocation,
  now: number,
): number {
  const recent = now - allocation.assignedAt < UNCONFIRMED_MS;
  const until = recent ? entry.lastHeard : allocation.confirmedAt;
  return until - allocation.assignedAt;
}
