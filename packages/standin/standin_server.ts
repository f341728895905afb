import {
  Agent,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Address,
  type Clock,
  HEADERS,
  type Randomness,
  SystemClock,
  SystemRandomness,
} from "#model";
import { type AnnouncementReply, Announcer } from "./announcer.ts";
import { type Behaviour, DEFAULT_BEHAVIOUR, serviceTime } from "./behaviour.ts";
import { Ledger } from "./ledger.ts";
import { readRequest, type StandinRequest, sendBody } from "./requests.ts";
import { Slots } from "./slots.ts";

export interface StandinOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly host?: string;
  /** Any free port if absent; a restart keeps the port. */
  readonly port?: number;
  /** Entries to announce to; none for a server that stays unannounced. */
  readonly entries?: () => readonly Address[];
  /** Entries to be registered with at the same time. */
  readonly copies?: number;
  readonly slots?: number;
  /** Requests that may wait for a slot. */
  readonly queue?: number;
  readonly connections?: number;
  readonly behaviour?: Partial<Behaviour>;
  /** Shared by servers whose runs are checked together. */
  readonly ledger?: Ledger;
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  /** Sees every answer to an announcement. */
  readonly replied?: (reply: AnnouncementReply) => void;
}

/** What a server has counted over all incarnations. */
export interface StandinCounts {
  started: number;
  finished: number;
  cancelled: number;
  refused: number;
  expired: number;
  probes: number;
  crashes: number;
}

/** A backend server in this process. */
export class StandinServer {
  readonly id: string;
  readonly ledger: Ledger;
  readonly counts: StandinCounts = {
    started: 0,
    finished: 0,
    cancelled: 0,
    refused: 0,
    expired: 0,
    probes: 0,
    crashes: 0,
  };
  readonly #options: StandinOptions;
  readonly #clock: Clock;
  readonly #randomness: Randomness;
  readonly #sockets = new Set<Socket>();
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 2 });
  #behaviour: Behaviour;
  #server: Server | undefined;
  #announcer: Announcer | undefined;
  #slots: Slots;
  #port: number;
  #incarnation = 0;
  #sequence = 0;
  #startedAt = 0;
  #leaving = false;
  #thawed: Promise<void> | undefined;
  #thaw: (() => void) | undefined;

  constructor(options: StandinOptions) {
    this.id = options.id;
    this.#options = options;
    this.ledger = options.ledger ?? new Ledger();
    this.#clock = options.clock ?? new SystemClock();
    this.#randomness = options.randomness ?? new SystemRandomness();
    this.#behaviour = { ...DEFAULT_BEHAVIOUR, ...options.behaviour };
    this.#port = options.port ?? 0;
    this.#slots = this.#newSlots();
  }

  get address(): Address {
    return { host: this.#options.host ?? "127.0.0.1", port: this.#port };
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  get inFlight(): number {
    return this.#slots.inFlight;
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  /** Starts a new incarnation; also after a crash. */
  async start(): Promise<Address> {
    this.#incarnation = Math.max(this.#clock.wallTime(), this.#incarnation + 1);
    this.#sequence = 0;
    this.#startedAt = this.#clock.now();
    this.#leaving = false;
    this.#slots = this.#newSlots();
    const server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    server.maxConnections = this.#options.connections ?? 300;
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    this.#server = server;
    const { host } = this.address;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#port, host, resolve);
    });
    const bound = server.address();
    if (typeof bound === "object" && bound) this.#port = bound.port;
    this.#announce();
    return this.address;
  }

  /** Changes how requests are served from now on. */
  behave(behaviour: Partial<Behaviour>): void {
    const { unhealthy } = this.#behaviour;
    this.#behaviour = { ...this.#behaviour, ...behaviour };
    if (this.#behaviour.unhealthy === unhealthy) return;
    void this.#announcer?.announceNow();
  }

  /** Stops answering, probes and renewals included, until `thaw`. */
  freeze(): void {
    this.#thawed ??= new Promise((resolve) => {
      this.#thaw = resolve;
    });
  }

  thaw(): void {
    this.#thaw?.();
    this.#thawed = undefined;
    void this.#announcer?.announceNow();
  }

  /** Announces that it leaves; requests in flight go on. */
  async leave(): Promise<boolean> {
    this.#leaving = true;
    const { service } = this.#options;
    return (await this.#announcer?.leave(this.#incarnation, service)) ?? false;
  }

  /** Leaves, waits until nothing runs and closes. */
  async stop(): Promise<void> {
    await this.leave();
    while (this.#slots.inFlight > 0) await sleep(10);
    await this.#close();
  }

  /** Dies without a word: connections are reset and nothing is announced. */
  async crash(): Promise<void> {
    this.counts.crashes++;
    this.#announcer?.stop();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await this.#close();
  }

  async #close(): Promise<void> {
    this.#announcer?.stop();
    this.thaw();
    this.#agent.destroy();
    const server = this.#server;
    this.#server = undefined;
    if (!server) return;
    const closed = new Promise((resolve) => server.close(resolve));
    server.closeIdleConnections();
    for (const socket of this.#sockets) socket.destroySoon();
    await closed;
  }

  #announce(): void {
    const { entries, copies = 1, replied } = this.#options;
    if (!entries) return;
    this.#announcer = new Announcer({
      id: this.id,
      entries,
      copies,
      agent: this.#agent,
      next: () => this.#announcement(),
      paused: () => this.#thawed !== undefined,
      replied: (reply) => {
        if (reply.body.error === "older_incarnation") {
          // The clock was behind that of an earlier incarnation.
          this.#incarnation = Number(reply.body.known ?? 0) + 1;
        }
        replied?.(reply);
      },
    });
    this.#announcer.start();
  }

  #announcement() {
    const { service, dataCentre } = this.#options;
    const { host, port } = this.address;
    const { unhealthy } = this.#behaviour;
    return {
      service,
      host,
      port,
      data_centre: dataCentre,
      incarnation: this.#incarnation,
      sequence: ++this.#sequence,
      state: unhealthy ? ("unhealthy" as const) : ("ready" as const),
      slots: this.#options.slots ?? 6,
      connections: this.#options.connections ?? 300,
      in_flight: this.#reported(),
      started_ms_ago: Math.round(this.#clock.now() - this.#startedAt),
    };
  }

  #reported(): number {
    return this.#behaviour.claimedInFlight ?? this.#slots.inFlight;
  }

  #newSlots(): Slots {
    const { slots = 6, queue = 0 } = this.#options;
    return new Slots({ slots, queue });
  }

  async #serve(request: IncomingMessage, response: ServerResponse) {
    const cancel = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) cancel.abort();
    });
    response.on("error", () => undefined);
    await this.#thawed;
    if (request.url === "/.mangobank/load") {
      this.#probe(response);
      return;
    }
    const call = await readRequest(request);
    if (!call || cancel.signal.aborted) return;
    if (call.crash) {
      this.#record(call);
      await this.crash();
      return;
    }
    await this.#admit(call, { response, signal: cancel.signal });
  }

  async #admit(
    call: StandinRequest,
    { response, signal }: { response: ServerResponse; signal: AbortSignal },
  ): Promise<void> {
    if (this.#leaving || this.#behaviour.shedding) {
      this.#refuse(response, 503);
      return;
    }
    const slots = this.#slots;
    const deadline = AbortSignal.timeout(call.deadlineMs);
    const turn = await slots.take(AbortSignal.any([signal, deadline]));
    if (turn === "taken") {
      try {
        await this.#run(call, { response, signal, deadline });
      } finally {
        slots.release();
      }
      return;
    }
    if (signal.aborted) this.counts.cancelled++;
    else this.#refuse(response, turn === "refused" ? 503 : 504);
  }

  async #run(
    call: StandinRequest,
    context: {
      response: ServerResponse;
      signal: AbortSignal;
      deadline: AbortSignal;
    },
  ): Promise<void> {
    const { response, signal, deadline } = context;
    const { failStatus, resetMidBody } = this.#behaviour;
    this.#record(call);
    if (failStatus !== undefined) {
      this.#head(response, failStatus);
      response.end(JSON.stringify({ error: "standin_failure" }));
      return;
    }
    const ageMs = this.#clock.now() - this.#startedAt;
    const randomness = this.#randomness;
    const ms =
      call.serviceMs ?? serviceTime(this.#behaviour, { ageMs, randomness });
    const stop = AbortSignal.any([signal, deadline]);
    await sleep(ms, undefined, { signal: stop }).catch(() => undefined);
    await this.#thawed;
    if (signal.aborted) {
      this.counts.cancelled++;
      return;
    }
    if (deadline.aborted) {
      this.counts.expired++;
      this.#head(response, 504);
      response.end(JSON.stringify({ error: "deadline_expired" }));
      return;
    }
    this.#head(response, call.status);
    const server = { server: this.id, incarnation: this.#incarnation };
    await sendBody(response, { call, server, resetMidBody });
    this.counts.finished++;
  }

  #record(call: StandinRequest): void {
    this.counts.started++;
    const { requestId, key, method, path } = call;
    this.ledger.record({
      requestId,
      key,
      server: this.id,
      incarnation: this.#incarnation,
      method,
      path,
    });
  }

  #refuse(response: ServerResponse, status: 503 | 504): void {
    this.counts.refused++;
    response.setHeader(HEADERS.notStarted, "true");
    response.setHeader(HEADERS.retryAfter, "1");
    this.#head(response, status);
    response.end(JSON.stringify({ error: "not_started" }));
  }

  #head(response: ServerResponse, status: number): void {
    response.statusCode = status;
    response.setHeader("content-type", "application/json");
    response.setHeader(HEADERS.inFlight, String(this.#reported()));
    if (this.#leaving) response.setHeader(HEADERS.serverState, "leaving");
  }

  #probe(response: ServerResponse): void {
    this.counts.probes++;
    const { unhealthy } = this.#behaviour;
    this.#head(response, 200);
    response.end(
      JSON.stringify({
        in_flight: this.#reported(),
        slots: this.#options.slots ?? 6,
        state: this.#leaving ? "leaving" : unhealthy ? "unhealthy" : "ready",
      }),
    );
  }
}
