import {
  type BackendServer,
  type BackendServerId,
  type Call,
  callFault,
  type DataCentre,
  EMPTY_VIEW,
  type Entry,
  type HostId,
  type Randomness,
  type Service,
  type View,
} from "#model";
import type { LinkState } from "./dispatch_link.ts";
import { Dispatcher } from "./dispatcher.ts";
import { DispatcherChoice } from "./dispatcher_choice.ts";
import type {
  CallResult,
  CheckResult,
  ProbeResult,
  RoutingEffect,
} from "./effects.ts";
import { isLongRunning } from "./long_running.ts";
import type { DispatchMessage } from "./messages.ts";
import { Prober, ProbeShare, probeCandidates } from "./probing.ts";
import { SequenceNumbers } from "./sequence_numbers.ts";
import type { HealthChange } from "./server_health.ts";
import { ServiceRouter } from "./service_router.ts";

/** Interval at which the router looks for servers to probe. */
const PROBE_INTERVAL_MS = 50;
/** Interval of `tick` with work; finer than the timeouts of short calls. */
const TICK_MS = 5;
/** The same where all calls are long-running, whose timeouts are longer. */
const TICK_LONG_RUNNING_MS = 20;
const NO_SERVERS: ReadonlySet<BackendServerId> = new Set();

export interface RouterOptions {
  /** The entry that this router belongs to. */
  readonly self: HostId;
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
  /** Whether servers may report how fast they are; false if absent. */
  readonly serversReportSpeed?: boolean;
  /**
   * Whether control has confirmed so recently that no other entry dispatches this
   * entry's services; always if absent.
   */
  readonly isConfirmed?: () => boolean;
}

/** The servers of a service, and when they were told. */
interface ServerRecords {
  readonly servers: readonly BackendServer[];
  readonly at: number;
}

/**
 * Selects backend servers for the calls of one entry process, for all services.
 * It does no I/O: its methods return effects for the caller to execute.
 * `tick` must be called at the interval of `tickIntervalMs`.
 */
export class Router {
  readonly #options: RouterOptions;
  readonly #sequenceNumbers = new SequenceNumbers();
  readonly #services = new Map<string, ServiceRouter>();
  readonly #serverRecords = new Map<string, ServerRecords>();
  readonly #dispatchers = new Map<string, Dispatcher>();
  /** The service of each call that is waiting or assigned. */
  readonly #calls = new Map<string, ServiceRouter>();
  readonly #activeServices = new Set<ServiceRouter>();
  readonly #probers = new Map<string, Prober>();
  readonly #probeShare: ProbeShare;
  #view: View = EMPTY_VIEW;
  #nextProbeAt = 0;

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#probeShare = new ProbeShare(options.self);
  }

  /** Number of calls of this entry that wait for a slot, by service. */
  queueLengths(): [service: string, calls: number][] {
    return [...this.#services].map(([name, router]) => [
      name,
      router.waitingCount,
    ]);
  }

  /** Number of servers that want no requests of this entry, by service. */
  backingOffServers(): [service: string, servers: number][] {
    return [...this.#services].map(([name, router]) => [
      name,
      router.servers.backingOffCount,
    ]);
  }

  /** Number of servers that limit their request rate, by service. */
  rateLimitedServers(): [service: string, servers: number][] {
    return [...this.#services].map(([name, router]) => [
      name,
      router.servers.rateLimitedCount,
    ]);
  }

  /** Number of cold servers, by service; none where they are not limited. */
  coldServers(): [service: string, servers: number][] {
    return [...this.#services].map(([name, router]) => [
      name,
      router.servers.coldCount,
    ]);
  }

  /** Applies the services of the document and the current view. */
  configure(
    services: readonly Service[],
    view: View,
    now: number,
  ): RoutingEffect[] {
    this.#view = view;
    this.#probeShare.configure(view, now);
    const effects: RoutingEffect[] = [];
    const present = new Set(services.map((service) => service.name));
    for (const [name, router] of this.#services) {
      if (present.has(name) || !router.idle) continue;
      this.#services.delete(name);
      this.#dispatchers.delete(name);
    }
    const choice = new DispatcherChoice(view);
    const members = new Map(view.entries.map((entry) => [entry.id, entry]));
    const inView = members.has(this.#options.self);
    for (const service of services) {
      const router = this.#serviceRouter(service, now);
      const dispatcher = inView ? choice.dispatcherOf(service.name) : undefined;
      const host = dispatcher?.id;
      effects.push(
        ...this.#configureDispatcher(service, { host, members, now }),
      );
      effects.push(...router.setDispatcher(dispatcher, view, now));
    }
    return this.#deliverToSelf(effects, now);
  }

  /** Sets the servers of a service. Calls on removed servers stay assigned. */
  setServers(
    service: string,
    servers: readonly BackendServer[],
    now: number,
  ): RoutingEffect[] {
    this.#serverRecords.set(service, { servers, at: now });
    const effects: RoutingEffect[] = [];
    const dispatcher = this.#dispatchers.get(service);
    if (dispatcher) effects.push(...dispatcher.setServers(servers, now));
    const router = this.#services.get(service);
    if (router) effects.push(...router.setServers(servers, now));
    return this.#deliverToSelf(effects, now);
  }

  /**
   * Requests a server for a call. Exactly one assign or reject effect follows,
   * now or later, unless the call is cancelled first. After a failed attempt
   * the same call may be submitted again, with the servers to exclude.
   */
  submit(
    call: Call,
    options: { exclude?: ReadonlySet<BackendServerId>; now: number },
  ): RoutingEffect[] {
    const router = this.#services.get(call.service);
    if (!router) {
      const fault = callFault("unknown_service");
      return [{ type: "reject", callId: call.id, fault }];
    }
    const { exclude = NO_SERVERS, now } = options;
    this.#calls.set(call.id, router);
    this.#activeServices.add(router);
    return this.#deliverToSelf(router.submit(call, { exclude, now }), now);
  }

  /** Handles a server's answer to a check for a call. */
  handleCheckResult(
    callId: string,
    result: CheckResult,
    now: number,
  ): RoutingEffect[] {
    const router = this.#calls.get(callId);
    if (!router) return [];
    return this.#deliverToSelf(
      router.handleCheckResult(callId, result, now),
      now,
    );
  }

  /** Records the end of an assigned call and frees its slot. */
  finish(callId: string, result: CallResult, now: number): RoutingEffect[] {
    const router = this.#calls.get(callId);
    if (!router) return [];
    this.#calls.delete(callId);
    return this.#deliverToSelf(router.finish(callId, result, now), now);
  }

  /** Cancels a waiting or assigned call; no further effect for it follows. */
  cancel(callId: string, now: number): RoutingEffect[] {
    const router = this.#calls.get(callId);
    if (!router) return [];
    this.#calls.delete(callId);
    return this.#deliverToSelf(router.cancel(callId, now), now);
  }

  /** Records the result of a probe. */
  handleProbeResult(
    server: Pick<BackendServer, "service" | "id">,
    result: ProbeResult,
    now: number,
  ): RoutingEffect[] {
    const { service, id } = server;
    const prober = this.#probers.get(service);
    if (result.kind === "answered") prober?.answered(id, result.ms);
    else prober?.failed(id);
    if (result.kind === "unreachable") return [];
    const failed = result.kind === "failed";
    const router = this.#services.get(service);
    router?.servers.recordProbe(id, result, now);
    const leaving = !failed && result.leaving === true;
    const dispatcher = this.#dispatchers.get(service);
    const effects =
      dispatcher?.handleProbeResult(id, { failed, leaving }, now) ?? [];
    const changes = router?.statementEffects() ?? [];
    return this.#deliverToSelf([...effects, ...changes], now);
  }

  /** Handles a message from another entry. */
  receive(
    from: HostId,
    message: DispatchMessage,
    now: number,
  ): RoutingEffect[] {
    return this.#deliverToSelf(this.#handleMessage(from, message, now), now);
  }

  /** Handles a lost connection to another entry. */
  peerDown(id: HostId, now: number): RoutingEffect[] {
    const effects: RoutingEffect[] = [];
    for (const dispatcher of this.#dispatchers.values()) {
      effects.push(...dispatcher.entryDisconnected(id, now));
    }
    for (const router of this.#activeServices) {
      effects.push(...router.peerDown(id, now));
    }
    return this.#deliverToSelf(effects, now);
  }

  /**
   * Does the work that depends on time: expires calls, falls back from a silent
   * dispatcher, and sends reports and probes.
   */
  tick(now: number): RoutingEffect[] {
    const effects: RoutingEffect[] = [];
    for (const [service, dispatcher] of this.#dispatchers) {
      if (dispatcher.idle) continue;
      effects.push(...dispatcher.tick(now));
      const changes = dispatcher.takeHealthChanges();
      effects.push(...healthEffects(changes, { service, by: "dispatcher" }));
    }
    for (const router of this.#activeServices) {
      effects.push(...router.tick(now));
      const service = router.service.name;
      const changes = router.servers.takeHealthChanges();
      effects.push(...healthEffects(changes, { service, by: "entry" }));
      if (router.idle) this.#activeServices.delete(router);
    }
    effects.push(...this.#probeQuietServers(now));
    return this.#deliverToSelf(effects, now);
  }

  /** Interval in milliseconds at which `tick` is needed while there is work. */
  tickIntervalMs(): number {
    for (const router of this.#activeServices) {
      if (!isLongRunning(router.servers.meanMs)) return TICK_MS;
    }
    for (const dispatcher of this.#dispatchers.values()) {
      if (!dispatcher.idle && !dispatcher.isLongRunning) return TICK_MS;
    }
    return TICK_LONG_RUNNING_MS;
  }

  /** State of this entry's link to a service's dispatcher, for metrics. */
  dispatcherLinkState(service: string): LinkState {
    return this.#services.get(service)?.link.state ?? "detached";
  }

  /** The dispatcher of a service if this entry hosts it, for metrics. */
  dispatcher(service: string): Dispatcher | undefined {
    return this.#dispatchers.get(service);
  }

  /** The servers of a service, as they would be announced now. */
  #recordsOf(service: string, now: number): readonly BackendServer[] {
    const { servers = [], at = now } = this.#serverRecords.get(service) ?? {};
    return servers.map((server) => {
      const { warmUpRemainingMs } = server;
      if (warmUpRemainingMs === undefined) return server;
      const leftMs = warmUpRemainingMs - (now - at);
      return {
        ...server,
        warmUpRemainingMs: leftMs > 0 ? leftMs : undefined,
      };
    });
  }

  #serviceRouter(service: Service, now: number): ServiceRouter {
    const known = this.#services.get(service.name);
    if (known) {
      known.configure(service);
      return known;
    }
    const sequenceNumbers = this.#sequenceNumbers;
    const router = new ServiceRouter(service, {
      ...this.#options,
      sequenceNumbers,
    });
    this.#services.set(service.name, router);
    // Servers may be announced before their service is configured.
    router.setServers(this.#recordsOf(service.name, now), now);
    return router;
  }

  /**
   * Starts, reconfigures or stops the dispatcher of a service at this entry.
   */
  #configureDispatcher(
    service: Service,
    options: {
      host: HostId | undefined;
      members: ReadonlyMap<HostId, Entry>;
      now: number;
    },
  ): RoutingEffect[] {
    const { host, members, now } = options;
    const view = { epoch: this.#view.epoch, members };
    const known = this.#dispatchers.get(service.name);
    if (host !== this.#options.self) {
      this.#dispatchers.delete(service.name);
      return [];
    }
    if (known) return known.configure(service, view, now);
    const sequenceNumbers = this.#sequenceNumbers;
    const { isConfirmed } = this.#options;
    const created = new Dispatcher({
      service,
      view,
      sequenceNumbers,
      now,
      ...(isConfirmed && { isConfirmed }),
    });
    this.#dispatchers.set(service.name, created);
    return created.setServers(this.#recordsOf(service.name, now), now);
  }

  /**
   * Probes servers without recent results, of the services that this entry
   * dispatches, or uses without a dispatcher.
   */
  #probeQuietServers(now: number): RoutingEffect[] {
    if (now < this.#nextProbeAt) return [];
    this.#nextProbeAt = now + PROBE_INTERVAL_MS;
    const share = this.#probeShare.share(now);
    if (share === 0) return [];
    const effects: RoutingEffect[] = [];
    for (const router of this.#services.values()) {
      const { name } = router.service;
      const dispatcher = this.#dispatchers.get(name);
      const isDispatching = dispatcher !== undefined && !dispatcher.idle;
      const isDetached =
        this.#activeServices.has(router) && !router.link.sendsUpdates;
      if (!isDispatching && !isDetached) continue;
      let prober = this.#probers.get(name);
      if (!prober) {
        prober = new Prober(now);
        this.#probers.set(name, prober);
      }
      const servers = isDispatching
        ? dispatcher.slots.servers()
        : router.servers.servers();
      const { service } = router;
      const local = router.servers;
      const candidates = probeCandidates(servers, { local, now });
      for (const id of prober.pick(candidates, { service, share, now })) {
        const server = router.servers.get(id)?.record;
        if (server) effects.push({ type: "probe", server });
      }
    }
    return effects;
  }

  #handleMessage(
    from: HostId,
    message: DispatchMessage,
    now: number,
  ): RoutingEffect[] {
    const { service } = message.payload;
    switch (message.kind) {
      case "dispatch_grant": {
        const router = this.#services.get(service);
        return router?.handleGrant(from, message.payload, now) ?? [];
      }
      case "dispatch_report": {
        const dispatcher = this.#dispatchers.get(service);
        return dispatcher?.handleReport(from, message.payload, now) ?? [];
      }
      case "dispatch_update": {
        const dispatcher = this.#dispatchers.get(service);
        return dispatcher?.handleUpdate(from, message.payload, now) ?? [];
      }
    }
  }

  /**
   * Handles messages to this entry itself, removes rejected calls, and returns
   * the effects that remain for the caller.
   */
  #deliverToSelf(effects: RoutingEffect[], now: number): RoutingEffect[] {
    const { self } = this.#options;
    if (effects.length === 0) return effects;
    const remaining: RoutingEffect[] = [];
    // Effects of the handled messages are appended while the list is iterated.
    for (const effect of effects) {
      if (effect.type === "send" && effect.to === self) {
        effects.push(...this.#handleMessage(self, effect, now));
        continue;
      }
      if (effect.type === "reject") this.#calls.delete(effect.callId);
      remaining.push(effect);
    }
    return remaining;
  }
}

function healthEffects(
  changes: readonly HealthChange[],
  about: { service: string; by: "dispatcher" | "entry" },
): RoutingEffect[] {
  return changes.map((change) => ({
    type: "server_health_changed",
    ...about,
    ...change,
  }));
}
