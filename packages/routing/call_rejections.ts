import type { Refusal } from "#overload";
import type { DispatchLink } from "./dispatch_link.ts";
import type { RoutingEffect } from "./effects.ts";
import type { LocalServers } from "./local_servers.ts";
import { type OpenCall, rejectEffect } from "./open_call.ts";
import type { OpenCalls } from "./open_calls.ts";
import type { QueuePolicy } from "./queue_policy.ts";
import type { ServerState } from "./server_state.ts";

/** Time after which to retry a call to a service without servers. */
const NO_SERVER_RETRY_AFTER_MS = 1_000;

/** Why no server can get calls of this entry now. */
interface Unservable {
  readonly retryAfterMs: number;
  readonly detail?: string;
}

/** Rejects the calls of one service that cannot be served. */
export class CallRejections {
  readonly #calls: OpenCalls;
  readonly #servers: LocalServers;
  readonly #link: DispatchLink;
  readonly #queuePolicy: QueuePolicy;
  readonly #findCold: (now: number) => ServerState | undefined;

  constructor(options: {
    calls: OpenCalls;
    servers: LocalServers;
    link: DispatchLink;
    queuePolicy: QueuePolicy;
    /** A cold server that this entry may use without a dispatcher. */
    findCold: (now: number) => ServerState | undefined;
  }) {
    this.#findCold = options.findCold;
    this.#calls = options.calls;
    this.#servers = options.servers;
    this.#link = options.link;
    this.#queuePolicy = options.queuePolicy;
  }

  /** Rejects a new call at once if no server can get it. */
  rejectNew(callId: string, now: number): RoutingEffect | undefined {
    const reason = this.#unservable(now);
    return reason && rejectEffect(callId, "no_server", reason);
  }

  /** Rejects the waiting calls while no server can get them. */
  rejectUnservable(now: number): RoutingEffect[] {
    if (this.#calls.queue.length === 0) return [];
    const reason = this.#unservable(now);
    if (!reason) return [];
    const effects: RoutingEffect[] = [];
    for (let call = this.#calls.queue.peek(); call; ) {
      this.#withdraw(call);
      effects.push(rejectEffect(call.id, "no_server", reason));
      call = this.#calls.queue.peek();
    }
    return effects;
  }

  rejectExpired(now: number): RoutingEffect[] {
    return this.#calls.queue.expire(now).map((call) => {
      this.#withdraw(call);
      const reason = this.#queuePolicy.rejectionReason(this.#link.state);
      return rejectEffect(call.id, "deadline_expired", reason);
    });
  }

  /** Rejects a call for which the queue has no place, or too long a wait. */
  rejectQueueFull(call: OpenCall): RoutingEffect {
    this.#calls.remove(call);
    const reason = this.#queuePolicy.rejectionReason(this.#link.state);
    return rejectEffect(call.id, "queue_full", reason);
  }

  /** Rejects ranked calls that an overload leaves no room for. */
  rejectRefused(refusals: readonly Refusal<OpenCall>[]): RoutingEffect[] {
    return refusals.map(({ call, reason, retryAfterMs }) => {
      this.#withdraw(call);
      const { detail } = this.#queuePolicy.rejectionReason(this.#link.state);
      return rejectEffect(call.id, "queue_full", {
        retryAfterMs,
        detail,
        reason,
      });
    });
  }

  #withdraw(call: OpenCall): void {
    this.#calls.remove(call);
    this.#link.addCancelled(call.ticket);
  }

  #unservable(now: number): Unservable | undefined {
    if (!this.#servers.anyReady) {
      return { retryAfterMs: NO_SERVER_RETRY_AFTER_MS };
    }
    const backOffMs = this.#servers.backOffWaitMs(now);
    if (backOffMs > 0) {
      const detail = "all servers have asked this entry to back off";
      return { retryAfterMs: Math.ceil(backOffMs), detail };
    }
    if (
      this.#link.isUnreachable &&
      this.#servers.allPaced &&
      !this.#findCold(now)
    ) {
      const detail =
        "all servers limit their rate or are cold, no answer of the dispatcher";
      return { retryAfterMs: NO_SERVER_RETRY_AFTER_MS, detail };
    }
    return undefined;
  }
}
