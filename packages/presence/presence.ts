import { err, ok, type Result } from "neverthrow";
import {
  type BackendServer,
  backendServerKey,
  type Clock,
  type HostId,
  hasSameAddress,
  type Randomness,
} from "#model";
import { decideAddress, type Identity } from "./address_proofs.ts";
import { AnnouncementChecks } from "./announcement_checks.ts";
import type {
  AnnouncementFault,
  LeaseResponse,
  LeaveRequest,
} from "./announcements.ts";
import {
  AdaptiveDissemination,
  type Dissemination,
  type ListMessage,
} from "./dissemination.ts";
import { Effects, type PresenceEffect } from "./effects.ts";
import { ListReplicas, type MessageContext } from "./list_replicas.ts";
import { LocalRegistrations } from "./local_registrations.ts";
import type { PresenceMessages } from "./messages.ts";
import type { PresenceConfiguration } from "./presence_configuration.ts";
import { Publisher } from "./publisher.ts";
import { ServerTable } from "./server_table.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  DEFAULT_LIMITS,
  EXPIRY_SCAN_INTERVAL_MS,
  JOIN_TIMEOUT_MS,
  LEASE_MS,
  LOST_AFTER_MS,
  type PresenceLimits,
  RENEW_INTERVAL_MS,
  SILENCE_MARGIN_MS,
  summaryIntervalMs,
  TOMBSTONE_TTL_MS,
} from "./timings.ts";
import {
  TopologyTracker,
  type TopologyTrackerOptions,
} from "./topology_tracker.ts";

export interface PresenceOptions extends TopologyTrackerOptions {
  /** Increases with each start of the entry. */
  readonly incarnation: number;
  readonly randomness: Randomness;
  readonly dissemination?: Dissemination;
  readonly limits?: PresenceLimits;
  /**
   * Present where other programs may send announcements under the ids of servers:
   * incarnations are wall-clock times there, and sequences count announcements.
   */
  readonly untrusted?: Pick<Clock, "wallTime"> | undefined;
}

/** Faults of an announcement that only another one makes it have. */
const ORDER_FAULTS: ReadonlySet<AnnouncementFault["type"]> = new Set([
  "older_incarnation",
  "older_sequence",
  "implausible_sequence",
]);

/** The result of a server's request and the effects to execute. */
export interface ResultWithEffects<T> {
  readonly result: Result<T, AnnouncementFault>;
  readonly effects: PresenceEffect[];
}

/** The load that an entry reports about itself. */
export interface EntryLoad {
  /** Load in percent of the entry's capacity. */
  readonly load: number;
  readonly stopping: boolean;
  /** False if the entry is not connected or was silent for `LOST_AFTER_MS`. */
  readonly reachable: boolean;
}

/** A message of another entry, with its kind. */
export type PresenceMessage = {
  [K in keyof PresenceMessages]: {
    readonly kind: K;
    readonly payload: PresenceMessages[K];
  };
}[keyof PresenceMessages];

/**
 * Tracks the registered backend servers and shares them with the other entries.
 * Does no I/O itself: methods return effects that the caller executes.
 */
export class Presence {
  readonly #options: PresenceOptions;
  readonly #dissemination: Dissemination;
  readonly #table: ServerTable;
  readonly #checks: AnnouncementChecks;
  readonly #local: LocalRegistrations;
  readonly #replicas: ListReplicas;
  readonly #topologyTracker: TopologyTracker;
  readonly #stallDetector = new StallDetector();
  #firstConfiguredAt: number | undefined;
  #lastExpiryScanAt = Number.NEGATIVE_INFINITY;

  constructor(options: PresenceOptions) {
    const { id, incarnation, randomness } = options;
    this.#options = options;
    this.#dissemination = options.dissemination ?? new AdaptiveDissemination();
    const table = new ServerTable(options.untrusted);
    this.#table = table;
    this.#topologyTracker = new TopologyTracker(options);
    const { limits = DEFAULT_LIMITS, untrusted } = options;
    this.#local = new LocalRegistrations({
      publisher: new Publisher({ id, incarnation, randomness }),
      table,
      changeTargets: () =>
        this.#dissemination.changeTargets(this.#topologyTracker.topology),
      connected: this.#topologyTracker.connected,
    });
    this.#checks = new AnnouncementChecks(table, {
      limits,
      untrusted: untrusted !== undefined,
    });
    this.#replicas = new ListReplicas({
      self: id,
      incarnation,
      table,
      randomness,
    });
  }

  /** Whether enough lists are known to accept announcements. */
  get ready(): boolean {
    return this.#checks.ready;
  }

  /** Sets the configured services and the agreed set of entries. */
  configure(
    configuration: PresenceConfiguration,
    now: number,
  ): PresenceEffect[] {
    this.#checks.services = new Set(configuration.services);
    const { view, registrars = [], leaving = [] } = configuration;
    this.#table.firstServices.configure(leaving);
    this.#topologyTracker.configure(view, registrars);
    this.#firstConfiguredAt ??= now;
    this.#updateReadiness(now);
    return [];
  }

  /** Registers a server, renews its lease, or removes it if it is leaving. */
  announce(
    server: BackendServer,
    now: number,
  ): ResultWithEffects<LeaseResponse> {
    const effects = new Effects();
    const key = backendServerKey(server);
    const fault = this.#checkAddress(server, {
      fault: this.#checks.check(server, now),
      context: { now, effects },
    });
    if (fault) return { result: err(fault), effects: effects.list() };
    if (server.state === "leaving") {
      const leaveFault = this.#recordLeave(server, { now, effects });
      if (leaveFault) return { result: err(leaveFault), effects: [] };
    } else {
      this.#local.accept(server, { key, now, effects });
    }
    const expiresAt =
      this.#local.publisher.list.records.get(key)?.expiresAt ?? now;
    const remainingMs = server.state === "leaving" ? LEASE_MS : expiresAt - now;
    const response = {
      lease_ms: Math.max(0, Math.floor(remainingMs)),
      renew_ms: RENEW_INTERVAL_MS,
    };
    return { result: ok(response), effects: effects.list() };
  }

  /** Records what answered at a server's address; see the effect `verify`. */
  verified(
    server: BackendServer,
    identity: Identity,
    now: number,
  ): PresenceEffect[] {
    const effects = new Effects();
    this.#table.proofs.record(server, identity, now);
    this.#table.refresh(backendServerKey(server), { now, effects });
    return effects.list();
  }

  /** Removes a server that announces that it is leaving. */
  leave(leave: LeaveRequest, now: number): ResultWithEffects<void> {
    const effects = new Effects();
    const service = this.#checks.serviceOf(leave);
    if (service.isErr()) return { result: err(service.error), effects: [] };
    const { id, incarnation } = leave;
    const server = { service: service.value, id, incarnation };
    const fault = this.#recordLeave(server, { now, effects });
    if (fault) return { result: err(fault), effects: [] };
    return { result: ok(undefined), effects: effects.list() };
  }

  /**
   * Removes a server that has said in a response that it is leaving. The
   * incarnation is the one that the call was assigned to: a late response of an
   * earlier incarnation must not remove a later one.
   */
  observeLeaving(
    server: Pick<BackendServer, "service" | "id" | "incarnation">,
    now: number,
  ): PresenceEffect[] {
    const effects = new Effects();
    this.#recordLeave(server, { now, effects });
    return effects.list();
  }

  /** Handles a message of another entry. */
  receive(
    from: HostId,
    message: PresenceMessage,
    now: number,
  ): PresenceEffect[] {
    const effects = new Effects();
    this.#stallDetector.noteActivity(now, this.#topologyTracker.connected);
    const receivedAt = this.#stallDetector.earliestReceiptTime(now, from);
    const context = { from, now, receivedAt, effects };
    switch (message.kind) {
      case "presence_changes":
        this.#receiveChanges(message.payload, context);
        break;
      case "presence_summaries":
        for (const summary of message.payload) {
          if (!this.#replicas.applySummary(summary, context)) continue;
          const [owner, , , round, , , records] = summary;
          const hasServers = records.length > 0;
          const to = this.#forwardTargets({ owner, from, round, hasServers });
          if (to.length > 0)
            this.#local.publisher.queueSummary(summary, { to, now });
        }
        break;
      case "presence_ask":
        this.#replicas.answerStateRequest(message.payload, {
          localList: this.#local.publisher.list,
          context,
        });
        break;
      case "presence_leaves":
        for (const [, service, id, incarnation, keepMs] of message.payload) {
          const tombstone = {
            service,
            id,
            incarnation,
            keptUntil: now + Math.min(keepMs, TOMBSTONE_TTL_MS),
          };
          if (this.#table.addTombstone(tombstone))
            this.#local.publishLeave(tombstone, context);
        }
        break;
      case "presence_state":
        this.#replicas.applyState(message.payload, context);
        this.#local.reconcile(
          { owner: message.payload[0], operations: message.payload[8] },
          context,
        );
        break;
    }
    this.#updateReadiness(now);
    return effects.list();
  }

  /** Must be called when the first connection to a peer has opened. */
  peerUp(id: HostId, now: number): PresenceEffect[] {
    const effects = new Effects();
    this.#stallDetector.noteActivity(now, this.#topologyTracker.connected);
    this.#stallDetector.noteConnected(id);
    this.#topologyTracker.connect(id);
    this.#local.publisher.sendSummaryTo(id, { now, effects });
    if (!this.ready) {
      // The peer may still have this entry's list from before its restart.
      const payload = [[this.#options.id, 0, 0, -1]] as const;
      effects.send([id], { kind: "presence_ask", payload });
    }
    return effects.list();
  }

  /** Must be called when the last connection to a peer has closed. */
  peerDown(id: HostId, _now: number): PresenceEffect[] {
    this.#topologyTracker.disconnect(id);
    return [];
  }

  /** Sets the load that this entry reports; a start of stopping is sent now. */
  reportLoad(
    { load, stopping }: { load: number; stopping: boolean },
    now: number,
  ): PresenceEffect[] {
    const { list } = this.#local.publisher;
    const beginsStopping = stopping && !list.stopping;
    list.load = Math.min(255, Math.max(0, Math.round(load)));
    list.stopping = stopping;
    if (!beginsStopping) return [];
    const effects = new Effects();
    const { changeTargets } = this.#schedule();
    this.#local.publisher.sendSummaryNow(changeTargets, { now, effects });
    return effects.list();
  }

  /** Runs work that is due; call at least every `TICK_INTERVAL_MS`. */
  tick(now: number): PresenceEffect[] {
    const effects = new Effects();
    this.#stallDetector.noteActivity(now, this.#topologyTracker.connected);
    this.#updateReadiness(now);
    this.#local.expire({ now, effects });
    this.#local.publisher.tick(this.#schedule(), { now, effects });
    this.#replicas.requestMissingStates({
      expectedOwners: this.#topologyTracker.expectedOwners(),
      peers: [...this.#topologyTracker.connected],
      silentMs: this.#maxSilenceMs(),
      now,
      effects,
    });
    if (now - this.#lastExpiryScanAt >= EXPIRY_SCAN_INTERVAL_MS) {
      this.#lastExpiryScanAt = now;
      this.#replicas.forgetSilentLists(now);
      this.#local.publisher.list.dropExpiredTombstones(now);
      this.#table.expire(now, effects);
    }
    return effects.list();
  }

  /** The service's servers that have not left and have a valid lease. */
  servers(service: string, now: number): BackendServer[] {
    return this.#table.servers(service, now);
  }

  /** A server's current record; undefined without a valid lease. */
  server(
    server: Pick<BackendServer, "service" | "id">,
    now: number,
  ): BackendServer | undefined {
    const record = this.#table.current(backendServerKey(server));
    return record && record.expiresAt > now ? record.server : undefined;
  }

  /** The services that have a server of this id. */
  servicesOf(id: string): readonly string[] {
    return this.#table.servicesOf(id);
  }

  /** Whether the service is configured. */
  hasService(service: string): boolean {
    return this.#checks.services.has(service);
  }

  /** The services with at least one server. */
  services(): string[] {
    return this.#table.services();
  }

  /** The load that each entry reports, this one included. */
  entryLoads(now: number): ReadonlyMap<HostId, EntryLoad> {
    const loads = new Map<HostId, EntryLoad>();
    for (const {
      owner,
      load,
      stopping,
      lastHeardAt,
    } of this.#replicas.owners()) {
      const reachable =
        this.#topologyTracker.mayBeReachable(owner) &&
        now - lastHeardAt < LOST_AFTER_MS;
      loads.set(owner, { load, stopping, reachable });
    }
    for (const entry of this.#topologyTracker.entriesWithoutReports()) {
      const { id, stopping } = entry;
      loads.set(id, { load: 0, stopping, reachable: true });
    }
    const { load, stopping } = this.#local.publisher.list;
    return loads.set(this.#options.id, { load, stopping, reachable: true });
  }

  /**
   * The reason to refuse an announcement with another address than the known one,
   * or else `fault`. Which of the two is the server's is found out by checks.
   */
  #checkAddress(
    server: BackendServer,
    options: {
      fault: AnnouncementFault | undefined;
      context: { now: number; effects: Effects };
    },
  ): AnnouncementFault | undefined {
    const { fault, context } = options;
    const { now } = context;
    const known = this.server(server, now);
    if (!this.#options.untrusted || !known || hasSameAddress(known, server)) {
      return fault;
    }
    if (fault && !ORDER_FAULTS.has(fault.type)) return fault;
    const left = this.#table.tombstone(backendServerKey(server));
    if (left && left.incarnation >= server.incarnation) return fault;
    const { proofs } = this.#table;
    for (const claimed of [server, known]) proofs.request(claimed, context);
    const isAccepted = decideAddress({
      isNewer: fault === undefined,
      isSameStart: known.incarnation === server.incarnation,
      identity: proofs.fresh(server, now),
      knownIdentity: proofs.fresh(known, now),
    });
    if (isAccepted) return undefined;
    const { host, port } = known.address;
    return {
      type: "unproven_address",
      known: `${host}:${port}`,
      isPending: isAccepted === undefined,
    };
  }

  #recordLeave(
    server: Pick<BackendServer, "service" | "id" | "incarnation">,
    context: { now: number; effects: Effects },
  ): AnnouncementFault | undefined {
    const { now } = context;
    const { service, id, incarnation } = server;
    const key = backendServerKey(server);
    const known = this.#table.tombstone(key);
    if (known && known.incarnation >= incarnation) return undefined;
    const fault = known ? undefined : this.#checks.checkTombstoneLimit();
    if (fault) return fault;
    const keptUntil = now + TOMBSTONE_TTL_MS;
    this.#local.publishLeave({ service, id, incarnation, keptUntil }, context);
    return undefined;
  }

  #receiveChanges(
    message: PresenceMessages["presence_changes"],
    context: MessageContext,
  ): void {
    const [owner, , round, operations] = message;
    if (!this.#replicas.applyChanges(message, context)) return;
    const { from } = context;
    const to = this.#forwardTargets({ owner, from, round, hasServers: true });
    context.effects.send(to, { kind: "presence_changes", payload: message });
    this.#local.reconcile({ owner, operations }, context);
  }

  #schedule() {
    return {
      changeTargets: this.#dissemination.changeTargets(
        this.#topologyTracker.topology,
      ),
      summaryTargets: (round: number, list: { hasServers: boolean }) =>
        this.#dissemination.summaryTargets(
          this.#topologyTracker.topology,
          round,
          list,
        ),
      summaryIntervalMs: summaryIntervalMs(this.#table.size),
      relayDelayMs: this.#dissemination.relayDelayMs,
    };
  }

  #maxSilenceMs(): number {
    const expected =
      summaryIntervalMs(this.#table.size) + this.#dissemination.relayDelayMs;
    return expected + SILENCE_MARGIN_MS;
  }

  #forwardTargets(message: ListMessage): readonly HostId[] {
    return this.#dissemination.forwardTargets(
      this.#topologyTracker.topology,
      message,
    );
  }

  #updateReadiness(now: number): void {
    if (this.#checks.ready || this.#firstConfiguredAt === undefined) return;
    const timedOut = now - this.#firstConfiguredAt >= JOIN_TIMEOUT_MS;
    this.#checks.ready =
      timedOut ||
      this.#topologyTracker
        .expectedOwners()
        .every(
          (id) => id === this.#options.id || this.#replicas.isComplete(id),
        );
  }
}
