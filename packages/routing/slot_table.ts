import { Heap } from "#admission";
import {
  type BackendServer,
  type BackendServerId,
  type DataCentre,
  hasSameAddress,
  type Service,
} from "#model";
import type { ConcurrencyEstimator } from "./concurrency_estimator.ts";
import { explorationLimit } from "./limit_exploration.ts";
import { isLongRunning } from "./long_running.ts";
import type { OutlierDetector } from "./outlier_detector.ts";
import { ServerSlots } from "./server_slots.ts";
import { WarmUp } from "./warm_up.ts";

/**
 * Extra relative load up to which a server in the same data centre is
 * preferred.
 */
const NEAR_MARGIN = 0.5;
/**
 * The same for long-running calls, whose traffic between data centres costs
 * more.
 */
const NEAR_MARGIN_LONG_RUNNING = 1;
/**
 * Time without an answer after which a server that limits its rate goes first:
 * it is not probed, and only its answers can end the limit.
 */
const QUIET_MS = 2_000;
/** The slots of a service's servers, ordered by load for the next grant. */
export class SlotTable {
  readonly #warmUp: WarmUp;
  readonly #outliers: OutlierDetector;
  readonly #concurrency: ConcurrencyEstimator;
  readonly #servers = new Map<BackendServerId, ServerSlots>();
  readonly #heaps = new Map<DataCentre, Heap<ServerSlots>>();
  readonly #slowServers = new Set<ServerSlots>();
  /** Usable servers that limit their rate. */
  readonly #pacedServers = new Set<ServerSlots>();
  #free = 0;
  #limit = 0;
  #coldRequestsPerS: number | undefined;
  #coldShare = 1;

  constructor(
    service: Service,
    outliers: OutlierDetector,
    concurrency: ConcurrencyEstimator,
  ) {
    this.#concurrency = concurrency;
    this.#warmUp = new WarmUp(service);
    this.#coldRequestsPerS = service.coldRequestsPerS;
    this.#outliers = outliers;
  }

  /** Free slots of the servers that are not slow. */
  get free(): number {
    return this.#free;
  }

  /** Usable slots of the servers that are not slow. */
  get limit(): number {
    return this.#limit;
  }

  get size(): number {
    return this.#servers.size;
  }

  /** Number of usable servers that limit their rate. */
  get pacedCount(): number {
    return this.#pacedServers.size;
  }

  configure(service: Service): void {
    this.#warmUp.configure(service);
    this.#coldRequestsPerS = service.coldRequestsPerS;
  }

  /** Sets the share of a cold server's rate that may be granted here. */
  setColdShare(share: number): void {
    this.#coldShare = share;
  }

  /** Applies a change of what is known of the server's rate limit or warm-up. */
  updatePacer(server: ServerSlots, now: number): void {
    const rate = this.#coldRequestsPerS;
    server.updatePacer(rate && rate * this.#coldShare, now);
  }

  get(id: BackendServerId): ServerSlots | undefined {
    return this.#servers.get(id);
  }

  servers(): IterableIterator<ServerSlots> {
    return this.#servers.values();
  }

  setServers(records: readonly BackendServer[], now: number): void {
    const present = new Set(records.map((record) => record.id));
    for (const [id, server] of this.#servers) {
      if (!present.has(id)) this.#remove(server);
    }
    for (const record of records) {
      const known = this.#servers.get(record.id);
      if (known && known.record.incarnation === record.incarnation) {
        // What answered at another address says nothing of this one.
        if (!hasSameAddress(known.record, record)) known.leaving = false;
        known.record = record;
        known.cold.recordAnnouncement(record.warmUpRemainingMs, now);
        continue;
      }
      if (known) this.#remove(known);
      const health = this.#outliers.add(record.id, record.slots);
      const server = new ServerSlots(record, health, now);
      server.cold.recordAnnouncement(record.warmUpRemainingMs, now);
      this.#servers.set(record.id, server);
    }
    this.updateWarmUp(now);
    for (const server of this.#servers.values()) this.refresh(server, now);
  }

  /**
   * Recomputes how many slots are held back during cold starts. The limits of
   * the servers follow with `refresh`.
   */
  updateWarmUp(now: number): void {
    this.#warmUp.update(this.#servers.values(), now);
  }

  /**
   * Servers that are unusable, slow, or limited to fewer calls than their
   * slots. Entries must not reuse slots of these.
   */
  serversToAvoid(): BackendServerId[] {
    const avoided: BackendServerId[] = [];
    for (const server of this.#servers.values()) {
      const reduced = server.limit < server.record.slots || server.isSlow;
      if (reduced) avoided.push(server.record.id);
    }
    return avoided;
  }

  /** Counts a slot as taken (1) or freed (-1). */
  adjustInUse(server: ServerSlots, count: 1 | -1): void {
    server.inUse += count;
    this.#updateTotals(server);
    this.#reorder(server);
  }

  /** Counts a credit as granted (1) or as used or returned (-1). */
  adjustCredits(server: ServerSlots, count: 1 | -1): void {
    server.credits += count;
    this.#reorder(server);
  }

  /**
   * Recomputes a server's limit after time has passed or its status has
   * changed.
   */
  refresh(server: ServerSlots, now: number): void {
    if (this.#servers.get(server.record.id) !== server) return;
    // The end of a warm-up, which leaves no period behind, ends the pacing too.
    if (server.isPaced || server.cold.until > 0) this.updatePacer(server, now);
    const exploredLimit = isLongRunning(this.#outliers.meanMs)
      ? explorationLimit(server.record, now)
      : undefined;
    server.refreshLimit({
      warmUp: this.#warmUp,
      concurrency: this.#concurrency,
      exploredLimit,
      now,
    });
    this.#updateTotals(server);
    if (server.isSlow) this.#slowServers.add(server);
    else this.#slowServers.delete(server);
    if (server.pacedLimit > 0) this.#pacedServers.add(server);
    else this.#pacedServers.delete(server);
    const heap = this.#heap(server);
    const usable = server.limit > 0 && !server.isSlow;
    if (usable && server.heapIndex < 0) heap.push(server);
    else if (!usable && server.heapIndex >= 0) heap.remove(server);
    this.#reorder(server);
  }

  /**
   * The least loaded server with fewer than `limit + overcommit` calls; servers
   * in the given data centre are preferred. A server to which the caller has a
   * connection goes first while it works at full speed.
   */
  pick(
    nearDataCentre: DataCentre,
    options: {
      overcommit?: number;
      exclude?: readonly BackendServerId[];
      connected?: readonly ServerSlots[];
    } = {},
  ): ServerSlots | undefined {
    const { overcommit = 0, exclude, connected = [] } = options;
    const nearMargin = this.#nearMargin;
    let best: ServerSlots | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const [dataCentre, heap] of this.#heaps) {
      const candidate = exclude?.length
        ? bestAllowed(heap, exclude)
        : heap.peek();
      if (!candidate || candidate.inUse >= candidate.limit + overcommit)
        continue;
      // A server on trial or in a ramp-up must not get calls beyond its limit.
      if (
        candidate.inUse >= candidate.limit &&
        candidate.limit < candidate.record.slots
      )
        continue;
      const margin =
        dataCentre === nearDataCentre && overcommit === 0 ? nearMargin : 0;
      const load = candidate.relativeLoad() - margin;
      if (load >= bestLoad) continue;
      best = candidate;
      bestLoad = load;
    }
    if (!best || overcommit > 0) return best;
    return (
      this.#pickConnected(best, { nearDataCentre, connected, exclude }) ?? best
    );
  }

  /**
   * The least loaded server that limits its rate, or is cold, and may get a request
   * now, if it has no more load than `instead`. While `instead` works at full speed, a
   * server that limits its rate is spared, since its speed cannot be checked before a
   * call either. A cold one is not: it is to take up its share as soon as it may.
   */
  pickPaced(
    nearDataCentre: DataCentre,
    options: {
      exclude?: readonly BackendServerId[] | undefined;
      instead?: ServerSlots | undefined;
      now: number;
    },
  ): ServerSlots | undefined {
    const { exclude, instead, now } = options;
    const marginOf = ({ record }: ServerSlots) =>
      record.dataCentre === nearDataCentre ? this.#nearMargin : 0;
    const isSpared = instead?.hasFullSpeedSlot === true;
    let best: ServerSlots | undefined;
    let bestLoad = instead
      ? instead.relativeLoad() - marginOf(instead)
      : Number.POSITIVE_INFINITY;
    for (const server of this.#pacedServers) {
      if (exclude?.includes(server.record.id)) continue;
      const isQuiet = now - server.lastHeard >= QUIET_MS;
      if (isSpared && !isQuiet && !server.isPacedAsCold) continue;
      const load = isQuiet
        ? Number.NEGATIVE_INFINITY
        : server.pacedLoad() - marginOf(server);
      if (load > bestLoad || !server.hasPacedSlot(now)) continue;
      best = server;
      bestLoad = load;
    }
    return best;
  }

  /**
   * Calls that servers with a rate limit can run at the same time at most, by
   * their limits and a mean service time in milliseconds.
   */
  pacedConcurrency(meanMs: number): number {
    let sum = 0;
    for (const { pacer, pacedLimit } of this.#pacedServers) {
      const calls = ((pacer?.perSecond ?? 0) * meanMs) / 1_000;
      sum += Math.min(pacedLimit, calls);
    }
    return sum;
  }

  /**
   * Milliseconds until the next call may start by the servers' rate limits; 0
   * if some usable server has none.
   */
  pacedWaitMs(now: number): number {
    if (this.#limit > 0 || this.#pacedServers.size === 0) return 0;
    let least = Number.POSITIVE_INFINITY;
    for (const { pacer } of this.#pacedServers) {
      least = Math.min(least, pacer?.waitMs(now) ?? 0);
    }
    return least;
  }

  /**
   * The best server to which the caller has a connection, if it is not farther
   * away than `best` and has a slot at full speed or no more load.
   */
  #pickConnected(
    best: ServerSlots,
    options: {
      nearDataCentre: DataCentre;
      connected: readonly ServerSlots[];
      exclude?: readonly BackendServerId[] | undefined;
    },
  ): ServerSlots | undefined {
    const { nearDataCentre, connected, exclude } = options;
    const isFar = best.record.dataCentre !== nearDataCentre;
    return connected
      .filter((server) => this.#isUsable(server))
      .filter((server) => !exclude?.includes(server.record.id))
      .filter((server) => isFar || server.record.dataCentre === nearDataCentre)
      .filter(
        (server) =>
          server.hasFullSpeedSlot ||
          server.relativeLoad() <= best.relativeLoad(),
      )
      .sort((a, b) => a.relativeLoad() - b.relativeLoad())[0];
  }

  #isUsable(server: ServerSlots): boolean {
    return (
      this.#servers.get(server.record.id) === server &&
      server.heapIndex >= 0 &&
      server.inUse < server.limit
    );
  }

  /**
   * The fastest of the slow servers with a free slot; with `includeTemporary`
   * also of servers that are only slow for a moment.
   */
  pickSlow(options: {
    exclude?: readonly BackendServerId[] | undefined;
    includeTemporary: boolean;
  }): ServerSlots | undefined {
    const { exclude, includeTemporary } = options;
    let best: ServerSlots | undefined;
    for (const server of this.#slowServers) {
      if (server.free === 0 || exclude?.includes(server.record.id)) continue;
      if (!includeTemporary && server.health.status !== "slow") continue;
      if (!best || server.serviceTimeRatio < best.serviceTimeRatio)
        best = server;
    }
    return best;
  }

  get #nearMargin(): number {
    return isLongRunning(this.#outliers.meanMs)
      ? NEAR_MARGIN_LONG_RUNNING
      : NEAR_MARGIN;
  }

  #remove(server: ServerSlots): void {
    const { id } = server.record;
    this.#heap(server).remove(server);
    this.#slowServers.delete(server);
    this.#pacedServers.delete(server);
    this.#servers.delete(id);
    this.#updateTotals(server);
    this.#outliers.remove(server.health);
  }

  #updateTotals(server: ServerSlots): void {
    const present = this.#servers.get(server.record.id) === server;
    const counts = present && !server.isSlow;
    const free = counts ? server.free : 0;
    const limit = counts ? server.limit : 0;
    this.#free += free - server.countedFree;
    this.#limit += limit - server.countedLimit;
    server.countedFree = free;
    server.countedLimit = limit;
  }

  #reorder(server: ServerSlots): void {
    if (server.heapIndex >= 0) this.#heap(server).update(server);
  }

  #heap(server: ServerSlots): Heap<ServerSlots> {
    const { dataCentre } = server.record;
    let heap = this.#heaps.get(dataCentre);
    if (!heap) {
      heap = new Heap((a, b) => a.relativeLoad() < b.relativeLoad());
      this.#heaps.set(dataCentre, heap);
    }
    return heap;
  }
}

/**
 * The least loaded server that is not excluded. It takes linear time, but only
 * repeated calls exclude servers.
 */
function bestAllowed(
  heap: Heap<ServerSlots>,
  exclude: readonly BackendServerId[],
): ServerSlots | undefined {
  let best: ServerSlots | undefined;
  for (const server of heap.items()) {
    if (exclude.includes(server.record.id)) continue;
    if (!best || server.relativeLoad() < best.relativeLoad()) best = server;
  }
  return best;
}
