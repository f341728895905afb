import type {
  BackendServer,
  BackendServerId,
  DataCentre,
  Randomness,
  Service,
} from "#model";
import type {
  BackOff,
  CallResult,
  CheckResult,
  ProbeResult,
  RateLimitChange,
} from "./effects.ts";
import { chooseLocally } from "./local_choice.ts";
import type { RateLimitChanges, ServerRateLimit } from "./messages.ts";
import type { OpenCall } from "./open_call.ts";
import { type Observation, OutlierDetector } from "./outlier_detector.ts";
import { SampleSet } from "./sample_set.ts";
import type { HealthChange } from "./server_health.ts";
import { ServerState } from "./server_state.ts";
import { WarmUp } from "./warm_up.ts";

/**
 * Share by which a time to back off is lengthened at most, so that not all
 * entries return at once, and the most in milliseconds.
 */
const JITTER_SHARE = 0.1;
const MAX_JITTER_MS = 500;
const MAX_QUEUE_RATIO = 2;
/** Pause of a server after it shed a call. */
const SHED_PAUSE_MS = 50;

type RunningCall = Pick<OpenCall, "class" | "assignedAt">;

/**
 * The servers of one service as one entry knows them from its own calls, for
 * the time without a dispatcher.
 */
export class LocalServers {
  readonly #warmUp: WarmUp;
  readonly #dataCentre: DataCentre;
  readonly #random: Randomness;
  readonly #servers = new Map<BackendServerId, ServerState>();
  readonly #outliers: OutlierDetector;
  /** Ready servers on which this entry runs fewer calls than their limit. */
  readonly #free = new SampleSet<ServerState>();
  /** Those of them that are slow. */
  readonly #freeSlow = new Set<ServerState>();
  #ready = 0;
  #readySlots = 0;
  #rateLimited = 0;
  #cold = 0;
  #limitsCold: boolean;
  #rateLimitChanges: RateLimitChange[] = [];
  #backOffs: BackOff[] = [];
  readonly #backingOff = new Set<ServerState>();
  /**
   * Removed servers whose time to back off goes on. It binds their incarnation,
   * which may renew an expired lease.
   */
  readonly #removedBackingOff = new Map<BackendServerId, ServerState>();

  constructor(
    service: Service,
    options: { dataCentre: DataCentre; random: Randomness },
  ) {
    this.#dataCentre = options.dataCentre;
    this.#random = options.random;
    this.#outliers = new OutlierDetector(service);
    this.#warmUp = new WarmUp(service);
    this.#limitsCold = service.coldRequestsPerS !== undefined;
  }

  /** Whether any server accepts calls, now or after a pause. */
  get anyReady(): boolean {
    return this.#ready > 0;
  }

  get anyFree(): boolean {
    return this.#free.size > 0;
  }

  /** Mean service time of all classes, in milliseconds. */
  get meanMs(): number {
    return this.#outliers.meanMs;
  }

  /** Slots of the servers that accept calls, limit no rate and are not cold. */
  get readySlots(): number {
    return this.#readySlots;
  }

  configure(service: Service): void {
    this.#outliers.configure(service);
    this.#warmUp.configure(service);
    this.#limitsCold = service.coldRequestsPerS !== undefined;
    for (const server of this.#servers.values()) {
      server.limitsCold = this.#limitsCold;
    }
  }

  get(id: BackendServerId): ServerState | undefined {
    return this.#servers.get(id);
  }

  servers(): IterableIterator<ServerState> {
    return this.#servers.values();
  }

  setServers(records: readonly BackendServer[], now: number): void {
    const present = new Set(records.map((record) => record.id));
    for (const [id, server] of this.#servers) {
      if (present.has(id)) continue;
      this.#servers.delete(id);
      this.#outliers.remove(server.health);
      server.removed = true;
      this.#free.delete(server);
      this.#freeSlow.delete(server);
      if (this.#backingOff.delete(server)) this.#rememberBackOff(server, now);
    }
    this.#forgetPastBackOffs(now);
    for (const record of records) this.#update(record, now);
    this.tick(now);
  }

  /** Chooses a server for a call; patient ones also try slow servers again. */
  choose(
    { exclude, priority }: Pick<OpenCall, "exclude" | "priority">,
    now: number,
  ): ServerState | undefined {
    const slow =
      priority === "patient" ? this.#slowServerToTry(exclude, now) : undefined;
    if (slow) {
      this.#outliers.startTrial(slow.health, now);
      return slow;
    }
    const dataCentre = this.#dataCentre;
    const random = this.#random;
    const excludesAll = exclude.size >= this.#servers.size;
    const options = {
      exclude: excludesAll ? NO_SERVERS : exclude,
      dataCentre,
      random,
      now,
    };
    return chooseLocally(this.#free, options);
  }

  recordStart(server: ServerState, now: number): void {
    server.inFlight += 1;
    this.#refresh(server, now);
  }

  recordResult(
    server: ServerState,
    result: CallResult & { class: string },
    now: number,
  ): void {
    const { kind, serviceMs } = result;
    const queueRatio = queueRatioOf(server, now);
    server.inFlight -= 1;
    server.lastHeard = now;
    if (kind === "answered") server.recordServiceTime(serviceMs);
    if (kind === "not_started") server.pausedUntil = now + SHED_PAUSE_MS;
    if (result.inFlight !== undefined)
      server.recordInFlight(result.inFlight, now);
    server.recordSlowdown(result.slowdown, now);
    this.#recordStatement(server, result, now);
    if (result.leaving) server.leaving = true;
    const observation = { kind, serviceMs, class: result.class, queueRatio };
    // A server that names a time to wait is not failing.
    if (result.backOffMs === undefined) {
      this.#outliers.observe(server.health, observation, now);
    }
    this.#refresh(server, now);
  }

  /** Frees the slot of a call that declined the server after a check. */
  releaseUnused(server: ServerState, result: CheckResult, now: number): void {
    server.inFlight -= 1;
    this.recordCheck(server, result, now);
  }

  /** Records the result of a check. */
  recordCheck(server: ServerState, result: CheckResult, now: number): void {
    this.#recordStatement(server, result, now);
    if (result.kind === "answered") {
      server.lastHeard = now;
      server.recordSlowdown(result.slowdown, now);
      if (result.inFlight !== undefined)
        server.recordInFlight(result.inFlight, now);
      if (result.leaving) server.leaving = true;
    } else if (result.kind === "shed") {
      server.pausedUntil = now + SHED_PAUSE_MS;
    } else if (result.kind === "failed") {
      const observation = {
        kind: "lost",
        serviceMs: 0,
        class: "",
        queueRatio: 0,
      };
      this.#outliers.observe(server.health, observation as Observation, now);
    }
    this.#refresh(server, now);
  }

  /** Records the result of a probe. */
  recordProbe(id: BackendServerId, result: ProbeResult, now: number): void {
    const server = this.#servers.get(id);
    if (!server) return;
    server.lastHeard = now;
    this.#recordStatement(server, result, now);
    if (result.kind === "answered") {
      server.recordInFlight(result.inFlight, now);
      if (result.leaving) server.leaving = true;
    } else if (result.kind === "failed") {
      const observation = {
        kind: "lost",
        serviceMs: 0,
        class: "",
        queueRatio: 0,
      };
      this.#outliers.observe(server.health, observation as Observation, now);
    }
    this.#refresh(server, now);
  }

  /** Removes and returns the changes of rate limits since the last call. */
  takeRateLimitChanges(): RateLimitChange[] {
    if (this.#rateLimitChanges.length === 0) return [];
    const changes = this.#rateLimitChanges;
    this.#rateLimitChanges = [];
    return changes;
  }

  /** Removes and returns the changes of servers' health since the last call. */
  takeHealthChanges(): readonly HealthChange[] {
    return this.#outliers.takeChanges();
  }

  /** Removes and returns the times to back off since the last call. */
  takeBackOffs(): BackOff[] {
    if (this.#backOffs.length === 0) return [];
    const backOffs = this.#backOffs;
    this.#backOffs = [];
    return backOffs;
  }

  /** Servers that want no requests of this entry at present. */
  get backingOffCount(): number {
    return this.#backingOff.size;
  }

  /**
   * Milliseconds until a first server wants requests, if none does now; 0 else.
   */
  backOffWaitMs(now: number): number {
    let least = Number.POSITIVE_INFINITY;
    let ready = 0;
    for (const server of this.#backingOff) {
      const ms = server.backOffMs(now);
      if (ms === 0) this.#backingOff.delete(server);
      if (ms === 0 || !server.ready) continue;
      ready += 1;
      least = Math.min(least, ms);
    }
    return ready > 0 && ready >= this.#ready ? least : 0;
  }

  /** Whether each server that accepts calls limits its request rate or is cold. */
  get allPaced(): boolean {
    return this.#ready > 0 && this.#readySlots === 0;
  }

  /** Number of cold servers, if the service limits the requests to them. */
  get coldCount(): number {
    return this.#cold;
  }

  /** Number of servers that limit their request rate. */
  get rateLimitedCount(): number {
    return this.#rateLimited;
  }

  /** The rate limits that this entry knows of. */
  rateLimits(now: number): ServerRateLimit[] {
    const limits: ServerRateLimit[] = [];
    for (const server of this.#servers.values()) {
      const limit = rateLimitOf(server, now);
      if (limit) limits.push(limit);
    }
    return limits;
  }

  /** Those of them that the dispatcher has not told this entry. */
  unsharedRateLimits(now: number): ServerRateLimit[] {
    if (this.#rateLimited === 0) return [];
    const limits: ServerRateLimit[] = [];
    for (const server of this.#servers.values()) {
      const limit = server.isRateLimitShared
        ? undefined
        : rateLimitOf(server, now);
      if (limit) limits.push(limit);
    }
    return limits;
  }

  /** Applies changes of rate limits that the dispatcher knows of. */
  applyRateLimits(changes: RateLimitChanges, now: number): void {
    const { isComplete, limited, unlimited } = changes;
    const listed = new Set(limited.map(({ server }) => server));
    for (const limit of limited) {
      const server = this.#servers.get(limit.server);
      if (server?.record.incarnation !== limit.incarnation) continue;
      server.isRateLimitShared = true;
      this.#updateRateLimit(server, now, () =>
        server.rateLimit.recordNotice(limit, now),
      );
    }
    const ended = isComplete ? [...this.#servers.keys()] : unlimited;
    for (const id of ended) {
      const server = this.#servers.get(id);
      if (!server?.isRateLimited || listed.has(id)) continue;
      this.#updateRateLimit(server, now, () => server.rateLimit.end(now));
    }
  }

  /** Finds servers that are slow by the calls that still run there. */
  evaluateRunning(
    running: ReadonlyMap<ServerState, readonly RunningCall[]>,
    now: number,
  ): void {
    for (const [server, calls] of running) {
      const queueRatio = queueRatioOf(server, now);
      const observed = calls.map((call) => ({
        class: call.class,
        serviceMs: now - call.assignedAt,
        queueRatio,
      }));
      if (!this.#outliers.evaluateRunning(server.health, observed, now)) {
        continue;
      }
      this.#refresh(server, now);
    }
  }

  /** Reevaluates ejections, pauses and cold starts. */
  tick(now: number): void {
    this.#outliers.tick(now);
    this.#ready = 0;
    this.#readySlots = 0;
    this.#rateLimited = 0;
    this.#cold = 0;
    this.#warmUp.update(this.#servers.values(), now);
    for (const server of this.#servers.values()) {
      this.#refresh(server, now);
      if (server.isRateLimited) this.#rateLimited += 1;
      if (server.isCold(now)) this.#cold += 1;
      if (!server.ready) continue;
      this.#ready += 1;
      if (!server.isPaced(now)) this.#readySlots += server.record.slots;
    }
  }

  #slowServerToTry(
    exclude: ReadonlySet<BackendServerId>,
    now: number,
  ): ServerState | undefined {
    for (const server of this.#freeSlow) {
      if (exclude.has(server.record.id)) continue;
      if (this.#outliers.isTrialDue(server.health, now)) return server;
    }
    return undefined;
  }

  #update(record: BackendServer, now: number): void {
    const known = this.#servers.get(record.id);
    if (known) {
      if (known.record.incarnation !== record.incarnation) {
        this.#outliers.remove(known.health);
        known.health = this.#outliers.add(record.id, record.slots);
      }
      known.updateRecord(record, now);
      return;
    }
    const health = this.#outliers.add(record.id, record.slots);
    const server = new ServerState(record, health, now);
    server.limitsCold = this.#limitsCold;
    this.#servers.set(record.id, server);
    this.#restoreBackOff(server);
  }

  #rememberBackOff(server: ServerState, now: number): void {
    if (server.backOffMs(now) === 0) return;
    this.#removedBackingOff.set(server.record.id, server);
  }

  #forgetPastBackOffs(now: number): void {
    for (const [id, server] of this.#removedBackingOff) {
      if (server.backOffMs(now) === 0) this.#removedBackingOff.delete(id);
    }
  }

  #restoreBackOff(server: ServerState): void {
    const { id, incarnation } = server.record;
    const removed = this.#removedBackingOff.get(id);
    this.#removedBackingOff.delete(id);
    if (removed?.record.incarnation !== incarnation) return;
    server.backOffUntil = removed.backOffUntil;
    this.#backingOff.add(server);
  }

  /** Records what a server says about the requests that it wants. */
  #recordStatement(
    server: ServerState,
    result: CallResult | CheckResult | ProbeResult,
    now: number,
  ): void {
    const { rateLimit, backOffMs, warmUpMs } = result;
    if (warmUpMs !== undefined) server.cold.recordAnswer(warmUpMs, now);
    if (backOffMs !== undefined) this.#recordBackOff(server, backOffMs, now);
    const complete = result.kind === "answered";
    this.#updateRateLimit(server, now, () =>
      server.rateLimit.recordAnswer({ rateLimit, complete }, now),
    );
  }

  #recordBackOff(server: ServerState, backOffMs: number, now: number): void {
    const jitter = Math.min(MAX_JITTER_MS, backOffMs * JITTER_SHARE);
    const ms = backOffMs + this.#random.next() * jitter;
    server.backOffUntil = Math.max(server.backOffUntil, now + ms);
    if (server.removed) this.#rememberBackOff(server, now);
    else this.#backingOff.add(server);
    this.#backOffs.push({ server: server.record, ms: Math.round(ms) });
  }

  #updateRateLimit(
    server: ServerState,
    now: number,
    update: () => boolean,
  ): void {
    const previous = server.rateLimit.perSecond;
    if (!update()) return;
    const { perSecond } = server.rateLimit;
    this.#rateLimitChanges.push({ server: server.record, perSecond, previous });
    if (previous === undefined) this.#rateLimited += 1;
    if (perSecond === undefined) {
      this.#rateLimited -= 1;
      server.isRateLimitShared = false;
    }
    this.#refresh(server, now);
  }

  #refresh(server: ServerState, now: number): void {
    server.limit = this.#limit(server, now);
    const free = server.inFlight < server.limit;
    if (free && server.ready && !server.removed) this.#free.add(server);
    else this.#free.delete(server);
    const isSlow = server.health.status === "slow";
    if (isSlow && server.sampleIndex >= 0) this.#freeSlow.add(server);
    else this.#freeSlow.delete(server);
  }

  #limit(server: ServerState, now: number): number {
    const { health } = server;
    if (now < server.pausedUntil || !server.accepts(now)) return 0;
    if (health.status === "ejected") return 0;
    if (health.status === "trial" || health.status === "slow") return 1;
    const warmLimit = this.#warmUp.slots(server, now) * health.usableShare(now);
    return Math.max(1, Math.floor(warmLimit));
  }
}

/** Calls that must finish on a server first, as a share of its slots. */
function queueRatioOf(server: ServerState, now: number): number {
  const { slots } = server.record;
  const inFlight = server.inFlight + server.othersInFlight(now);
  return Math.min(MAX_QUEUE_RATIO, Math.max(0, inFlight - slots) / slots);
}

/** The rate limit of a server, to be told to the dispatcher. */
export function rateLimitOf(
  server: ServerState,
  now: number,
): ServerRateLimit | undefined {
  const notice = server.rateLimit.notice(now);
  const { id, incarnation } = server.record;
  return notice && { server: id, incarnation, ...notice };
}

const NO_SERVERS: ReadonlySet<BackendServerId> = new Set();
