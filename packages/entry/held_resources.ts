import type { Clock } from "#model";
import type { Logger } from "#telemetry";

/** What an attempt of a call may hold, for the metric and log lines. */
export const RESOURCE_KINDS = [
  /** A place in the queue for a server. */
  "queue_place",
  "server_slot",
  /** A connection to a server, its share of the budget, and the response on it. */
  "server_connection",
  /** The same to another entry. */
  "handover_connection",
] as const;

export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** Time after its deadline in which a call may still give back what it holds. */
const OVERDUE_AFTER_MS = 1_000;

/** The call for which something is held. */
export interface ResourceOwner {
  readonly service: string;
  /** Id of the request in log lines. */
  readonly requestId: string;
  /** Deadline of the call, as in `Clock.now()`. */
  readonly deadline: number;
}

interface Holding {
  readonly kind: ResourceKind;
  readonly owner: ResourceOwner;
  readonly since: number;
  isLogged: boolean;
}

/**
 * All that the calls of an entry hold at present. Shows operators what is never given
 * back, which takes slots and connections away from a service until none is left.
 */
export class HeldResources {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #holdings = new Set<Holding>();

  constructor(options: { clock: Clock; logger: Logger }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Records that something is held; returns how to record its end. */
  take(kind: ResourceKind, owner: ResourceOwner): () => void {
    const since = this.#clock.now();
    const holding = { kind, owner, since, isLogged: false };
    this.#holdings.add(holding);
    return () => {
      this.#holdings.delete(holding);
    };
  }

  /** How many of each kind are held. */
  counts(): [kind: ResourceKind, count: number][] {
    const counts = new Map<ResourceKind, number>(
      RESOURCE_KINDS.map((kind) => [kind, 0]),
    );
    for (const { kind } of this.#holdings)
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    return [...counts];
  }

  /** Logs, once each, what is held longer than its call allows. */
  logOverdue(): void {
    const now = this.#clock.now();
    for (const holding of this.#holdings) {
      const { kind, owner, since, isLogged } = holding;
      const overdueMs = now - owner.deadline;
      if (isLogged || overdueMs < OVERDUE_AFTER_MS) continue;
      holding.isLogged = true;
      this.#logger.error("resource held after the deadline of its call", {
        kind,
        requestId: owner.requestId,
        service: owner.service,
        heldMs: Math.round(now - since),
        overdueMs: Math.round(overdueMs),
      });
    }
  }
}
