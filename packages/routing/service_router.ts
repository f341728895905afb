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
import { DispatchLink } from "./dispatch_link.ts";
import type { CallResult, CheckResult, RoutingEffect } from "./effects.ts";
import { GrantedSlots } from "./granted_slots.ts";
import { LocalServers } from "./local_servers.ts";
import { isLongWork } from "./long_work.ts";
import type { DispatchGrant } from "./messages.ts";
import type { Numbers } from "./numbers.ts";
import {
  assign,
  type OpenCall,
  openCall,
  reject,
  taken,
  wanted,
} from "./open_call.ts";
import { OpenCalls } from "./open_calls.ts";
import { PlacementChecks } from "./placement_checks.ts";
import { Pressure } from "./pressure.ts";
import type { ServerState } from "./server_state.ts";

/** Interval in which ejections and cold starts are followed. */
const REFRESH_MS = 50;
/** Waiting calls that may be passed over because of their exclusions. */
const MAX_SET_ASIDE = 8;
/** Assumed of a server that says it should get no work. */
const UNHEALTHY_SLOWDOWN = 8;
/** When to come back to a service without servers. */
const NO_SERVER_RETRY_MS = 1_000;

export interface ServiceRouterOptions {
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
  readonly numbers: Numbers;
  /** Whether servers may tell how fast they are. */
  readonly speedTold?: boolean | undefined;
}

/** One entry's selection of servers for one service. */
export class ServiceRouter {
  readonly link: DispatchLink;
  #service: Service;
  readonly #options: ServiceRouterOptions;
  readonly #servers: LocalServers;
  readonly #calls: OpenCalls;
  readonly #pressure: Pressure;
  readonly #checks: PlacementChecks;
  readonly #slots: GrantedSlots;
  #refreshAt = 0;
  /** Entries of the view. */
  #entries = 1;

  constructor(service: Service, options: ServiceRouterOptions) {
    this.#service = service;
    this.#options = options;
    this.#servers = new LocalServers(service, options);
    this.#calls = new OpenCalls({
      queueLength: service.queueLength,
      nextTicket: () => options.numbers.next(),
    });
    this.#pressure = new Pressure(this.#calls, this.#servers);
    this.link = new DispatchLink(service.name, options.numbers);
    this.#checks = new PlacementChecks({ mayTell: options.speedTold ?? false });
    this.#slots = new GrantedSlots({
      calls: this.#calls,
      link: this.link,
      servers: this.#servers,
      usable: this.#usable.bind(this),
      start: this.#start.bind(this),
    });
  }

  get service(): Service {
    return this.#service;
  }

  /** Calls that wait for a slot. */
  get waiting(): number {
    return this.#calls.queue.length;
  }

  /** Whether time changes nothing here. */
  get idle(): boolean {
    return this.#calls.size === 0 && !this.link.streaming;
  }

  get servers(): LocalServers {
    return this.#servers;
  }

  configure(service: Service): void {
    this.#service = service;
    this.#servers.configure(service);
  }

  /** Takes over the dispatcher of a view; joins it if there are calls. */
  setDispatcher(
    dispatcher: Entry | undefined,
    view: View,
    now: number,
  ): RoutingEffect[] {
    this.#entries = view.entries.length;
    const used = this.link.streaming || this.#calls.size > 0;
    this.link.configure(dispatcher, view.epoch);
    return used ? [...this.#join(now), ...this.#drain(now)] : [];
  }

  setServers(records: readonly BackendServer[], now: number): RoutingEffect[] {
    this.#servers.setServers(records, now);
    return this.#drain(now);
  }

  submit(
    call: Call,
    options: { exclude: ReadonlySet<BackendServerId>; now: number },
  ): RoutingEffect[] {
    const { now } = options;
    const { id, deadline } = call;
    if (this.#calls.get(id)) return [];
    if (deadline <= now) return [reject(id, "deadline_expired")];
    if (!this.#servers.anyReady) {
      const retryAfterMs = NO_SERVER_RETRY_MS;
      return [reject(id, "no_server", { retryAfterMs })];
    }
    const reserveMs = Math.min(this.#servers.meanMs, (deadline - now) / 2);
    const ticket = this.#options.numbers.next();
    const { exclude } = options;
    const open = openCall(call, { ticket, exclude, reserveMs, now });
    this.#calls.open(open);
    const effects = this.#place(open, now);
    if (this.link.joinDue(now)) effects.push(...this.#join(now));
    return effects;
  }

  finish(callId: string, result: CallResult, now: number): RoutingEffect[] {
    const open = this.#calls.get(callId);
    if (!open?.server) return [];
    const { ticket, server } = open;
    this.#calls.close(open);
    // What the server's spell added says nothing about the server itself.
    const serviceMs = result.serviceMs / Math.max(1, open.slowdown);
    const usual = { ...result, serviceMs, class: open.class };
    this.#servers.finished(server, usual, now);
    const { kind, leaving, slowdown } = result;
    if (kind === "answered") this.#checks.seen(slowdown);
    if (this.link.streaming) {
      this.link.release({ ticket, kind, serviceMs, leaving, slowdown });
    }
    const reused = this.#slots.reuse(server, now);
    // With credits left nobody waits, so the release can go with the next call.
    const sent = this.link.hasCredits ? [] : this.link.flush(now);
    return [...reused, ...sent, ...this.#drain(now)];
  }

  /** Takes a server's answer to a check; the call goes there or on. */
  checked(callId: string, result: CheckResult, now: number): RoutingEffect[] {
    const open = this.#calls.get(callId);
    if (!open?.server || !open.checking) return [];
    const { server } = open;
    open.checking = false;
    if (this.#checks.verdict(result, open) === "use") {
      this.#servers.checked(server, result, now);
      open.assignedAt = now;
      open.slowdown = server.slowdown;
      return [assign(open, server, now)];
    }
    return [...this.#decline(open, result, now), ...this.#drain(now)];
  }

  /** Gives back the slot of a server that should not run the call now. */
  #decline(open: OpenCall, result: CheckResult, now: number): RoutingEffect[] {
    const { server, ticket } = open;
    if (!server) return [];
    this.#servers.declined(server, result, now);
    const answered = result.kind === "answered" ? result : undefined;
    const shed = result.kind === "shed" ? "not_started" : "lost";
    if (this.link.streaming) {
      this.link.release({
        ticket,
        kind: answered ? "unused" : shed,
        serviceMs: 0,
        leaving: answered?.leaving,
        slowdown: answered?.healthy ? answered.slowdown : UNHEALTHY_SLOWDOWN,
      });
    }
    open.server = undefined;
    // A slow server is known to be so; others may not show why they fail.
    if (result.kind === "failed" || answered?.healthy === false) {
      open.exclude = new Set([...open.exclude, server.record.id]);
    }
    this.#calls.renewTicket(open);
    return [...this.#place(open, now), ...this.link.flush(now)];
  }

  cancel(callId: string, now: number): RoutingEffect[] {
    const open = this.#calls.get(callId);
    if (!open) return [];
    if (open.server) {
      const serviceMs = now - open.assignedAt;
      return this.finish(callId, { kind: "cancelled", serviceMs }, now);
    }
    this.#calls.close(open);
    this.link.cancel(open.ticket);
    return this.link.flush(now);
  }

  receive(from: HostId, grant: DispatchGrant, now: number): RoutingEffect[] {
    if (!this.link.accept(from, grant, now)) return [];
    const effects: RoutingEffect[] = [];
    for (const granted of grant.grants) {
      effects.push(...this.#slots.granted(granted, now));
    }
    for (const { ticket, code, ...reason } of grant.rejects) {
      const open = this.#calls.holding(ticket);
      if (!open || open.server) continue;
      this.#calls.close(open);
      effects.push(reject(open.id, code, reason));
    }
    effects.push(...this.link.flush(now));
    return effects;
  }

  /** The connection to a peer is lost. */
  peerDown(id: HostId, now: number): RoutingEffect[] {
    if (id !== this.link.dispatcher) return [];
    this.link.lost(now);
    return this.#drain(now);
  }

  tick(now: number): RoutingEffect[] {
    if (now >= this.#refreshAt) {
      this.#servers.tick(now);
      this.#refreshAt = now + REFRESH_MS;
    }
    const effects: RoutingEffect[] = this.#expire(now);
    const longWork = isLongWork(this.#servers.meanMs);
    if (this.link.overdue(now, longWork)) this.link.detach(now);
    if (this.link.joinDue(now) && this.#calls.size > 0) {
      effects.push(...this.#join(now));
    } else if (this.link.reportDue(now, longWork)) {
      effects.push(...this.link.report(this.#calls.state(now), now));
    }
    const ping =
      this.#calls.queue.length > 0 && this.link.pingDue(now, longWork);
    effects.push(...this.link.flush(now, ping));
    if (this.link.idle(now) && this.#calls.size === 0) this.link.detach(now);
    effects.push(...this.#drain(now));
    return effects;
  }

  /** Assigns a new call or lets it wait. */
  #place(open: OpenCall, now: number): RoutingEffect[] {
    if (this.link.state === "attached") {
      const server = this.#useCredit(open);
      if (server) {
        open.by = "credit";
        return this.#assign(open, server, now);
      }
      const offered = this.#offer(open, now);
      return [...offered, ...this.link.flush(now)];
    }
    const server =
      this.#calls.queue.length === 0
        ? this.#servers.choose(open.exclude, now)
        : undefined;
    if (server) return this.#assign(open, server, now);
    const waitMs = this.#pressure.waitMs(
      this.#calls.queue.ahead(open.priority),
    );
    if (now + waitMs > open.deadline) {
      this.#calls.close(open);
      return [
        reject(open.id, "queue_full", this.#pressure.refusal(this.link.state)),
      ];
    }
    return [...this.#offer(open, now), ...this.link.flush(now)];
  }

  #usable(open: OpenCall, id: BackendServerId): boolean {
    return !open.exclude.has(id) && this.#servers.get(id)?.ready === true;
  }

  /** Takes a slot that was granted ahead of need, a near one first. */
  #useCredit(open: OpenCall): ServerState | undefined {
    const usable = this.link.credits
      .filter((id) => this.#usable(open, id))
      .flatMap((id) => this.#servers.get(id) ?? []);
    const { dataCentre } = this.#options;
    const near = (server: ServerState) =>
      server.record.dataCentre === dataCentre;
    const chosen = usable.find(near) ?? usable[0];
    if (chosen) this.link.useCredit(chosen.record.id);
    return chosen;
  }

  #offer(open: OpenCall, now: number): RoutingEffect[] {
    const { queueLength } = this.#service;
    const about = { state: this.link.state, entries: this.#entries };
    this.#calls.queue.setLimit(this.#pressure.limit(queueLength, about));
    const offer = this.#calls.queue.offer(open);
    if (offer.type !== "full" && this.link.streaming) {
      this.link.want(wanted(open, now));
    }
    if (offer.type === "queued") return [];
    const loser = offer.type === "full" ? open : offer.evicted;
    this.#calls.close(loser);
    if (loser !== open) this.link.cancel(loser.ticket);
    return [
      reject(loser.id, "queue_full", this.#pressure.refusal(this.link.state)),
    ];
  }

  #assign(open: OpenCall, server: ServerState, now: number): RoutingEffect[] {
    const effect = this.#start(open, server, now);
    if (!this.link.streaming) return [effect];
    this.link.take(taken(open, server, now));
    return [effect, ...this.link.flush(now)];
  }

  #start(
    open: OpenCall,
    server: ServerState,
    now: number,
    { unasked = false } = {},
  ): RoutingEffect {
    open.server = server;
    open.assignedAt = now;
    this.#servers.started(server, now);
    const { slots } = this.#servers;
    const about = { slots, entries: this.#entries, now };
    if (!unasked && this.#checks.due(open, server, about)) {
      open.checks += 1;
      open.checking = true;
      return { type: "check", callId: open.id, server: server.record };
    }
    return assign(open, server, now);
  }

  /** Assigns waiting calls by local choice, unless the dispatcher does. */
  #drain(now: number): RoutingEffect[] {
    const effects: RoutingEffect[] = [];
    if (this.link.state === "attached") return effects;
    const aside: OpenCall[] = [];
    this.#calls.queue.advance(now);
    while (this.#servers.anyFree && aside.length < MAX_SET_ASIDE) {
      const open = this.#calls.queue.peek();
      if (!open) break;
      const server = this.#servers.choose(open.exclude, now);
      if (server) effects.push(...this.#slots.startUnasked(open, server, now));
      else aside.push(open);
      this.#calls.queue.remove(open.id);
    }
    for (const open of aside) this.#calls.queue.offer(open);
    effects.push(...this.link.flush(now));
    return effects;
  }

  #expire(now: number): RoutingEffect[] {
    return this.#calls.queue.expire(now).map((open) => {
      this.#calls.close(open);
      this.link.cancel(open.ticket);
      return reject(
        open.id,
        "deadline_expired",
        this.#pressure.refusal(this.link.state),
      );
    });
  }

  #join(now: number): RoutingEffect[] {
    return this.link.report(this.#calls.state(now), now);
  }
}
