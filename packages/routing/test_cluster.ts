import {
  type BackendServer,
  type Call,
  type Entry,
  ManualClock,
  rendezvousOrder,
  SeededRandomness,
  type Service,
  type View,
} from "#model";
import {
  type CallResult,
  type CheckResult,
  Router,
  type RoutingEffect,
  type SendEffect,
} from "./index.ts";

export const SERVICE: Service = {
  name: "alloc",
  measuringBudgetPercent: 1,
  retryBudgetPercent: 10,
  ejectionMaxPercent: 30,
  drainLimitS: 600,
  coldStartMs: 10_000,
  queueLength: 400,
  slotsPerServer: 2,
  connectionsPerServer: 300,
  classes: [],
  routes: [],
};

/** Answer to a check of a server at its usual speed. */
export const NORMAL_CHECK = {
  kind: "answered",
  healthy: true,
  leaving: false,
  slowdown: 1,
  inFlight: 0,
  ms: 6,
} as const satisfies CheckResult;

export function makeServer(
  id: string,
  options: Partial<BackendServer> = {},
): BackendServer {
  return {
    id,
    service: "alloc",
    address: { host: "127.0.0.1", port: 1 },
    dataCentre: "riga-a",
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: 2,
    connections: 300,
    inFlight: 0,
    startedMsAgo: 60_000,
    ...options,
  };
}

/** An urgent call that arrives now. */
export function makeCall(id: string, now: number): Call {
  return {
    id,
    service: "alloc",
    class: "booking",
    priority: "urgent",
    repeatable: false,
    arrival: now,
    deadline: now + 5_000,
    depth: 0,
    retries: 0,
  };
}

/** A view of entries, which are spread over the data centres by their number. */
export function makeView(
  ids: readonly string[],
  epoch = 1,
  dataCentres: readonly string[] = ["riga-a"],
): View {
  const address = { host: "127.0.0.1", port: 1 };
  const entries = ids.map(
    (id): Entry => ({
      id,
      incarnation: 1,
      dataCentre: dataCentreOf(id, dataCentres),
      http: address,
      peer: address,
      state: "ready",
    }),
  );
  return { epoch, entries, began: 0 };
}

/** The data centre of the entry or server with this id, such as `e12`. */
export function dataCentreOf(
  id: string,
  dataCentres: readonly string[],
): string {
  return dataCentres[Number(id.slice(1)) % dataCentres.length] ?? "riga-a";
}

type Decision = Extract<RoutingEffect, { type: "assign" | "reject" }>;
type Delivery = { at: number; from: string; message: SendEffect };

/** Delay of a duplicate message after the original. */
const DUPLICATE_DELAY_MS = 25;

/**
 * What the network does with a message: deliver it, drop it, hold it until
 * `releaseHeld`, or deliver it twice.
 */
type DeliveryMode = "deliver" | "drop" | "hold" | "duplicate";

/** Routers of several entries on one clock, with a faulty network. */
export class TestCluster {
  readonly clock = new ManualClock();
  readonly routers = new Map<string, Router>();
  /** Decisions by call id. */
  readonly decisions = new Map<string, Decision[]>();
  readonly running = new Map<string, { entry: string; server: string }>();
  readonly probes: { entry: string; server: string; at: number }[] = [];
  readonly checks: {
    callId: string;
    entry: string;
    server: string;
    at: number;
  }[] = [];
  /** Every call that was sent to a server, in order. */
  readonly assignments: {
    callId: string;
    entry: string;
    server: string;
    at: number;
  }[] = [];
  /** Results of checks by server; other servers are at their usual speed. */
  readonly checkResults = new Map<string, CheckResult>();
  /** Decides what the network does with each message. */
  deliveryMode: (from: string, message: SendEffect) => DeliveryMode = () =>
    "deliver";
  /** Time that a message takes, in milliseconds. */
  delayMs: (from: string, message: SendEffect) => number = () => 1;
  readonly heldMessages: Delivery[] = [];
  readonly frozenEntries = new Set<string>();
  /** Entries that control has not confirmed for a while. */
  readonly unconfirmedEntries = new Set<string>();
  #deliveries: Delivery[] = [];
  #calls = 0;
  view: View;

  constructor(
    options: {
      entries?: number;
      servers?: readonly BackendServer[];
      service?: Partial<Service>;
      serversReportSpeed?: boolean;
      dataCentres?: readonly string[];
    } = {},
  ) {
    const { entries = 3, servers = ["s1", "s2"].map((id) => makeServer(id)) } =
      options;
    const ids = Array.from({ length: entries }, (_, index) => `e${index}`);
    const { dataCentres = ["riga-a"] } = options;
    this.view = makeView(ids, 1, dataCentres);
    this.service = { ...SERVICE, ...options.service };
    for (const [index, self] of ids.entries()) {
      const random = new SeededRandomness(index + 1);
      const { serversReportSpeed = false } = options;
      const dataCentre = dataCentreOf(self, dataCentres);
      const router = new Router({
        self,
        dataCentre,
        random,
        serversReportSpeed,
        isConfirmed: () => !this.unconfirmedEntries.has(self),
      });
      this.routers.set(self, router);
    }
    this.setServers(servers);
    this.setView(this.view);
  }

  readonly service: Service;

  get now(): number {
    return this.clock.now();
  }

  get dispatcher(): string {
    const [first] = rendezvousOrder("alloc", this.view.entries);
    return first?.id ?? "";
  }

  /** An entry that is not the dispatcher. */
  get otherEntry(): string {
    const [, second] = rendezvousOrder("alloc", this.view.entries);
    return second?.id ?? "";
  }

  router(id: string): Router {
    const router = this.routers.get(id);
    if (!router) throw new Error(`no router ${id}`);
    return router;
  }

  setView(view: View): void {
    this.view = view;
    for (const [id, router] of this.routers) {
      this.apply(id, router.configure([this.service], view, this.now));
    }
  }

  setServers(servers: readonly BackendServer[]): void {
    for (const [id, router] of this.routers) {
      this.apply(id, router.setServers("alloc", servers, this.now));
    }
  }

  /** Submits a call; returns its id. */
  submit(
    entry: string,
    options: Partial<Call> & { exclude?: ReadonlySet<string> } = {},
  ): string {
    const { exclude, ...rest } = options;
    const call = { ...makeCall(`c${this.#calls++}`, this.now), ...rest };
    this.decisions.set(call.id, []);
    const { now } = this;
    this.apply(entry, this.router(entry).submit(call, { exclude, now }));
    return call.id;
  }

  finish(call: string, result: Partial<CallResult> = {}): void {
    const run = this.running.get(call);
    if (!run) throw new Error(`${call} does not run`);
    this.running.delete(call);
    const full: CallResult = { kind: "answered", serviceMs: 20, ...result };
    const router = this.routers.get(run.entry);
    if (router) this.apply(run.entry, router.finish(call, full, this.now));
  }

  cancel(entry: string, call: string): void {
    this.running.delete(call);
    this.apply(entry, this.router(entry).cancel(call, this.now));
  }

  /** The server that a call was assigned to. */
  serverOf(call: string): string | undefined {
    const decision = this.decisions.get(call)?.[0];
    return decision?.type === "assign" ? decision.server.id : undefined;
  }

  /** Stops an entry; the others lose their connection to it. */
  kill(id: string): void {
    this.routers.delete(id);
    for (const [call, run] of this.running) {
      if (run.entry === id) this.running.delete(call);
    }
    for (const [other, router] of this.routers) {
      this.apply(other, router.peerDown(id, this.now));
    }
  }

  /** Advances time in steps of a millisecond, with a tick every five. */
  advance(ms: number): void {
    for (let step = 0; step < ms; step++) {
      this.clock.advance(1);
      this.#deliver();
      if (this.now % 5 !== 0) continue;
      for (const [id, router] of this.routers) {
        if (!this.frozenEntries.has(id)) this.apply(id, router.tick(this.now));
      }
    }
  }

  /** Runs a call at each entry, so that all of them join the dispatcher. */
  joinAll(): void {
    for (const id of this.routers.keys()) this.submit(id);
    this.advance(30);
    for (const call of [...this.running.keys()]) this.finish(call);
    this.advance(10);
  }

  /** Slots in use by server, as the dispatcher counts them. */
  slotsInUseByServer(host = this.dispatcher): Record<string, number> {
    const dispatcher = this.router(host).dispatcher("alloc");
    const usage: Record<string, number> = {};
    for (const { record, inUse } of dispatcher?.slots.servers() ?? []) {
      usage[record.id] = inUse;
    }
    return usage;
  }

  slotsInUse(host = this.dispatcher): number {
    return Object.values(this.slotsInUseByServer(host)).reduce(
      (a, b) => a + b,
      0,
    );
  }

  apply(entry: string, effects: readonly RoutingEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "probe") {
        this.probes.push({ entry, server: effect.server.id, at: this.now });
      } else if (effect.type === "check") {
        this.#check(entry, effect);
      } else if (effect.type === "send") {
        this.#send(entry, effect as SendEffect);
      } else if (effect.type === "assign" || effect.type === "reject") {
        this.#decide(entry, effect);
      }
    }
  }

  /** Delivers the held messages. */
  releaseHeld(): void {
    for (const { from, message } of this.heldMessages.splice(0)) {
      this.#receive(from, message);
    }
  }

  /** Answers a check at once. */
  #check(
    entry: string,
    { callId, server }: Extract<RoutingEffect, { type: "check" }>,
  ): void {
    this.checks.push({ callId, entry, server: server.id, at: this.now });
    const result = this.checkResults.get(server.id) ?? NORMAL_CHECK;
    const router = this.routers.get(entry);
    this.apply(
      entry,
      router?.handleCheckResult(callId, result, this.now) ?? [],
    );
  }

  #decide(entry: string, effect: Decision): void {
    this.decisions.get(effect.callId)?.push(effect);
    if (effect.type === "reject") return;
    const { callId, server } = effect;
    this.running.set(callId, { entry, server: server.id });
    this.assignments.push({ callId, entry, server: server.id, at: this.now });
  }

  #send(from: string, message: SendEffect): void {
    const mode = this.deliveryMode(from, message);
    const delivery = {
      at: this.now + this.delayMs(from, message),
      from,
      message,
    };
    if (mode === "hold") this.heldMessages.push(delivery);
    if (mode === "deliver" || mode === "duplicate") {
      this.#deliveries.push(delivery);
    }
    if (mode === "duplicate") {
      this.#deliveries.push({
        ...delivery,
        at: delivery.at + DUPLICATE_DELAY_MS,
      });
    }
  }

  #deliver(): void {
    const due = this.#deliveries.filter(({ at }) => at <= this.now);
    this.#deliveries = this.#deliveries.filter(({ at }) => at > this.now);
    for (const { from, message } of due) this.#receive(from, message);
  }

  #receive(from: string, message: SendEffect): void {
    if (this.frozenEntries.has(message.to)) {
      this.heldMessages.push({ at: this.now, from, message });
      return;
    }
    const router = this.routers.get(message.to);
    if (!router) return;
    this.apply(message.to, router.receive(from, message, this.now));
  }
}

/** A test case of a table of faults. */
export interface FaultCase {
  readonly name: string;
  /** The failure that the case guards against. */
  readonly guards: string;
  readonly run: () => void;
}

/** A cluster of two servers with two slots each, all in use. */
export function fullCluster(): TestCluster {
  const cluster = new TestCluster();
  cluster.joinAll();
  const { otherEntry } = cluster;
  for (let call = 0; call < 4; call++) cluster.submit(otherEntry);
  cluster.advance(10);
  if (cluster.running.size !== 4) throw new Error("not every slot is used");
  return cluster;
}
