import type { LinkState } from "./dispatch_link.ts";
import type { LocalServers } from "./local_servers.ts";
import type { OpenCalls } from "./open_calls.ts";

const MIN_RETRY_AFTER_MS = 10;

/** How long calls of one service wait at an entry, as far as it can tell. */
export class QueuePolicy {
  readonly #calls: OpenCalls;
  readonly #servers: LocalServers;

  constructor(calls: OpenCalls, servers: LocalServers) {
    this.#calls = calls;
    this.#servers = servers;
  }

  /** Time in which so many waiting calls start, in milliseconds. */
  estimateWaitMs(calls: number): number {
    return (
      (calls * this.#servers.meanMs) / Math.max(1, this.#servers.readySlots)
    );
  }

  /**
   * Calls that may wait here. With a dispatcher, which holds the service's
   * queue, more cannot be granted at once; without, each entry has its part.
   */
  queueLimit(
    queueLength: number,
    options: { state: LinkState; entries: number },
  ): number {
    if (options.state === "attached")
      return queueLength + this.#servers.readySlots;
    return Math.ceil(queueLength / Math.max(1, options.entries));
  }

  /** When a refused call may come back, and what stands in its way. */
  rejectionReason(state: LinkState): { retryAfterMs: number; detail: string } {
    const { length } = this.#calls.queue;
    const waitMs = Math.ceil(this.estimateWaitMs(length + 1));
    return {
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
      detail: `${length} calls wait here, dispatcher ${state}`,
    };
  }
}
