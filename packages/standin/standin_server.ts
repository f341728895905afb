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
import {
  type Behaviour,
  DEFAULT_BEHAVIOUR,
  serviceTimeMs,
} from "./behaviour.ts";
import { ExecutionLog } from "./execution_log.ts";
import { readRequest, type StandinRequest, sendBody } from "./requests.ts";
import { Slots } from "./slots.ts";

export interface StandinOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly host?: string;
  /** Port to listen on; any free port if absent. A restart reuses the port. */
  readonly port?: number;
  /** Entries to announce to; if absent, the server is not announced. */
  readonly entries?: () => readonly Address[];
  /** Number of entries to stay registered with; 1 if absent. */
  readonly registrations?: number;
  /** Requests that run at the same time. */
  readonly slots?: number;
  /** Number of requests that may wait for a slot; further ones get 503. */
  readonly queueLimit?: number;
  /** Maximum number of connections. */
  readonly connections?: number;
  readonly behaviour?: Partial<Behaviour>;
  /** Pass one log to several servers to check their executions together. */
  readonly executionLog?: ExecutionLog;
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  /** Called with the response to each announcement. */
  readonly onAnnouncementReply?: (reply: AnnouncementReply) => void;
}

/** Request counters of a server, over all its incarnations. */
export interface StandinCounts {
  started: number;
  finished: number;
  cancelled: number;
  refused: number;
  expired: number;
  probes: number;
  crashes: number;
}

/**
 * A stand-in backend server in this process: announces itself to entries,
 * limits concurrency by slots, and serves requests with simulated service
 * times.
 */
export class StandinServer {
  readonly id: string;
  readonly executionLog: ExecutionLog;
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
  #frozenUntil: Promise<void> | undefined;
  #endFreeze: (() => void) | undefined;

  constructor(options: StandinOptions) {
    this.id = options.id;
    this.#options = options;
    this.executionLog = options.executionLog ?? new ExecutionLog();
    this.#clock = options.clock ?? new SystemClock();
    this.#randomness = options.randomness ?? new SystemRandomness();
    this.#behaviour = { ...DEFAULT_BEHAVIOUR, ...options.behaviour };
    this.#port = options.port ?? 0;
    this.#slots = this.#createSlots();
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

  /** Starts a new incarnation; also restarts the server after a crash. */
  async start(): Promise<Address> {
    this.#incarnation = Math.max(this.#clock.wallTime(), this.#incarnation + 1);
    this.#sequence = 0;
    this.#startedAt = this.#clock.now();
    this.#leaving = false;
    this.#slots = this.#createSlots();
    const server = createServer((request, response) => {
      void this.#handleRequest(request, response);
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
    this.#startAnnouncing();
    return this.address;
  }

  /** Changes the given fields of the behaviour. */
  setBehaviour(behaviour: Partial<Behaviour>): void {
    const { unhealthy } = this.#behaviour;
    this.#behaviour = { ...this.#behaviour, ...behaviour };
    if (this.#behaviour.unhealthy === unhealthy) return;
    void this.#announcer?.announceNow();
  }

  /** Stops answering, probes and renewals included, until `unfreeze`. */
  freeze(): void {
    this.#frozenUntil ??= new Promise((resolve) => {
      this.#endFreeze = resolve;
    });
  }

  unfreeze(): void {
    this.#endFreeze?.();
    this.#frozenUntil = undefined;
    void this.#announcer?.announceNow();
  }

  /**
   * Announces that the server leaves; requests in flight run to their end, new
   * ones are rejected. Returns whether an entry confirmed the leave.
   */
  async leave(): Promise<boolean> {
    this.#leaving = true;
    const { service } = this.#options;
    return (await this.#announcer?.leave(this.#incarnation, service)) ?? false;
  }

  /** Stops gracefully: leaves, waits for the requests in flight, and closes. */
  async stop(): Promise<void> {
    await this.leave();
    while (this.#slots.inFlight > 0) await sleep(10);
    await this.#close();
  }

  /** Simulates a crash: resets all connections and announces nothing. */
  async crash(): Promise<void> {
    this.counts.crashes++;
    this.#announcer?.stop();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await this.#close();
  }

  async #close(): Promise<void> {
    this.#announcer?.stop();
    this.unfreeze();
    this.#agent.destroy();
    const server = this.#server;
    this.#server = undefined;
    if (!server) return;
    const closed = new Promise((resolve) => server.close(resolve));
    server.closeIdleConnections();
    for (const socket of this.#sockets) socket.destroySoon();
    await closed;
  }

  #startAnnouncing(): void {
    const { entries, registrations = 1, onAnnouncementReply } = this.#options;
    if (!entries) return;
    this.#announcer = new Announcer({
      id: this.id,
      entries,
      registrations,
      agent: this.#agent,
      nextAnnouncement: () => this.#announcement(),
      paused: () => this.#frozenUntil !== undefined,
      onReply: (reply) => {
        if (reply.body.error === "older_incarnation") {
          // The incarnation is taken from the clock, which was behind the one
          // that an earlier incarnation used.
          this.#incarnation = Number(reply.body.known ?? 0) + 1;
        }
        onAnnouncementReply?.(reply);
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
      in_flight: this.#reportedInFlight(),
      started_ms_ago: Math.round(this.#clock.now() - this.#startedAt),
    };
  }

  #reportedInFlight(): number {
    return this.#behaviour.claimedInFlight ?? this.#slots.inFlight;
  }

  #createSlots(): Slots {
    const { slots = 6, queueLimit = 0 } = this.#options;
    return new Slots({ slots, queueLimit });
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse) {
    const cancel = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) cancel.abort();
    });
    response.on("error", () => undefined);
    await this.#frozenUntil;
    if (request.url === "/.mangobank/load") {
      this.#answerProbe(response);
      return;
    }
    const call = await readRequest(request);
    if (!call || cancel.signal.aborted) return;
    if (call.crash) {
      this.#recordExecution(call);
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
      this.#rejectNotStarted(response, 503);
      return;
    }
    const slots = this.#slots;
    const deadline = AbortSignal.timeout(call.deadlineMs);
    const admission = await slots.acquire(AbortSignal.any([signal, deadline]));
    if (admission === "taken") {
      try {
        await this.#execute(call, { response, signal, deadline });
      } finally {
        slots.release();
      }
      return;
    }
    if (signal.aborted) this.counts.cancelled++;
    else this.#rejectNotStarted(response, admission === "refused" ? 503 : 504);
  }

  async #execute(
    call: StandinRequest,
    context: {
      response: ServerResponse;
      signal: AbortSignal;
      deadline: AbortSignal;
    },
  ): Promise<void> {
    const { response, signal, deadline } = context;
    const { failStatus, resetMidBody } = this.#behaviour;
    this.#recordExecution(call);
    if (failStatus !== undefined) {
      this.#setHead(response, failStatus);
      response.end(JSON.stringify({ error: "standin_failure" }));
      return;
    }
    const ageMs = this.#clock.now() - this.#startedAt;
    const randomness = this.#randomness;
    const durationMs =
      call.serviceMs ?? serviceTimeMs(this.#behaviour, { ageMs, randomness });
    const stopSignal = AbortSignal.any([signal, deadline]);
    await sleep(durationMs, undefined, { signal: stopSignal }).catch(
      () => undefined,
    );
    await this.#frozenUntil;
    if (signal.aborted) {
      this.counts.cancelled++;
      return;
    }
    if (deadline.aborted) {
      this.counts.expired++;
      this.#setHead(response, 504);
      response.end(JSON.stringify({ error: "deadline_expired" }));
      return;
    }
    this.#setHead(response, call.status);
    const server = { server: this.id, incarnation: this.#incarnation };
    await sendBody(response, { call, server, resetMidBody });
    this.counts.finished++;
  }

  #recordExecution(call: StandinRequest): void {
    this.counts.started++;
    const { requestId, key, method, path } = call;
    this.executionLog.record({
      requestId,
      key,
      server: this.id,
      incarnation: this.#incarnation,
      method,
      path,
    });
  }

  #rejectNotStarted(response: ServerResponse, status: 503 | 504): void {
    this.counts.refused++;
    response.setHeader(HEADERS.notStarted, "true");
    response.setHeader(HEADERS.retryAfter, "1");
    this.#setHead(response, status);
    response.end(JSON.stringify({ error: "not_started" }));
  }

  /** Sets the status and the headers that every response carries. */
  #setHead(response: ServerResponse, status: number): void {
    response.statusCode = status;
    response.setHeader("content-type", "application/json");
    response.setHeader(HEADERS.inFlight, String(this.#reportedInFlight()));
    const { rateLimit } = this.#behaviour;
    if (rateLimit !== undefined) {
      response.setHeader(HEADERS.rateLimit, String(rateLimit));
    }
    if (this.#leaving) response.setHeader(HEADERS.serverState, "leaving");
  }

  #answerProbe(response: ServerResponse): void {
    this.counts.probes++;
    const { unhealthy } = this.#behaviour;
    this.#setHead(response, 200);
    response.end(
      JSON.stringify({
        in_flight: this.#reportedInFlight(),
        slots: this.#options.slots ?? 6,
        state: this.#leaving ? "leaving" : unhealthy ? "unhealthy" : "ready",
      }),
    );
  }
}
