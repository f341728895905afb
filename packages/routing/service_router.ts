import type {
  BackendServer,
  BackendServerId,
  Call,
  DataCentre,
  Entry,
  HostId,
  Randomness,
  Service,
  View,
} from "#model";
import type { OverloadControl } from "#overload";
import { CallRejections } from "./call_rejections.ts";
import { DispatchLink, type EntryState } from "./dispatch_link.ts";
import type {
  CallResult,
  CheckResult,
  RoutingEffect,
  ServerStatement,
} from "./effects.ts";
import { GrantedSlots } from "./granted_slots.ts";
import { LocalColdChoice } from "./local_cold_choice.ts";
import { LocalServers } from "./local_servers.ts";
import { isLongRunning } from "./long_running.ts";
import type { DispatchGrant } from "./messages.ts";
import {
  assignEffect,
  type OpenCall,
  openCall,
  rejectEffect,
  slotRequest,
  takenSlot,
} from "./open_call.ts";
import { OpenCalls } from "./open_calls.ts";
import { PlacementChecks } from "./placement_checks.ts";
import { QueuePolicy } from "./queue_policy.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { ServerState } from "./server_state.ts";

/** Interval at which ejections and cold starts are reevaluated. */
const REFRESH_MS = 50;
/** Waiting calls that may be skipped because of the servers they exclude. */
const MAX_SKIPPED_CALLS = 8;
/** Interval of requests for slots of servers that limit their rate. */
const PACED_REQUEST_INTERVAL_MS = 250;
/** Slowdown that is assumed of a server that reports itself unhealthy. */
const UNHEALTHY_SLOWDOWN = 8;

export interface ServiceRouterOptions {
  readonly self: HostId;
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
  readonly sequenceNumbers: SequenceNumbers;
  /** Whether servers may report how fast they are. */
  readonly serversReportSpeed?: boolean | undefined;
}

/**
 * Selects servers for one entry's calls to one service. While the service's
 * dispatcher answers, it grants the slots; otherwise the entry chooses servers
 * by its own measurements.
 */
export class ServiceRouter {
  readonly link: DispatchLink;
  #service: Service;
  readonly #options: ServiceRouterOptions;
  readonly #servers: LocalServers;
  readonly #calls: OpenCalls;
  readonly #queuePolicy: QueuePolicy;
  readonly #rejections: CallRejections;
  readonly #placementChecks: PlacementChecks;
  readonly #grantedSlots: GrantedSlots;
  readonly #localCold: LocalColdChoice;
  #refreshAt = 0;
  /** Whether some server was cold when this was reported last. */
  #hasCold = false;
  /** Number of entries in the view. */
  #entryCount = 1;
  #slotRequestedAt = Number.NEGATIVE_INFINITY;

  constructor(service: Service, options: ServiceRouterOptions) {
    this.#service = service;
    this.#options = options;
    this.#servers = new LocalServers(service, options);
    this.#calls = new OpenCalls({
      queueLength: service.queueLength,
      nextTicket: () => options.sequenceNumbers.next(),
    });
    this.#queuePolicy = new QueuePolicy(this.#calls, this.#servers);
    this.link = new DispatchLink(service.name, options.sequenceNumbers);
    this.#localCold = new LocalColdChoice(options.self);
    this.#rejections = new CallRejections({
      findCold: (now) => this.#findCold(now),
      calls: this.#calls,
      servers: this.#servers,
      link: this.link,
      queuePolicy: this.#queuePolicy,
    });
    this.#placementChecks = new PlacementChecks({
      mayReportSpeed: options.serversReportSpeed ?? false,
    });
    this.#grantedSlots = new GrantedSlots({
      calls: this.#calls,
      link: this.link,
      servers: this.#servers,
      isUsable: this.#isUsable.bind(this),
      startCall: this.#startCall.bind(this),
    });
  }

  get service(): Service {
    return this.#service;
  }

  /** Number of calls that wait for a slot. */
  get waitingCount(): number {
    return this.#calls.queue.length;
  }

  /** Whether there is nothing to do on a tick. */
  get idle(): boolean {
    return this.#calls.size === 0 && !this.link.sendsUpdates;
  }

  get servers(): LocalServers {
    return this.#servers;
  }

  configure(service: Service): void {
    this.#service = service;
    this.#servers.configure(service);
  }

  /**
   * Switches to the dispatcher of a new view and joins it if this service is in
   * use.
   */
  setDispatcher(
    dispatcher: Entry | undefined,
    view: View,
    now: number,
  ): RoutingEffect[] {
    this.#entryCount = view.entries.length;
    this.#localCold.configure(view);
    const isActive = this.link.sendsUpdates || this.#calls.size > 0;
    this.link.configure(dispatcher, view.epoch);
    return isActive
      ? [...this.#joinDispatcher(now), ...this.#assignLocally(now)]
      : [];
  }

  setServers(records: readonly BackendServer[], now: number): RoutingEffect[] {
    this.#servers.setServers(records, now);
    return this.#assignLocally(now);
  }

  submit(
    call: Call,
    options: { exclude: ReadonlySet<BackendServerId>; now: number },
  ): RoutingEffect[] {
    const { now } = options;
    const { id, deadline } = call;
    if (this.#calls.get(id)) return [];
    if (deadline <= now) return [rejectEffect(id, "deadline_expired")];
    const rejection = this.#rejections.rejectNew(id, now);
    if (rejection) {
      const joins = this.link.joinDue(now) && this.link.isUnreachable;
      return [rejection, ...(joins ? this.#joinDispatcher(now) : [])];
    }
    const expectedServiceMs = Math.min(
      this.#servers.meanMs,
      (deadline - now) / 2,
    );
    const ticket = this.#options.sequenceNumbers.next();
    const { exclude } = options;
    const opened = openCall(call, { ticket, exclude, expectedServiceMs, now });
    this.#calls.add(opened);
    const effects = this.#assignOrQueue(opened, now);
    if (this.link.joinDue(now)) effects.push(...this.#joinDispatcher(now));
    return effects;
  }

  finish(callId: string, result: CallResult, now: number): RoutingEffect[] {
    const call = this.#calls.get(callId);
    if (!call?.server) return [];
    const { ticket, server } = call;
    this.#calls.remove(call);
    // The part that a temporary slowdown added says nothing about the server
    // itself.
    const serviceMs = result.serviceMs / Math.max(1, call.slowdownAtStart);
    const adjusted = { ...result, serviceMs, class: call.class };
    this.#servers.recordResult(server, adjusted, now);
    const { kind, leaving, slowdown } = result;
    if (kind === "answered") this.#placementChecks.recordReport(slowdown);
    if (this.link.sendsUpdates) {
      const released = { ticket, kind, serviceMs, leaving, slowdown };
      this.link.addReleased({ ...released, ...statementOf(result) });
    }
    const expired = this.#rejections.rejectExpired(now);
    const reused = this.#grantedSlots.reuseSlot(server, now);
    // While there are credits, no call waits, so the release can be sent with
    // the next call.
    const sent = this.link.hasCredits ? [] : this.link.flush(now);
    return [
      ...expired,
      ...reused,
      ...sent,
      ...this.#assignLocally(now),
      ...this.statementEffects(),
    ];
  }

  /** What servers said about requests and was not reported yet. */
  statementEffects(): RoutingEffect[] {
    const effects: RoutingEffect[] = [];
    for (const change of this.#servers.takeRateLimitChanges()) {
      effects.push({ type: "rate_limit_changed", ...change });
    }
    for (const backOff of this.#servers.takeBackOffs()) {
      effects.push({ type: "server_backs_off", ...backOff });
    }
    const { coldCount } = this.#servers;
    if (coldCount > 0 !== this.#hasCold) {
      this.#hasCold = coldCount > 0;
      const { name: service, coldRequestsPerS } = this.#service;
      const servers = coldCount;
      effects.push({
        type: "cold_servers_changed",
        service,
        servers,
        coldRequestsPerS,
      });
    }
    return effects;
  }

  /**
   * Handles a server's answer to a check: the call is sent to it or tries
   * another server.
   */
  handleCheckResult(
    callId: string,
    result: CheckResult,
    now: number,
  ): RoutingEffect[] {
    const call = this.#calls.get(callId);
    if (!call?.server || !call.awaitingCheck) return [];
    const { server } = call;
    call.awaitingCheck = false;
    if (isFailure(result) && result.failure) {
      call.failedChecks ??= [];
      call.failedChecks.push(result.failure);
    }
    const decision = this.#placementChecks.decide(result, call);
    // A server may have been evacuated during the check.
    const saysCold = server.limitsCold && (result.warmUpMs ?? 0) > 0;
    const isFit = !server.removed && !saysCold && !server.isCold(now);
    if (decision === "use" && isFit) {
      this.#servers.recordCheck(server, result, now);
      call.assignedAt = now;
      call.slowdownAtStart = server.slowdown;
      return [assignEffect(call, server, now), ...this.statementEffects()];
    }
    return [
      ...this.#declineServer(call, result, now),
      ...this.#assignLocally(now),
      ...this.statementEffects(),
    ];
  }

  /**
   * Releases the slot of a server that should not run the call now, and places
   * the call anew.
   */
  #declineServer(
    call: OpenCall,
    result: CheckResult,
    now: number,
  ): RoutingEffect[] {
    const { server, ticket } = call;
    if (!server) return [];
    this.#servers.releaseUnused(server, result, now);
    const answered = result.kind === "answered" ? result : undefined;
    const releasedKind = answered ? "unused" : RELEASED_KINDS[result.kind];
    if (this.link.sendsUpdates) {
      this.link.addReleased({
        ticket,
        kind: releasedKind,
        serviceMs: 0,
        leaving: answered?.leaving,
        slowdown: reportedSlowdown(result),
        ...statementOf(result),
      });
    }
    call.server = undefined;
    // A slow server is known as such from its answer; any other must be
    // excluded, since its state may not show why it failed.
    if (isFailure(result) || answered?.healthy === false) {
      call.exclude = new Set([...call.exclude, server.record.id]);
    }
    this.#calls.renewTicket(call);
    return [...this.#assignOrQueue(call, now), ...this.link.flush(now)];
  }

  cancel(callId: string, now: number): RoutingEffect[] {
    const call = this.#calls.get(callId);
    if (!call) return [];
    if (call.server) {
      const serviceMs = now - call.assignedAt;
      return this.finish(callId, { kind: "cancelled", serviceMs }, now);
    }
    this.#calls.remove(call);
    this.link.addCancelled(call.ticket);
    return this.link.flush(now);
  }

  handleGrant(
    from: HostId,
    grant: DispatchGrant,
    now: number,
  ): RoutingEffect[] {
    if (!this.link.accept(from, grant, now)) return [];
    if (grant.rateLimits) this.#servers.applyRateLimits(grant.rateLimits, now);
    const effects: RoutingEffect[] = this.statementEffects();
    // After a pause of this process, calls still wait that are too late by now.
    effects.push(...this.#rejections.rejectExpired(now));
    for (const granted of grant.grants) {
      effects.push(...this.#grantedSlots.handleGrant(granted, now));
    }
    for (const { ticket, code, ...reason } of grant.rejects) {
      const call = this.#calls.byTicket(ticket);
      if (!call || call.server) continue;
      this.#calls.remove(call);
      effects.push(rejectEffect(call.id, code, reason));
    }
    effects.push(...this.link.flush(now));
    return effects;
  }

  /** Handles a lost connection to a peer. */
  peerDown(id: HostId, now: number): RoutingEffect[] {
    if (id !== this.link.dispatcher) return [];
    this.link.disconnected(now);
    return this.#assignLocally(now);
  }

  tick(now: number): RoutingEffect[] {
    if (now >= this.#refreshAt) this.#refreshServers(now);
    const effects = this.#rejections.rejectExpired(now);
    effects.push(...this.statementEffects());
    effects.push(...this.#rejections.rejectUnservable(now));
    // An attached dispatcher reviews the calls itself.
    const { control } = this.#calls;
    if (control && this.link.state !== "attached") {
      const capacity = this.#queuePolicy.capacity();
      const refusals = control.review({ now, capacity });
      effects.push(...this.#rejections.rejectRefused(refusals));
    }
    const longRunning = isLongRunning(this.#servers.meanMs);
    if (this.link.answerOverdue(now, longRunning)) this.link.giveUp(now);
    if (this.link.joinDue(now) && this.#calls.size > 0) {
      effects.push(...this.#joinDispatcher(now));
    } else if (this.link.reportDue(now, longRunning)) {
      effects.push(...this.link.report(this.#entryState(now), now));
    }
    const ping =
      this.#calls.queue.length > 0 && this.link.pingDue(now, longRunning);
    effects.push(...this.link.flush(now, ping));
    if (this.link.idle(now) && this.#calls.size === 0) this.link.detach(now);
    effects.push(...this.#assignLocally(now));
    return effects;
  }

  #refreshServers(now: number): void {
    this.#servers.tick(now);
    // After a pause of this process, answers that have arrived are not read
    // yet. An attached dispatcher evaluates the calls itself.
    const isLate = now - this.#refreshAt >= REFRESH_MS;
    if (!isLate && this.link.state !== "attached") {
      this.#servers.evaluateRunning(this.#calls.runningByServer(), now);
    }
    this.#refreshAt = now + REFRESH_MS;
  }

  /**
   * Whether to ask the dispatcher for a slot although this entry could choose
   * one: only the dispatcher can use servers that limit their rate or are cold.
   */
  #asksForPacedSlot(now: number): boolean {
    const isDue = now - this.#slotRequestedAt >= PACED_REQUEST_INTERVAL_MS;
    const { rateLimitedCount, coldCount } = this.#servers;
    return isDue && rateLimitedCount + coldCount > 0;
  }

  /**
   * Whether further calls wait until this entry has joined the dispatcher. Until
   * then it knows nothing of the calls of other entries, so it starts no more than
   * its share of the slots.
   */
  #waitsForDispatcher(now: number): boolean {
    if (this.link.isUnreachable) return false;
    if (this.link.state !== "joining" && !this.link.joinDue(now)) return false;
    const share = this.#servers.readySlots / this.#entryCount;
    return this.#calls.countRunning() >= Math.max(1, share);
  }

  /** Assigns a call to a server or queues it. */
  #assignOrQueue(call: OpenCall, now: number): RoutingEffect[] {
    const asks = this.#asksForPacedSlot(now);
    if (this.link.state === "attached") {
      const server = asks ? undefined : this.#useCredit(call, now);
      if (server) {
        call.assignedBy = "credit";
        return this.#assign(call, server, now);
      }
      const rejections = this.#enqueue(call, now);
      return [...rejections, ...this.link.flush(now)];
    }
    const waitsForDispatcher = this.#waitsForDispatcher(now);
    const server =
      this.#calls.queue.length === 0 && !asks && !waitsForDispatcher
        ? this.#chooseLocally(call, now)
        : undefined;
    if (server) return this.#assign(call, server, now);
    if (waitsForDispatcher) {
      return [...this.#enqueue(call, now), ...this.link.flush(now)];
    }
    const control = this.#calls.selectOrder(call);
    if (control) return this.#enqueueRanked(call, control, now);
    const waitMs = this.#queuePolicy.estimateWaitMs(
      this.#calls.queue.countAhead(call.priority),
    );
    if (now + waitMs > call.latestStart) {
      return [this.#rejections.rejectQueueFull(call)];
    }
    return [...this.#enqueue(call, now), ...this.link.flush(now)];
  }

  /** Chooses a server for a call without the dispatcher. */
  #chooseLocally(call: OpenCall, now: number): ServerState | undefined {
    const server = this.#servers.choose(call, now);
    if (server) return server;
    const cold = this.#findCold(now, call.exclude);
    if (cold) this.#localCold.take(cold, now);
    return cold;
  }

  /** A cold server that may get a request, if no dispatcher and no other server can. */
  #findCold(
    now: number,
    exclude?: ReadonlySet<BackendServerId>,
  ): ServerState | undefined {
    const { allPaced, coldCount } = this.#servers;
    if (coldCount === 0 || !allPaced || !this.link.isUnreachable) {
      return undefined;
    }
    const { coldRequestsPerS } = this.#service;
    const options = { coldRequestsPerS, now, ...(exclude && { exclude }) };
    return this.#localCold.find(this.#servers.servers(), options);
  }

  #isUsable(call: OpenCall, id: BackendServerId, now: number): boolean {
    const server = this.#servers.get(id);
    return !call.exclude.has(id) && server?.accepts(now) === true;
  }

  /**
   * Uses a credit, which is a slot granted in advance, and prefers one in the
   * entry's own data centre.
   */
  #useCredit(call: OpenCall, now: number): ServerState | undefined {
    const candidates = this.link.credits
      .filter((id) => this.#isUsable(call, id, now))
      .flatMap((id) => this.#servers.get(id) ?? []);
    const { dataCentre } = this.#options;
    const isNear = (server: ServerState) =>
      server.record.dataCentre === dataCentre;
    const chosen = candidates.find(isNear) ?? candidates[0];
    if (chosen) this.link.consumeCredit(chosen.record.id);
    return chosen;
  }

  #enqueue(call: OpenCall, now: number): RoutingEffect[] {
    this.#slotRequestedAt = now;
    const { queueLength } = this.#service;
    const context = { state: this.link.state, entries: this.#entryCount };
    const control = this.#calls.selectOrder(call);
    this.#calls.setQueueLimit(
      this.#queuePolicy.queueLimit(queueLength, context),
    );
    const offer = this.#calls.queue.offer(call);
    if (offer.type !== "full" && this.link.sendsUpdates) {
      this.link.addRequest(slotRequest(call, now));
    }
    if (offer.type === "queued") return [];
    const rejected = offer.type === "full" ? call : offer.evicted;
    if (control) {
      const capacity = this.#queuePolicy.capacity();
      const retryAfterMs = control.retryAfterMs(rejected, { now, capacity });
      const reason = rejected === call ? "no_room" : "displaced";
      const refusal = { call: rejected, reason, retryAfterMs } as const;
      return this.#rejections.rejectRefused([refusal]);
    }
    if (rejected !== call) this.link.addCancelled(rejected.ticket);
    return [this.#rejections.rejectQueueFull(rejected)];
  }

  /** Queues a ranked call that this entry places itself, or refuses a call. */
  #enqueueRanked(
    call: OpenCall,
    control: OverloadControl<OpenCall>,
    now: number,
  ): RoutingEffect[] {
    this.#slotRequestedAt = now;
    const context = { state: this.link.state, entries: this.#entryCount };
    const { queueLength } = this.#service;
    this.#calls.setQueueLimit(
      this.#queuePolicy.queueLimit(queueLength, context),
    );
    const capacity = this.#queuePolicy.capacity();
    const options = { now, capacity, mayStart: this.#servers.anyFree };
    const refusals = control.offer(call, options);
    if (control.queue.has(call.id) && this.link.sendsUpdates) {
      this.link.addRequest(slotRequest(call, now));
    }
    const effects = this.#rejections.rejectRefused(refusals);
    return [...effects, ...this.link.flush(now)];
  }

  #assign(call: OpenCall, server: ServerState, now: number): RoutingEffect[] {
    const effect = this.#startCall(call, server, now);
    if (!this.link.sendsUpdates) return [effect];
    this.link.addTaken(takenSlot(call, server, now));
    return [effect, ...this.link.flush(now)];
  }

  #startCall(
    call: OpenCall,
    server: ServerState,
    now: number,
    { skipCheck = false } = {},
  ): RoutingEffect {
    call.server = server;
    call.assignedAt = now;
    this.#servers.recordStart(server, now);
    const { readySlots } = this.#servers;
    const context = { slots: readySlots, entries: this.#entryCount, now };
    const mayCheck = !skipCheck && !server.isPaced(now);
    if (mayCheck && this.#placementChecks.isDue(call, server, context)) {
      call.checkCount += 1;
      call.awaitingCheck = true;
      return { type: "check", callId: call.id, server: server.record };
    }
    return assignEffect(call, server, now);
  }

  /**
   * Assigns waiting calls to locally chosen servers, unless attached to a
   * dispatcher.
   */
  #assignLocally(now: number): RoutingEffect[] {
    if (this.link.state === "attached") return [];
    const effects = this.#rejections.rejectExpired(now);
    const skipped: OpenCall[] = [];
    this.#calls.queue.moveLateCalls(now);
    while (
      (this.#servers.anyFree || this.#findCold(now)) &&
      skipped.length < MAX_SKIPPED_CALLS &&
      !this.#waitsForDispatcher(now)
    ) {
      const call = this.#calls.queue.peek();
      if (!call) break;
      const server = this.#chooseLocally(call, now);
      if (server)
        effects.push(
          ...this.#grantedSlots.startWithoutGrant(call, server, now),
        );
      else skipped.push(call);
      this.#calls.queue.remove(call.id);
    }
    for (const call of skipped) this.#calls.queue.putBack(call);
    effects.push(...this.link.flush(now));
    return effects;
  }

  #joinDispatcher(now: number): RoutingEffect[] {
    return this.link.report(this.#entryState(now), now);
  }

  /** What this entry's reports tell the dispatcher. */
  #entryState(now: number): EntryState {
    const { rateLimitVersion } = this.link;
    const rateLimits =
      rateLimitVersion === undefined
        ? this.#servers.rateLimits(now)
        : this.#servers.unsharedRateLimits(now);
    return {
      ...this.#calls.entryState(now),
      ...(rateLimitVersion !== undefined && { rateLimitVersion }),
      ...(rateLimits.length > 0 && { rateLimits }),
    };
  }
}

/** How a slot is released whose server gave no report when it was checked. */
const RELEASED_KINDS = {
  answered: "unused",
  shed: "not_started",
  failed: "lost",
  // The failure says nothing about the server.
  unreachable: "unused",
} as const;

function isFailure(
  result: CheckResult,
): result is CheckResult & { kind: "failed" | "unreachable" } {
  return result.kind === "failed" || result.kind === "unreachable";
}

function reportedSlowdown(result: CheckResult): number | undefined {
  if (result.kind === "unreachable") return undefined;
  const isHealthy = result.kind === "answered" && result.healthy;
  return isHealthy ? result.slowdown : UNHEALTHY_SLOWDOWN;
}

/** What an answer says about requests, without the fields that are absent. */
function statementOf({ rateLimit, backOffMs, warmUpMs }: ServerStatement) {
  return {
    ...(warmUpMs !== undefined && { warmUpMs }),
    ...(rateLimit !== undefined && { rateLimit }),
    ...(backOffMs !== undefined && { backOffMs }),
  };
}
