import type { BackendServerId, HostId } from "#model";
import type { DispatchEntry } from "./dispatch_entry.ts";
import { isLongRunning } from "./long_running.ts";
import type { ServerSlots } from "./server_slots.ts";
import type { SlotTable } from "./slot_table.ts";

/** Share of free slots above which credits are given. */
const START_SHARE = 0.4;
/** Share of free slots below which all credits are revoked. */
const STOP_SHARE = 0.2;
/** Round trip to the dispatcher for which an entry's credits must last. */
const ROUND_TRIP_MS = 2.5;
const MIN_CREDITS = 2;
const CREDITS_PER_CALL = 6;
/**
 * Call rate below which an entry counts as idle; reached about 2 s after a
 * single call.
 */
const IDLE_CALLS_PER_MS = 1e-7;

/**
 * Decides which slots entries may take without asking: their credits. A credit
 * reserves nothing. When a server fills up, its credits are revoked; a call
 * that takes a slot before the revocation arrives only adds one call too many
 * to the server for a moment.
 */
export class CreditPolicy {
  readonly #slots: SlotTable;
  readonly #serviceTimes: { readonly meanMs: number };
  #ample = false;

  constructor(slots: SlotTable, serviceTimes: { readonly meanMs: number }) {
    this.#slots = slots;
    this.#serviceTimes = serviceTimes;
  }

  /**
   * Gives credits to the entries that have just sent messages, or to all when
   * enough slots have become free; revokes all credits when too few are free.
   * Returns the entries to notify.
   */
  balance(
    entries: ReadonlyMap<HostId, DispatchEntry>,
    state: {
      waiting: number;
      activeEntries: ReadonlySet<DispatchEntry>;
      now: number;
    },
  ): DispatchEntry[] {
    const share = this.#slots.free / Math.max(1, this.#slots.limit);
    const threshold = this.#ample ? STOP_SHARE : START_SHARE;
    const shortCalls = !isLongRunning(this.#serviceTimes.meanMs);
    const ample = shortCalls && state.waiting === 0 && share > threshold;
    const notified: DispatchEntry[] = [];
    if (!ample && this.#ample) {
      for (const entry of entries.values()) {
        if (this.#revokeAll(entry)) notified.push(entry);
      }
    }
    const due = this.#ample ? state.activeEntries : entries.values();
    this.#ample = ample;
    if (!ample) return notified;
    for (const entry of due) {
      if (this.#topUp(entry, state.now)) notified.push(entry);
    }
    return notified;
  }

  /** Revokes the credits for a server that is full or unusable. */
  revokeServer(
    server: ServerSlots,
    entries: ReadonlyMap<HostId, DispatchEntry>,
  ): DispatchEntry[] {
    const notified: DispatchEntry[] = [];
    if (server.credits === 0) return notified;
    for (const entry of entries.values()) {
      let held = false;
      while (entry.dropCredit(server)) {
        entry.outbox.revoked.push(server.record.id);
        this.#slots.adjustCredits(server, -1);
        held = true;
      }
      if (held) notified.push(entry);
    }
    return notified;
  }

  /** Revokes credits for servers that were removed. */
  revokeStale(entry: DispatchEntry): void {
    for (const server of [...entry.credits]) {
      if (this.#slots.get(server.record.id) === server) continue;
      entry.dropCredit(server);
      entry.outbox.revoked.push(server.record.id);
    }
  }

  /** Replaces the recorded credits of an entry by those in its report. */
  replaceCredits(entry: DispatchEntry, held: readonly BackendServerId[]): void {
    this.clearCredits(entry);
    for (const id of held) {
      const server = this.#slots.get(id);
      if (!server || server.free === 0 || server.isSlow) {
        entry.outbox.revoked.push(id);
        continue;
      }
      entry.credits.push(server);
      this.#slots.adjustCredits(server, 1);
    }
  }

  clearCredits(entry: DispatchEntry): void {
    for (const server of entry.credits.splice(0)) {
      this.#slots.adjustCredits(server, -1);
    }
  }

  #revokeAll(entry: DispatchEntry): boolean {
    if (entry.credits.length === 0) return false;
    for (const server of entry.credits) {
      entry.outbox.revoked.push(server.record.id);
    }
    this.clearCredits(entry);
    return true;
  }

  #topUp(entry: DispatchEntry, now: number): boolean {
    const rate = entry.callsPerMs(now);
    if (rate < IDLE_CALLS_PER_MS) return false;
    const calls = rate * ROUND_TRIP_MS;
    const wanted = MIN_CREDITS + Math.floor(CREDITS_PER_CALL * calls);
    let given = false;
    while (entry.credits.length < wanted) {
      const server = this.#slots.pick(entry.dataCentre);
      if (!server) break;
      entry.credits.push(server);
      entry.outbox.credits.push(server.record.id);
      this.#slots.adjustCredits(server, 1);
      given = true;
    }
    return given;
  }
}
