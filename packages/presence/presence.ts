import { err, ok, type Result } from "neverthrow";
import {
  type BackendServer,
  backendServerKey,
  type DataCentre,
  EMPTY_VIEW,
  type HostId,
  type Randomness,
  type View,
} from "#model";
import { AnnouncementChecks } from "./announcement_checks.ts";
import type { AnnouncementFault, LeaseAnswer, Leave } from "./announcements.ts";
import { Effects, type PresenceEffect } from "./effects.ts";
import type { PresenceMessages } from "./messages.ts";
import { OwnServers } from "./own_servers.ts";
import { Publisher } from "./publisher.ts";
import { type Receipt, Replication } from "./replication.ts";
import { ServerTable } from "./server_table.ts";
import { AdaptiveSpread, type Spread, type Topology } from "./spread.ts";
import { Stalls } from "./stalls.ts";
import {
  DEFAULT_LIMITS,
  EXPIRY_SCAN_MS,
  JOIN_TIMEOUT_MS,
  LEASE_MS,
  LOST_MS,
  type PresenceLimits,
  RENEW_MS,
  SILENCE_MARGIN_MS,
  summaryMs,
  TOMBSTONE_MS,
} from "./timings.ts";

export interface PresenceOptions {
  readonly id: HostId;
  /** Higher at each start of the entry. */
  readonly incarnation: number;
  readonly dataCentre: DataCentre;
  readonly randomness: Randomness;
  readonly spread?: Spread;
  readonly limits?: PresenceLimits;
}

/** The answer to a server's request, with what follows from it. */
export interface Answer<T> {
  readonly result: Result<T, AnnouncementFault>;
  readonly effects: PresenceEffect[];
}

/** How busy an entry is, as it says itself. */
export interface EntryLoad {
  /** Load in percent of what the entry can serve. */
  readonly load: number;
  readonly stopping: boolean;
  /** False where the entry has been silent for long. */
  readonly heard: boolean;
}

export type PresenceMessage = {
  [K in keyof PresenceMessages]: {
    readonly kind: K;
    readonly payload: PresenceMessages[K];
  };
}[keyof PresenceMessages];

/** The backend servers that this entry knows, and their dissemination. */
export class Presence {
  readonly #options: PresenceOptions;
  readonly #spread: Spread;
  readonly #table = new ServerTable();
  readonly #checks: AnnouncementChecks;
  readonly #own: OwnServers;
  readonly #others: Replication;
  readonly #connected = new Set<HostId>();
  readonly #stalls = new Stalls();
  #view: View = EMPTY_VIEW;
  /** Processes outside the view that hold lists of servers. */
  #registrars: readonly HostId[] = [];
  #topology: Topology;
  #configuredAt: number | undefined;
  #scannedAt = Number.NEGATIVE_INFINITY;

  constructor(options: PresenceOptions) {
    const { id, incarnation, randomness, dataCentre } = options;
    this.#options = options;
    this.#spread = options.spread ?? new AdaptiveSpread();
    const table = this.#table;
    const { limits = DEFAULT_LIMITS } = options;
    this.#own = new OwnServers({
      publisher: new Publisher({ id, incarnation, randomness }),
      table,
      changeTargets: () => this.#spread.changes(this.#topology),
      connected: this.#connected,
    });
    this.#checks = new AnnouncementChecks(table, limits);
    this.#others = new Replication({
      self: id,
      incarnation,
      table,
      randomness,
    });
    this.#topology = { self: { id, dataCentre }, peers: [] };
  }

  /** Whether the view is complete enough to accept announcements. */
  get ready(): boolean {
    return this.#checks.ready;
  }

  /** Sets the services of the document and the agreed entries. */
  configure(
    about: {
      services: Iterable<string>;
      view: View;
      registrars?: readonly HostId[];
    },
    now: number,
  ): PresenceEffect[] {
    this.#checks.services = new Set(about.services);
    this.#view = about.view;
    this.#registrars = about.registrars ?? [];
    this.#configuredAt ??= now;
    this.#arrange();
    this.#join(now);
    return [];
  }

  /** Registers a server or renews its lease. */
  announce(server: BackendServer, now: number): Answer<LeaseAnswer> {
    const effects = new Effects();
    const key = backendServerKey(server);
    const fault = this.#checks.refusal(server);
    if (fault) return { result: err(fault), effects: [] };
    if (server.state === "leaving") {
      const buried = this.#bury(server, { now, effects });
      if (buried) return { result: err(buried), effects: [] };
    } else {
      this.#own.accept(server, { key, now, effects });
    }
    const expires = this.#own.publisher.list.copies.get(key)?.expires ?? now;
    const lease = server.state === "leaving" ? LEASE_MS : expires - now;
    const answer = {
      lease_ms: Math.max(0, Math.floor(lease)),
      renew_ms: RENEW_MS,
    };
    return { result: ok(answer), effects: effects.list() };
  }

  /** A server announces that it is leaving. */
  leave(leave: Leave, now: number): Answer<void> {
    const effects = new Effects();
    const service = this.#checks.serviceOf(leave);
    if (service.isErr()) return { result: err(service.error), effects: [] };
    const { id, incarnation } = leave;
    const server = { service: service.value, id, incarnation };
    const fault = this.#bury(server, { now, effects });
    if (fault) return { result: err(fault), effects: [] };
    return { result: ok(undefined), effects: effects.list() };
  }

  /**
   * A server said in a reply that it is leaving. The incarnation is that of
   * the record that the call was assigned to: a late reply of an earlier one
   * must not take its successor out.
   */
  observeLeaving(
    server: Pick<BackendServer, "service" | "id" | "incarnation">,
    now: number,
  ): PresenceEffect[] {
    const effects = new Effects();
    this.#bury(server, { now, effects });
    return effects.list();
  }

  receive(
    from: HostId,
    message: PresenceMessage,
    now: number,
  ): PresenceEffect[] {
    const effects = new Effects();
    this.#stalls.active(now, this.#connected);
    const receivedAt = this.#stalls.receivedAt(now, from);
    const receipt = { from, now, receivedAt, effects };
    switch (message.kind) {
      case "presence_changes":
        this.#receiveChanges(message.payload, receipt);
        break;
      case "presence_summaries":
        for (const summary of message.payload) {
          if (!this.#others.summary(summary, receipt)) continue;
          const to = this.#forward(summary[0], from);
          if (to.length > 0) this.#own.publisher.forward(summary, { to, now });
        }
        break;
      case "presence_ask":
        this.#others.answer(message.payload, {
          own: this.#own.publisher.list,
          receipt,
        });
        break;
      case "presence_leaves":
        for (const [, service, id, incarnation, keepMs] of message.payload) {
          const tomb = { service, id, incarnation, until: now + keepMs };
          if (this.#table.bury(tomb)) this.#own.tell(tomb, receipt);
        }
        break;
      case "presence_state":
        this.#others.state(message.payload, receipt);
        this.#own.learn(
          { owner: message.payload[0], operations: message.payload[8] },
          receipt,
        );
        break;
    }
    this.#join(now);
    return effects.list();
  }

  /** A connection to an entry has opened. */
  peerUp(id: HostId, now: number): PresenceEffect[] {
    const effects = new Effects();
    this.#stalls.active(now, this.#connected);
    this.#stalls.connected(id);
    this.#connected.add(id);
    this.#arrange();
    this.#own.publisher.greet(id, { now, effects });
    if (!this.ready) {
      // The peer may still have this entry's list from before its restart.
      const payload = [[this.#options.id, 0, 0, -1]] as const;
      effects.send([id], { kind: "presence_ask", payload });
    }
    return effects.list();
  }

  /** The last connection to an entry has closed. */
  peerDown(id: HostId, _now: number): PresenceEffect[] {
    this.#connected.delete(id);
    this.#arrange();
    return [];
  }

  /** Sets what this entry tells the others about itself. */
  report(
    { load, stopping }: { load: number; stopping: boolean },
    now: number,
  ): PresenceEffect[] {
    const { list } = this.#own.publisher;
    const began = stopping && !list.stopping;
    list.load = Math.min(255, Math.max(0, Math.round(load)));
    list.stopping = stopping;
    if (!began) return [];
    const effects = new Effects();
    const { changes } = this.#targets();
    this.#own.publisher.summarise(changes, { now, effects });
    return effects.list();
  }

  /** Does what is due; called at least every `TICK_MS`. */
  tick(now: number): PresenceEffect[] {
    const effects = new Effects();
    this.#stalls.active(now, this.#connected);
    this.#join(now);
    this.#own.expire({ now, effects });
    this.#own.publisher.tick(this.#targets(), { now, effects });
    this.#others.ask({
      expected: this.#owners(),
      peers: [...this.#connected],
      silentMs: this.#silentMs(),
      now,
      effects,
    });
    if (now - this.#scannedAt >= EXPIRY_SCAN_MS) {
      this.#scannedAt = now;
      this.#others.prune(now);
      this.#own.publisher.list.prune(now);
      this.#table.expire(now, effects);
    }
    return effects.list();
  }

  /** The service's servers that have not left and whose lease runs. */
  servers(service: string, now: number): BackendServer[] {
    return this.#table.servers(service, now);
  }

  /** The services that have a server. */
  services(): string[] {
    return this.#table.services();
  }

  /** What the entries say of their load, this one included. */
  entryLoads(now: number): ReadonlyMap<HostId, EntryLoad> {
    const loads = new Map<HostId, EntryLoad>();
    for (const { owner, load, stopping, heardAt } of this.#others.owners()) {
      const heard = this.#connected.has(owner) && now - heardAt < LOST_MS;
      loads.set(owner, { load, stopping, heard });
    }
    const { load, stopping } = this.#own.publisher.list;
    return loads.set(this.#options.id, { load, stopping, heard: true });
  }

  #bury(
    server: Pick<BackendServer, "service" | "id" | "incarnation">,
    context: { now: number; effects: Effects },
  ): AnnouncementFault | undefined {
    const { now } = context;
    const { service, id, incarnation } = server;
    const key = backendServerKey(server);
    const known = this.#table.tombstone(key);
    if (known && known.incarnation >= incarnation) return undefined;
    const fault = known ? undefined : this.#checks.tombstoneRefusal();
    if (fault) return fault;
    const until = now + TOMBSTONE_MS;
    this.#own.tell({ service, id, incarnation, until }, context);
    return undefined;
  }

  #receiveChanges(
    message: PresenceMessages["presence_changes"],
    receipt: Receipt,
  ): void {
    const [owner, , , operations] = message;
    if (!this.#others.changes(message, receipt)) return;
    const to = this.#forward(owner, receipt.from);
    receipt.effects.send(to, { kind: "presence_changes", payload: message });
    this.#own.learn({ owner, operations }, receipt);
  }

  #targets() {
    return {
      changes: this.#spread.changes(this.#topology),
      summary: (round: number) => this.#spread.summary(this.#topology, round),
      everyMs: summaryMs(this.#table.size),
      holdMs: this.#spread.holdMs,
    };
  }

  #silentMs(): number {
    const expected = summaryMs(this.#table.size) + this.#spread.holdMs;
    return expected + SILENCE_MARGIN_MS;
  }

  #forward(owner: HostId, from: HostId): readonly HostId[] {
    return this.#spread.forward(this.#topology, { owner, from });
  }

  #arrange(): void {
    const { id, dataCentre } = this.#options;
    const known = new Map(this.#view.entries.map((e) => [e.id, e.dataCentre]));
    const peers = [...this.#connected]
      .filter((peer) => peer !== id)
      // A joining entry's data centre is unknown until the view has it.
      .map((peer) => ({ id: peer, dataCentre: known.get(peer) ?? dataCentre }));
    this.#topology = { self: { id, dataCentre }, peers };
  }

  #join(now: number): void {
    if (this.#checks.ready || this.#configuredAt === undefined) return;
    const waited = now - this.#configuredAt >= JOIN_TIMEOUT_MS;
    this.#checks.ready =
      waited ||
      this.#owners().every(
        (id) => id === this.#options.id || this.#others.isComplete(id),
      );
  }

  #owners(): HostId[] {
    return [...this.#view.entries.map(({ id }) => id), ...this.#registrars];
  }
}
