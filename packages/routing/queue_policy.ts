import type { Capacity } from "#overload";
import type { LinkState } from "./dispatch_link.ts";
import type { LocalServers } from "./local_servers.ts";
import type { OpenCalls } from "./open_calls.ts";

const MIN_RETRY_AFTER_MS = 10;

/**
 * Estimates waiting times and bounds the queue of one service at an entry, from
 * the entry's own measurements.
 */
export class QueuePolicy {
  readonly #calls: OpenCalls;
  readonly #servers: LocalServers;

  constructor(calls: OpenCalls, servers: LocalServers) {
    this.#calls = calls;
    this.#servers = servers;
  }

  /**
   * Time until this many waiting calls have started, in milliseconds; 0 if only
   * the dispatcher can tell, since all servers limit their rate.
   */
  estimateWaitMs(calls: number): number {
    const { meanMs, readySlots } = this.#servers;
    return readySlots === 0 ? 0 : (calls * meanMs) / readySlots;
  }

  /** The room that this entry sees; the work of calls is their mean time. */
  capacity(): Capacity {
    return { concurrency: this.#servers.readySlots, slowdown: 1 };
  }

  /**
   * Calls that may wait at this entry. With a dispatcher, which holds the
   * service's queue, it can be granted at most the queue length plus all slots
   * at once; without one, each entry has its share of the queue length.
   */
  queueLimit(
    queueLength: number,
    options: { state: LinkState; entries: number },
  ): number {
    if (options.state === "attached")
      return queueLength + this.#servers.readySlots;
    return Math.ceil(queueLength / Math.max(1, options.entries));
  }

  /** When a rejected call may be retried, and a detail for the log. */
  rejectionReason(state: LinkState): { retryAfterMs: number; detail: string } {
    const { length } = this.#calls.queue;
    const waitMs = Math.ceil(this.estimateWaitMs(length + 1));
    return {
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
      detail: `${length} calls wait here, dispatcher ${state}`,
    };
  }
}
