import {
  type BackendServer,
  type Priority,
  SeededRandomness,
  type Service,
} from "#model";
import {
  dataCentreOf,
  makeServer,
  NORMAL_CHECK,
  TestCluster,
} from "./test_cluster.ts";

/** Time from the first answer with a limit in which it need not hold yet. */
const LEARNING_MS = 3_000;
/** Time after which an entry that got an answer with the limit must keep it. */
const TOLD_AFTER_MS = 500;
const WINDOW_MS = 4_000;
/** The most requests in a window: this factor times the limit, and the extra. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
const CALL_DEADLINE_MS = 2_500;
const PROBE_MS = 6;
const CALL_OBJECTIVE_MS = 800;

export interface StatementRunOptions {
  readonly seed: number;
  readonly entries: number;
  readonly servers: number;
  readonly callsPerS: number;
  readonly serviceMs: number;
  /** Data centres over which entries and servers are spread; one if absent. */
  readonly dataCentres?: readonly string[];
  readonly slots?: number;
  readonly service?: Partial<Service>;
}

/** Like a small deployment: 68 calls a second of 300 ms on 72 slots. */
export const SMALL_SITE: StatementRunOptions = {
  seed: 1,
  entries: 17,
  servers: 12,
  callsPerS: 68,
  serviceMs: 300,
};

interface Refusal {
  readonly at: number;
  readonly code: string;
  readonly waitedMs: number;
  readonly retryAfterMs: number;
}

interface SentRequest {
  readonly entry: string;
  readonly server: string;
  readonly at: number;
}

/**
 * Plays calls of several entries to servers that name rate limits or ask to back
 * off, and counts the requests of each server: calls, checks and probes.
 */
export class StatementRun {
  readonly cluster: TestCluster;
  readonly servers: readonly BackendServer[];
  readonly requests: SentRequest[] = [];
  /** Calls that were refused. */
  readonly refusals: Refusal[] = [];
  /** Number of calls that were answered. */
  answeredCount = 0;
  readonly priorities = new Map<string, Priority>();
  readonly #options: StatementRunOptions;
  readonly #random: SeededRandomness;
  /** Named limits by server, in requests a second. */
  readonly #limits = new Map<string, number>();
  readonly #limitedSince = new Map<string, number>();
  /** When each entry got its first answer with the limit, by server. */
  readonly #told = new Map<string, Map<string, number>>();
  readonly #backOffs = new Map<string, number>();
  readonly #backOffTimes: {
    entry: string;
    server: string;
    from: number;
    until: number;
  }[] = [];
  readonly #finishAt = new Map<string, number>();
  readonly #undecided = new Map<string, number>();
  #seen = { assignments: 0, checks: 0, probes: 0 };
  #nextCallAt = 0;
  #endedExcess = 0;
  /** Calls a second; may be changed while the run goes on. */
  callsPerS: number;

  constructor(options: StatementRunOptions) {
    this.#options = options;
    this.callsPerS = options.callsPerS;
    this.#random = new SeededRandomness(options.seed);
    const ids = Array.from({ length: options.servers }, (_, i) => `s${i}`);
    const { slots = 6, dataCentres = ["riga-a"], service = {} } = options;
    this.servers = ids.map((id) =>
      makeServer(id, { slots, dataCentre: dataCentreOf(id, dataCentres) }),
    );
    this.cluster = new TestCluster({
      entries: options.entries,
      servers: this.servers,
      dataCentres,
      service,
      serversReportSpeed: true,
    });
  }

  /** Calls to this server are refused with a time to back off, or no longer. */
  setBackOff(server: string, backOffMs: number | undefined): void {
    if (backOffMs === undefined) this.#backOffs.delete(server);
    else this.#backOffs.set(server, backOffMs);
  }

  /** A new incarnation of a server says nothing of what the former one said. */
  restart(server: string): void {
    this.setLimit(server, undefined);
    this.setBackOff(server, undefined);
    const { now } = this.cluster;
    for (const time of this.#backOffTimes) {
      if (time.server === server) time.until = Math.min(time.until, now);
    }
  }

  /**
   * Requests that an entry sent to a server between half a second after it was
   * told to back off and the end of that time; the most of all such times.
   */
  requestsDuringBackOff(server: string): number {
    const sent = this.requests.filter((r) => r.server === server);
    const counts = this.#backOffTimes
      .filter((time) => time.server === server)
      .map(
        ({ entry, from, until }) =>
          sent.filter(
            (r) =>
              r.entry === entry && r.at >= from + TOLD_AFTER_MS && r.at < until,
          ).length,
      );
    return Math.max(0, ...counts);
  }

  /** From now on, the server names this limit in its answers, or none. */
  setLimit(server: string, perSecond: number | undefined): void {
    this.#endedExcess = Math.max(this.#endedExcess, this.excess(server));
    this.#told.delete(server);
    if (perSecond === undefined) {
      this.#limits.delete(server);
      this.cluster.checkResults.delete(server);
      return;
    }
    this.#limits.set(server, perSecond);
    this.#limitedSince.set(server, this.cluster.now);
    const answer = { ...NORMAL_CHECK, rateLimit: perSecond };
    this.cluster.checkResults.set(server, answer);
  }

  run(ms: number): void {
    for (let step = 0; step < ms; step++) {
      this.#submitCalls();
      this.cluster.advance(1);
      this.#collectRequests();
      this.#collectRefusals();
      this.#finishCalls();
    }
  }

  /** Requests to a server since a moment. */
  requestsSince(server: string, since: number): number {
    return this.requests.filter((r) => r.server === server && r.at >= since)
      .length;
  }

  /**
   * By how many requests the worst window exceeds what the limit allows,
   * counting only entries that got an answer with it; 0 if none does.
   */
  excess(server: string): number {
    const perSecond = this.#limits.get(server);
    const since = this.#limitedSince.get(server);
    if (perSecond === undefined || since === undefined) return 0;
    const perWindow = (perSecond * WINDOW_MS) / 1_000;
    const allowed = ALLOWED_FACTOR * perWindow + ALLOWED_EXTRA;
    const times = this.requests
      .filter((request) => request.server === server)
      .filter((request) => request.at >= since + LEARNING_MS)
      .filter((request) => this.#knew(request))
      .map((request) => request.at);
    let first = 0;
    let worst = 0;
    for (const [last, at] of times.entries()) {
      while (at - (times[first] ?? at) >= WINDOW_MS) first += 1;
      worst = Math.max(worst, last - first + 1);
    }
    return Math.max(0, worst - allowed);
  }

  /** The worst excess of all servers and of all limits so far. */
  worstExcess(): number {
    const present = [...this.#limits.keys()].map((id) => this.excess(id));
    return Math.max(this.#endedExcess, ...present);
  }

  #knew({ entry, server, at }: SentRequest): boolean {
    const toldAt = this.#told.get(server)?.get(entry);
    return toldAt !== undefined && at >= toldAt + TOLD_AFTER_MS;
  }

  #submitCalls(): void {
    const { now } = this.cluster;
    while (this.#nextCallAt <= now) {
      const meanGapMs = 1_000 / this.callsPerS;
      this.#nextCallAt += -Math.log(1 - this.#random.next()) * meanGapMs;
      const entries = [...this.cluster.routers.keys()].filter(
        (id) => !this.cluster.frozenEntries.has(id),
      );
      const entry = entries[this.#random.below(entries.length)];
      if (entry === undefined) return;
      const priority = this.#random.next() < 0.3 ? "urgent" : "patient";
      const call = this.cluster.submit(entry, {
        deadline: now + CALL_DEADLINE_MS,
        target: now + CALL_OBJECTIVE_MS,
        priority,
      });
      this.priorities.set(call, priority);
      this.#undecided.set(call, now);
    }
  }

  #collectRequests(): void {
    const { assignments, checks, probes } = this.cluster;
    for (const sent of assignments.slice(this.#seen.assignments)) {
      this.requests.push(sent);
      const { serviceMs } = this.#options;
      const duration = serviceMs * (0.7 + 0.6 * this.#random.next());
      const refused = this.#backOffs.has(sent.server);
      this.#finishAt.set(sent.callId, sent.at + (refused ? 1 : duration));
    }
    for (const sent of checks.slice(this.#seen.checks)) {
      this.requests.push(sent);
      this.#tell(sent.entry, sent.server);
    }
    for (const sent of probes.slice(this.#seen.probes)) {
      this.requests.push(sent);
      this.#answerProbe(sent);
    }
    this.#seen = {
      assignments: assignments.length,
      checks: checks.length,
      probes: probes.length,
    };
  }

  #answerProbe({ entry, server }: SentRequest): void {
    const { cluster } = this;
    const rateLimit = this.#limits.get(server);
    const answer = { inFlight: 0, ms: PROBE_MS, rateLimit };
    const result = { kind: "answered", ...answer } as const;
    const of = { service: cluster.service.name, id: server };
    const router = cluster.router(entry);
    cluster.apply(entry, router.handleProbeResult(of, result, cluster.now));
    this.#tell(entry, server);
  }

  #collectRefusals(): void {
    const { now } = this.cluster;
    for (const [call, submittedAt] of this.#undecided) {
      const [decision] = this.cluster.decisions.get(call) ?? [];
      if (!decision) continue;
      this.#undecided.delete(call);
      if (decision.type !== "reject") continue;
      const { code, retryAfterMs = 0 } = decision.fault;
      const waitedMs = now - submittedAt;
      this.refusals.push({ at: now, code, waitedMs, retryAfterMs });
    }
  }

  #finishCalls(): void {
    const { cluster } = this;
    for (const [call, at] of this.#finishAt) {
      const run = cluster.running.get(call);
      if (!run) this.#finishAt.delete(call);
      if (!run || at > cluster.now) continue;
      this.#finishAt.delete(call);
      const backOffMs = this.#backOffs.get(run.server);
      if (backOffMs !== undefined) {
        const { now } = cluster;
        this.#backOffTimes.push({ ...run, from: now, until: now + backOffMs });
        cluster.finish(call, { kind: "not_started", backOffMs });
        continue;
      }
      const rateLimit = this.#limits.get(run.server);
      if (rateLimit !== undefined) this.#tell(run.entry, run.server);
      const { serviceMs } = this.#options;
      cluster.finish(call, { serviceMs, slowdown: 1, rateLimit });
      this.answeredCount += 1;
    }
  }

  #tell(entry: string, server: string): void {
    if (!this.#limits.has(server)) return;
    let told = this.#told.get(server);
    if (!told) {
      told = new Map();
      this.#told.set(server, told);
    }
    if (!told.has(entry)) told.set(entry, this.cluster.now);
  }
}
