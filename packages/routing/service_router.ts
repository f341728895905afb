import { ClassQueue } from "#admission";
import {
  type BackendServer,
  type Call,
  callFault,
  type DataCentre,
  type Randomness,
  type Service,
} from "#model";
import type { CallResult, RoutingEffect } from "./effects.ts";
import { chooseLocally } from "./local_choice.ts";
import { SampleSet } from "./sample_set.ts";
import { ServerState, warmSlots } from "./server_state.ts";

/** Weight of a new sample in the average time between completions. */
const RATE_WEIGHT = 0.05;

interface OpenCall {
  readonly id: string;
  readonly call: Call;
  readonly priority: Call["priority"];
  readonly deadline: number;
  readonly exclude: ReadonlySet<string>;
  server: ServerState | undefined;
}

export interface ServiceRouterOptions {
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
}

/** One entry's choice of servers for one service. */
export class ServiceRouter {
  #service: Service;
  readonly #options: ServiceRouterOptions;
  readonly #servers = new Map<string, ServerState>();
  /** Ready servers on which this entry does not use every slot. */
  readonly #free = new SampleSet<ServerState>();
  readonly #calls = new Map<string, OpenCall>();
  readonly #queue: ClassQueue<OpenCall>;
  #betweenFinishesMs = 0;
  #lastFinish = Number.NEGATIVE_INFINITY;

  constructor(service: Service, options: ServiceRouterOptions) {
    this.#service = service;
    this.#options = options;
    this.#queue = new ClassQueue(service.queueLength);
  }

  get idle(): boolean {
    return this.#calls.size === 0;
  }

  configure(service: Service): void {
    this.#service = service;
    this.#queue.setLimit(service.queueLength);
  }

  setServers(records: readonly BackendServer[], now: number): RoutingEffect[] {
    const present = new Set(records.map((record) => record.id));
    for (const [id, server] of this.#servers) {
      if (present.has(id)) continue;
      this.#servers.delete(id);
      this.#free.delete(server);
    }
    for (const record of records) {
      const server = this.#servers.get(record.id);
      if (server) server.announce(record, now);
      else this.#servers.set(record.id, new ServerState(record, now));
    }
    for (const server of this.#servers.values()) this.#refresh(server, now);
    return this.#drain(now);
  }

  submit(
    call: Call,
    options: { exclude: ReadonlySet<string>; now: number },
  ): RoutingEffect[] {
    const { exclude, now } = options;
    if (this.#calls.has(call.id)) return [];
    const { id, priority, deadline } = call;
    if (deadline <= now) return [reject(id, "deadline_expired")];
    if (!this.#anyReady()) return [reject(id, "no_server", 1_000)];
    const open = { id, call, priority, deadline, exclude, server: undefined };
    this.#calls.set(id, open);
    const effect = this.#queue.length === 0 && this.#assign(open, now);
    return effect ? [effect] : this.#wait(open, now);
  }

  finish(callId: string, result: CallResult, now: number): RoutingEffect[] {
    const open = this.#calls.get(callId);
    if (!open?.server) return [];
    this.#calls.delete(callId);
    const { server } = open;
    server.inFlight -= 1;
    server.lastHeard = now;
    if (result.kind === "answered") server.sample(result.serviceMs);
    if (result.inFlight !== undefined) server.report(result.inFlight, now);
    if (result.leaving) server.leaving = true;
    this.#refresh(server, now);
    this.#measureRate(now);
    return this.#drain(now);
  }

  cancel(callId: string, now: number): RoutingEffect[] {
    const open = this.#calls.get(callId);
    if (!open) return [];
    if (open.server) {
      return this.finish(callId, { kind: "cancelled", serviceMs: 0 }, now);
    }
    this.#calls.delete(callId);
    this.#queue.remove(callId);
    return [];
  }

  tick(now: number): RoutingEffect[] {
    const expired = this.#queue.expire(now).map((open) => {
      this.#calls.delete(open.id);
      return reject(open.id, "deadline_expired", this.#retryAfter());
    });
    return [...expired, ...this.#drain(now)];
  }

  #anyReady(): boolean {
    if (this.#free.size > 0) return true;
    for (const server of this.#servers.values()) {
      if (server.ready) return true;
    }
    return false;
  }

  #assign(open: OpenCall, now: number): RoutingEffect | undefined {
    const { dataCentre, random } = this.#options;
    const { exclude } = open;
    const choice = { exclude, dataCentre, random, now };
    const server = chooseLocally(this.#free, choice);
    if (!server) return undefined;
    open.server = server;
    server.inFlight += 1;
    this.#refresh(server, now);
    return { type: "assign", callId: open.id, server: server.record };
  }

  #wait(open: OpenCall, now: number): RoutingEffect[] {
    const waitMs = this.#betweenFinishesMs * this.#queue.ahead(open.priority);
    if (now + waitMs >= open.deadline) {
      this.#calls.delete(open.id);
      return [reject(open.id, "queue_full", this.#retryAfter())];
    }
    const offer = this.#queue.offer(open);
    if (offer.type === "queued") return [];
    const loser = offer.type === "full" ? open : offer.evicted;
    this.#calls.delete(loser.id);
    return [reject(loser.id, "queue_full", this.#retryAfter())];
  }

  /** Assigns waiting calls while there are free slots. */
  #drain(now: number): RoutingEffect[] {
    const effects: RoutingEffect[] = [];
    for (;;) {
      const open = this.#free.size > 0 ? this.#queue.peek() : undefined;
      const effect = open && this.#assign(open, now);
      if (!open || !effect) return effects;
      this.#queue.remove(open.id);
      effects.push(effect);
    }
  }

  #refresh(server: ServerState, now: number): void {
    server.limit = warmSlots(server, this.#service, now);
    const known = this.#servers.get(server.record.id) === server;
    const free = server.inFlight < server.limit;
    if (known && server.ready && free) this.#free.add(server);
    else this.#free.delete(server);
  }

  #measureRate(now: number): void {
    const gap = Math.min(now - this.#lastFinish, 1_000);
    this.#lastFinish = now;
    this.#betweenFinishesMs += RATE_WEIGHT * (gap - this.#betweenFinishesMs);
  }

  #retryAfter(): number {
    const waitMs = this.#betweenFinishesMs * (this.#queue.length + 1);
    return Math.max(1, Math.ceil(waitMs));
  }
}

function reject(
  callId: string,
  code: "deadline_expired" | "no_server" | "queue_full",
  retryAfterMs?: number,
): RoutingEffect {
  return { type: "reject", callId, fault: callFault(code, { retryAfterMs }) };
}
