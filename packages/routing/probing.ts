import type { BackendServerId, HostId, Service, View } from "#model";
import type { LocalServers } from "./local_servers.ts";
import type { ServerState } from "./server_state.ts";

/**
 * Slot time of a probe that is assumed before any was measured, and the least
 * one that is charged.
 */
const INITIAL_PROBE_MS = 6;
const COST_WEIGHT = 0.1;
/** Time without results from a server after which it is probed. */
const PROBE_AFTER_MS = 2_000;
/** Time after which an unanswered probe no longer counts as running. */
const PROBE_TIMEOUT_MS = 5_000;
/** Time within which a new view has reached all entries, with a margin. */
const VIEW_SPREAD_MS = 5_000;

/**
 * An entry's share of the probe budget. The shares of all entries add up to at
 * most one, even while entries know different views: an entry uses the largest
 * view of the last seconds, and a new entry waits until all others have counted
 * it in.
 */
export class ProbeShare {
  readonly #self: HostId;
  #views: { size: number; until: number }[] = [];
  #startAt = Number.POSITIVE_INFINITY;
  #incarnation: number | undefined;

  constructor(self: HostId) {
    this.#self = self;
  }

  configure(view: View, now: number): void {
    const own = view.entries.find((entry) => entry.id === this.#self);
    if (own?.incarnation !== this.#incarnation) {
      this.#incarnation = own?.incarnation;
      this.#startAt = own ? now + VIEW_SPREAD_MS : Number.POSITIVE_INFINITY;
    }
    const last = this.#views.at(-1);
    if (last) last.until = now + VIEW_SPREAD_MS;
    const until = Number.POSITIVE_INFINITY;
    this.#views.push({ size: view.entries.length, until });
  }

  /** The present share, from 0 to 1. */
  share(now: number): number {
    this.#views = this.#views.filter((view) => view.until > now);
    if (now < this.#startAt) return 0;
    const sizes = this.#views.map((view) => view.size);
    return 1 / Math.max(1, ...sizes);
  }
}

/**
 * Selects servers of one service without recent results to probe, within the
 * entry's share of the budget.
 */
export class Prober {
  #tokens = 0;
  #filledAt: number;
  #costMs = INITIAL_PROBE_MS;
  readonly #running = new Map<BackendServerId, number>();

  constructor(now: number) {
    this.#filledAt = now;
  }

  /** Selects the servers to probe now. */
  pick(
    servers: Iterable<{
      readonly record: { readonly id: BackendServerId; readonly slots: number };
      readonly lastHeard: number;
    }>,
    options: { service: Service; share: number; now: number },
  ): BackendServerId[] {
    const { service, share, now } = options;
    let slots = 0;
    const quiet: { id: BackendServerId; lastHeard: number }[] = [];
    for (const { record, lastHeard } of servers) {
      slots += record.slots;
      const recent = now - lastHeard < PROBE_AFTER_MS;
      if (!recent && !this.#isRunning(record.id, now)) {
        quiet.push({ id: record.id, lastHeard });
      }
    }
    const budget = (slots * service.measuringBudgetPercent) / 100;
    this.#refill((budget * share) / this.#costMs, now);
    quiet.sort((a, b) => a.lastHeard - b.lastHeard);
    const picked = quiet.slice(0, Math.floor(this.#tokens));
    this.#tokens -= picked.length;
    for (const { id } of picked) this.#running.set(id, now);
    return picked.map(({ id }) => id);
  }

  /** Records an answered probe and the time that it took. */
  answered(id: BackendServerId, ms: number): void {
    this.#running.delete(id);
    this.#costMs += COST_WEIGHT * (ms - this.#costMs);
    this.#costMs = Math.max(INITIAL_PROBE_MS, this.#costMs);
  }

  failed(id: BackendServerId): void {
    this.#running.delete(id);
  }

  /** Adds tokens at a rate per millisecond, up to one probe. */
  #refill(rate: number, now: number): void {
    this.#tokens = Math.min(1, this.#tokens + rate * (now - this.#filledAt));
    this.#filledAt = now;
  }

  #isRunning(id: BackendServerId, now: number): boolean {
    const since = this.#running.get(id);
    return since !== undefined && now - since < PROBE_TIMEOUT_MS;
  }
}

type ProbeCandidate = Pick<ServerState, "record" | "lastHeard"> & {
  readonly isPaced: boolean | ((now: number) => boolean);
};

/**
 * The servers that may be probed: a probe is a request, which a server with a
 * rate limit or a cold one counts and one that backs off does not want.
 */
export function* probeCandidates(
  servers: Iterable<ProbeCandidate>,
  { local, now }: { local: LocalServers; now: number },
): Iterable<ProbeCandidate> {
  for (const server of servers) {
    const known = local.get(server.record.id);
    if (known?.isPaced(now) || (known?.backOffMs(now) ?? 0) > 0) continue;
    const { isPaced } = server;
    if (isPaced !== true) yield server;
  }
}
