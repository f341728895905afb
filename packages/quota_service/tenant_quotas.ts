import type { Clock, Configuration, HostId, Randomness, Tenant } from "#model";
import {
  type AskEffect,
  DEFAULT_QUOTA_BOUNDS,
  type QuotaBounds,
  QuotaClient,
  type QuotaDecision,
  type QuotaMessages,
  QuotaOwner,
  type QuotaTable,
  quotaTable,
  viewsWithVotes,
} from "#quotas";
import {
  LineLimiter,
  type Logger,
  OwnTasks,
  type QuotaMetrics,
} from "#telemetry";
import { afterPendingInput, type Network } from "#wire";

/** How often missing answers are looked for. */
const BUSY_TICK_MS = 10;
/** How often votes are renewed and checked. */
const IDLE_TICK_MS = 100;

export interface TenantQuotasOptions {
  readonly self: HostId;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: Logger;
  readonly metrics: QuotaMetrics;
  readonly network: Network<QuotaMessages>;
  readonly bounds?: QuotaBounds | undefined;
  /** Milliseconds since control's last confirmation of the configuration. */
  readonly confirmationAgeMs: () => number;
}

/**
 * Takes tokens for the requests of this entry, and grants tokens to other entries for
 * the tenants that it owns. Without a tenant that has a quota nothing runs.
 */
export class TenantQuotas {
  readonly #options: TenantQuotasOptions;
  readonly #bounds: QuotaBounds;
  readonly #client: QuotaClient;
  readonly #owner: QuotaOwner;
  readonly #tasks: OwnTasks;
  readonly #lines = new LineLimiter();
  #table: QuotaTable | undefined;
  #tenants: readonly Tenant[] | undefined;
  #timer: NodeJS.Timeout | undefined;
  readonly #startedAt: number;
  readonly #startedAtWall: number;
  #tickAt = Number.POSITIVE_INFINITY;
  /** Whether the owners of all shards had this entry's vote at the last look. */
  #hasVoted = false;
  #flush: NodeJS.Immediate | undefined;
  #isClosed = false;

  constructor(options: TenantQuotasOptions) {
    this.#options = options;
    this.#bounds = options.bounds ?? DEFAULT_QUOTA_BOUNDS;
    this.#tasks = new OwnTasks(options);
    const { incarnation, clock, randomness, network } = options;
    const { confirmationAgeMs } = options;
    this.#startedAt = clock.now();
    this.#startedAtWall = clock.wallTime();
    const bounds = this.#bounds;
    this.#owner = new QuotaOwner({ incarnation, bounds });
    this.#client = new QuotaClient({
      bounds,
      startedAt: this.#startedAt,
      phase: randomness.next(),
      confirmationAgeMs,
    });
    network.handle("quota_ask", (ask, from) => {
      const grant = this.#owner.receive(from, ask, clock.now());
      if (grant) network.send(from.id, "quota_grant", grant);
    });
    network.handle("quota_grant", (grant, from) => {
      this.#client.receive(from.id, grant, clock.now());
      this.#scheduleFlush();
    });
  }

  configure({ document, view, formerViews }: Configuration): void {
    const now = this.#options.clock.now();
    if (!this.#table || this.#tenants !== document.tenants) {
      this.#tenants = document.tenants;
      this.#table = quotaTable(document.tenants, this.#bounds);
      this.#options.metrics.configure(this.#table.limits.keys());
    }
    const table = this.#table;
    const former = viewsWithVotes(formerViews, this.#startedAtWall);
    this.#client.configure(table, { view, formerViews: former }, now);
    const entries = this.#client.entries(now);
    this.#owner.configure(table, { view, entries, now });
    if (!this.#client.isActive) return;
    this.#scheduleFlush();
    this.#scheduleTick(IDLE_TICK_MS);
  }

  /**
   * Takes a token for a request of a tenant; undefined if it has no quota. A promise is
   * only returned if an owner has to be asked.
   */
  take(tenant: string): QuotaDecision | Promise<QuotaDecision> | undefined {
    if (!this.#table?.limits.has(tenant)) return undefined;
    const now = this.#options.clock.now();
    let decide: (decision: QuotaDecision) => void = () => undefined;
    const decision = this.#client.take(tenant, now, (late) => decide(late));
    if (decision) {
      this.#record(tenant, decision);
      return decision;
    }
    this.#scheduleFlush();
    return new Promise((resolve) => {
      decide = (late) => {
        this.#record(tenant, late);
        resolve(late);
      };
    });
  }

  /** Returns the token of a request that did not run. */
  giveBack(tenant: string, usableUntil: number): void {
    this.#client.giveBack(tenant, usableUntil, this.#options.clock.now());
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    clearImmediate(this.#flush);
  }

  #scheduleFlush(): void {
    if (this.#flush || this.#isClosed) return;
    this.#flush = setImmediate(() => {
      this.#flush = undefined;
      this.#tasks.run("quotas", () => this.#send());
    });
  }

  #send(): void {
    const now = this.#options.clock.now();
    for (const effect of this.#client.flush(now)) this.#ask(effect, now);
    if (this.#client.isWaiting) this.#scheduleTick(BUSY_TICK_MS);
  }

  #ask({ to, ask }: AskEffect, now: number): void {
    const { self, incarnation, network } = this.#options;
    if (to !== self) {
      if (network.send(to, "quota_ask", ask)) return;
      this.#client.unreachable(to, now);
      this.#scheduleFlush();
      return;
    }
    const grant = this.#owner.receive({ id: self, incarnation }, ask, now);
    if (!grant) return;
    this.#client.receive(self, grant, now);
    this.#scheduleFlush();
  }

  #scheduleTick(ms: number): void {
    const at = this.#options.clock.now() + ms;
    if (this.#isClosed || this.#tickAt <= at) return;
    this.#tickAt = at;
    clearTimeout(this.#timer);
    // Answers that wait to be read are not missing.
    this.#timer = setTimeout(
      () => afterPendingInput(() => this.#runTick()),
      ms,
    );
  }

  #runTick(): void {
    if (this.#isClosed) return;
    this.#tickAt = Number.POSITIVE_INFINITY;
    this.#tasks.run("quotas", () => this.#tick());
    if (!this.#client.isActive) return;
    const { isWaiting } = this.#client;
    this.#scheduleTick(isWaiting ? BUSY_TICK_MS : IDLE_TICK_MS);
  }

  #tick(): void {
    const now = this.#options.clock.now();
    this.#owner.tick({ entries: this.#client.entries(now), now });
    this.#client.tick(now);
    this.#send();
    this.#logVotes(now);
  }

  /** Logs when all owners of quotas have this entry's vote, or no longer have. */
  #logVotes(now: number): void {
    const { shards, voted } = this.#client.votes(now);
    const hasVoted = voted === shards;
    if (hasVoted === this.#hasVoted) return;
    this.#hasVoted = hasVoted;
    this.#options.logger.info("votes for owners of quotas changed", {
      shards,
      voted,
      entries: this.#client.entries(now),
      sinceStartMs: Math.round(now - this.#startedAt),
      confirmedMsAgo: Math.round(this.#options.confirmationAgeMs()),
    });
  }

  #record(tenant: string, decision: QuotaDecision): void {
    const { metrics, logger, clock } = this.#options;
    if (decision.type === "admitted") {
      metrics.record(tenant, "admitted");
      return;
    }
    const isOver = decision.type === "refused";
    metrics.record(tenant, isOver ? "over_quota" : "no_owner");
    const key = `${decision.type} ${tenant}`;
    const omitted = this.#lines.admit(key, clock.now());
    if (omitted === undefined) return;
    logger.info("request refused by a quota", {
      tenant,
      reason: isOver ? "over_quota" : "no_owner",
      retryAfterMs: decision.retryAfterMs,
      tokens: 0,
      ...decision.basis,
      ...(omitted > 0 && { omitted }),
    });
  }
}
