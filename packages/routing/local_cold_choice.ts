import {
  type BackendServerId,
  type HostId,
  rendezvousOrder,
  type View,
} from "#model";
import type { OpenCall } from "./open_call.ts";
import { RatePacer } from "./rate_pacer.ts";
import type { ServerState } from "./server_state.ts";

/** Entries that may send to one cold server without a dispatcher. */
const ENTRIES_PER_SERVER = 2;
/**
 * Share of a cold server's rate that these entries may use together: what the bound
 * allows beyond the rate that a dispatcher uses for other entries at the same time.
 */
const RATE_SHARE = 0.5;

/**
 * Cold servers that an entry may use while it reaches no dispatcher and all servers
 * are cold. Each server belongs to a few entries by rendezvous hashing of the view,
 * so that the sum over all entries is bounded without messages.
 */
export class LocalColdChoice {
  readonly #self: HostId;
  #view: View | undefined;
  #own = new Map<BackendServerId, boolean>();
  readonly #pacers = new Map<BackendServerId, RatePacer>();

  constructor(self: HostId) {
    this.#self = self;
  }

  configure(view: View): void {
    if (view === this.#view) return;
    this.#view = view;
    this.#own = new Map();
  }

  /** A server that may get a request now, with the fewest calls of this entry. */
  find(
    servers: Iterable<ServerState>,
    options: {
      readonly exclude?: OpenCall["exclude"];
      /** Requests a second that a cold server takes; absent: no limit is known. */
      readonly coldRequestsPerS: number | undefined;
      readonly now: number;
    },
  ): ServerState | undefined {
    const { exclude, coldRequestsPerS, now } = options;
    if (coldRequestsPerS === undefined) return undefined;
    let best: ServerState | undefined;
    for (const server of servers) {
      const { id } = server.record;
      if (exclude?.has(id) || !server.accepts(now, { paced: true })) continue;
      if (server.isRateLimited || server.inFlight >= server.record.slots) {
        continue;
      }
      if (best && best.inFlight <= server.inFlight) continue;
      if (!this.#isOwn(id)) continue;
      if (this.#pacer(id, coldRequestsPerS, now).isReady(now)) best = server;
    }
    return best;
  }

  /** Counts a request to a server that `find` returned. */
  take({ record }: ServerState, now: number): void {
    this.#pacers.get(record.id)?.take(now);
  }

  #isOwn(id: BackendServerId): boolean {
    const known = this.#own.get(id);
    if (known !== undefined) return known;
    const isOwn = rendezvousOrder(id, this.#view?.entries ?? [])
      .slice(0, ENTRIES_PER_SERVER)
      .some((entry) => entry.id === this.#self);
    this.#own.set(id, isOwn);
    return isOwn;
  }

  #pacer(id: BackendServerId, perSecond: number, now: number): RatePacer {
    const known = this.#pacers.get(id);
    if (known) return known;
    const rate = (perSecond * RATE_SHARE) / ENTRIES_PER_SERVER;
    const pacer = new RatePacer(rate, now, { burst: 1 });
    this.#pacers.set(id, pacer);
    return pacer;
  }
}
