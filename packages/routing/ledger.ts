import type { BackendServer, Entry, HostId, Service } from "#model";
import { CreditPolicy } from "./credits.ts";
import { DispatchEntry, type Grant } from "./dispatch_entry.ts";
import { Knee } from "./knee.ts";
import type { Released, Taken } from "./messages.ts";
import { type Observation, Outliers } from "./outliers.ts";
import { type ServerSlots, SlotTable } from "./slots.ts";

/** Interval of tests of running calls and of changes of limits. */
const WEIGH_MS = 20;
/** Age up to which a call counts as running without a report that says so. */
const UNCONFIRMED_MS = 250;
/** A slot taken longer ago was taken by local choice. */
const KNOWN_MS = 2;

/** A call that still runs. */
type RunningCall = Pick<Observation, "class" | "serviceMs" | "crowding">;

/** Which entry uses which slot of a service, and how the servers do. */
export class Ledger {
  readonly outliers: Outliers;
  readonly slots: SlotTable;
  readonly credits: CreditPolicy;
  readonly knee = new Knee();
  readonly entries = new Map<HostId, DispatchEntry>();
  /** Entries whose draft may have something to say. */
  readonly drafted = new Set<DispatchEntry>();
  #weighAt = 0;

  constructor(service: Service) {
    this.outliers = new Outliers(service);
    this.slots = new SlotTable(service, this.outliers, this.knee);
    this.credits = new CreditPolicy(this.slots, this.outliers);
  }

  configure(service: Service): void {
    this.outliers.configure(service);
    this.slots.configure(service);
  }

  setServers(records: readonly BackendServer[], now: number): void {
    this.slots.setServers(records, now);
    for (const entry of this.entries.values()) {
      this.credits.revokeStale(entry);
      this.drafted.add(entry);
    }
  }

  addEntry(member: Entry, now: number): DispatchEntry {
    const entry = new DispatchEntry(member, now);
    this.entries.set(member.id, entry);
    return entry;
  }

  /** Counts a slot that an entry took without asking. */
  take(entry: DispatchEntry, taken: Taken, now: number): void {
    const known = entry.grants.get(taken.ticket);
    if (known) {
      known.confirmedAt = now;
      return;
    }
    const server = this.slots.get(taken.server);
    if (!server) return;
    if (entry.dropCredit(server)) this.slots.credit(server, -1);
    const { ticket, class: name } = taken;
    const at = now - taken.ageMs;
    const grant = { ticket, class: name, server, at, sequence: 0 };
    this.use(entry, grant, { crowdingKnown: taken.ageMs < KNOWN_MS });
  }

  use(
    entry: DispatchEntry,
    grant: Omit<Grant, "crowding" | "running" | "confirmedAt"> & {
      ticket: number;
    },
    options: { crowdingKnown: boolean } = { crowdingKnown: true },
  ): void {
    const { server } = grant;
    const { slots } = server.record;
    const ahead = Math.max(0, server.inUse + 1 - slots);
    const crowding = options.crowdingKnown ? ahead / slots : undefined;
    const confirmedAt = grant.at;
    const running = server.inUse + 1;
    const used = { ...grant, crowding, running, confirmedAt };
    entry.grants.set(grant.ticket, used);
    entry.noteConnection(server, grant.at);
    this.slots.use(server, 1);
    if (server.free === 0) this.revoke(server);
  }

  free(entry: DispatchEntry, ticket: number): Grant | undefined {
    const grant = entry.grants.get(ticket);
    if (!grant) return undefined;
    entry.grants.delete(ticket);
    this.slots.use(grant.server, -1);
    return grant;
  }

  /** Frees a slot and learns from what became of its call. */
  release(entry: DispatchEntry, released: Released, now: number): void {
    const grant = this.free(entry, released.ticket);
    if (!grant) return;
    const { server, crowding } = grant;
    const { kind, serviceMs } = released;
    if (released.leaving) server.leaving = true;
    server.noteSlowdown(released.slowdown, now);
    if (kind !== "unused") {
      server.lastHeard = now;
      const full = grant.running >= server.record.slots;
      if (kind === "not_started" && full) server.shed(now);
      if (kind === "answered") {
        server.answered();
        if (!server.spare) this.#learnCrowding(grant, serviceMs, now);
      }
      // Without the crowding, a long answer says nothing about the server.
      if (crowding !== undefined || kind !== "answered") {
        // A server with free slots that refuses a call fails to do its work.
        const refused = kind === "not_started" && !full;
        const seen = {
          kind: refused ? ("failed" as const) : kind,
          serviceMs,
          class: grant.class,
        };
        const observation = { ...seen, crowding: crowding ?? 0 };
        this.outliers.observe(server.health, observation, now);
      }
    }
    this.slots.refresh(server, now);
    if (server.limit === 0 || server.spare) this.revoke(server);
  }

  #learnCrowding(grant: Grant, serviceMs: number, now: number): void {
    const { class: name, running, server } = grant;
    const { slots } = server.record;
    this.knee.observe({ class: name, running, slots, serviceMs }, now);
  }

  /** Forgets an entry with all that it holds. */
  forget(entry: DispatchEntry): void {
    for (const ticket of [...entry.grants.keys()]) this.free(entry, ticket);
    this.credits.forget(entry);
    this.entries.delete(entry.id);
    this.drafted.delete(entry);
  }

  /** Takes in a probe's answer. */
  probed(
    server: ServerSlots,
    result: { failed: boolean; leaving: boolean },
    now: number,
  ): void {
    server.lastHeard = now;
    if (result.leaving) server.leaving = true;
    if (result.failed) {
      const seen = { kind: "lost", serviceMs: 0, crowding: 0, class: "" };
      this.outliers.observe(server.health, seen as Observation, now);
    }
    this.slots.refresh(server, now);
    if (server.limit === 0) this.revoke(server);
  }

  tick(now: number): void {
    if (now < this.#weighAt) return;
    this.#weighAt = now + WEIGH_MS;
    this.outliers.tick(now);
    this.#weighRunning(now);
    this.slots.updateWarmUp(now);
    for (const server of this.slots.servers()) {
      this.slots.refresh(server, now);
    }
  }

  /** Revokes all credits for a server. */
  revoke(server: ServerSlots): void {
    if (server.credits === 0) return;
    for (const entry of this.credits.revokeServer(server, this.entries)) {
      this.drafted.add(entry);
    }
  }

  #weighRunning(now: number): void {
    const running = new Map<ServerSlots, RunningCall[]>();
    for (const entry of this.entries.values()) {
      for (const grant of entry.grants.values()) {
        const { server, crowding } = grant;
        const serviceMs = certainMs(entry, grant, now);
        if (serviceMs <= 0 || crowding === undefined) continue;
        const call = { class: grant.class, serviceMs, crowding };
        const calls = running.get(server);
        if (calls) calls.push(call);
        else running.set(server, [call]);
      }
    }
    for (const [server, calls] of running) {
      const { health } = server;
      if (!this.outliers.weighRunning(health, calls, now)) continue;
      this.slots.refresh(server, now);
      this.revoke(server);
    }
  }
}

/**
 * Time that a call has certainly run: an entry that was cut off could not
 * tell that it had ended, so an old call must be confirmed by a report.
 */
function certainMs(entry: DispatchEntry, grant: Grant, now: number): number {
  const recent = now - grant.at < UNCONFIRMED_MS;
  const until = recent ? entry.lastHeard : grant.confirmedAt;
  return until - grant.at;
}
