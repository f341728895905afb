import type { BackendServerId } from "#model";
import type { DispatchLink } from "./dispatch_link.ts";
import type { RoutingEffect, ServerStatement } from "./effects.ts";
import { type LocalServers, rateLimitOf } from "./local_servers.ts";
import { isLongRunning } from "./long_running.ts";
import type { DispatchGrant } from "./messages.ts";
import { type OpenCall, slotRequest, takenSlot } from "./open_call.ts";
import type { OpenCalls } from "./open_calls.ts";
import type { ServerState } from "./server_state.ts";

/** The parts and functions of a service router that `GrantedSlots` uses. */
export interface GrantedSlotsContext {
  readonly calls: OpenCalls;
  readonly link: DispatchLink;
  readonly servers: LocalServers;
  readonly isUsable: (
    call: OpenCall,
    id: BackendServerId,
    now: number,
  ) => boolean;
  readonly startCall: (
    call: OpenCall,
    server: ServerState,
    now: number,
    options?: { skipCheck: boolean | undefined },
  ) => RoutingEffect;
}

/**
 * Starts waiting calls on slots that the dispatcher granted or that became free
 * at this entry.
 */
export class GrantedSlots {
  readonly #context: GrantedSlotsContext;

  constructor(context: GrantedSlotsContext) {
    this.#context = context;
  }

  /**
   * Starts a waiting call on a slot that became free, without asking the
   * dispatcher, if it may be reused.
   */
  reuseSlot(server: ServerState, now: number): RoutingEffect[] {
    const call = this.#context.calls.queue.peek();
    if (!call || this.#context.link.state !== "attached") return [];
    if (isLongRunning(this.#context.servers.meanMs)) return [];
    const { id } = server.record;
    const waitedMs = now - call.arrival;
    const { priority } = call;
    if (!this.#context.isUsable(call, id, now)) return [];
    if (!this.#context.link.mayReuse(id, { priority, waitedMs })) return [];
    return this.startWithoutGrant(call, server, now);
  }

  /** Starts a waiting call on a slot that was not granted for it. */
  startWithoutGrant(
    call: OpenCall,
    server: ServerState,
    now: number,
  ): RoutingEffect[] {
    this.#context.calls.queue.takeById(call.id);
    // A grant for the old ticket may be in transit; it must not be taken for
    // this slot.
    const instead = call.ticket;
    this.#context.calls.renewTicket(call);
    const effect = this.#context.startCall(call, server, now);
    if (this.#context.link.sendsUpdates) {
      this.#context.link.addTaken({ ...takenSlot(call, server, now), instead });
    }
    return [effect];
  }

  /**
   * Gives a slot to the next waiting call after the call it was granted for has
   * ended.
   */
  #useUnneededGrant(server: ServerState, now: number): RoutingEffect[] {
    const call = this.#context.calls.queue.peek();
    if (!call || !this.#context.isUsable(call, server.record.id, now))
      return [];
    return this.startWithoutGrant(call, server, now);
  }

  handleGrant(
    grant: DispatchGrant["grants"][number],
    now: number,
  ): RoutingEffect[] {
    const { ticket, server: id, slowed, paced = false } = grant;
    const call = this.#context.calls.byTicket(ticket);
    if (call?.server) return [];
    const server = this.#context.servers.get(id);
    if (call && server?.accepts(now, { paced })) {
      call.assignedBy = "grant";
      this.#context.calls.queue.remove(call.id);
      return [
        this.#context.startCall(call, server, now, {
          skipCheck: slowed || paced,
        }),
      ];
    }
    const leaving = server?.leaving === true;
    this.#context.link.addReleased({
      ticket,
      kind: "unused",
      serviceMs: 0,
      leaving,
      ...declineReason(server, now),
    });
    const rateLimit = server && rateLimitOf(server, now);
    if (rateLimit && !paced) this.#context.link.addRateLimit(rateLimit);
    if (!call) return server ? this.#useUnneededGrant(server, now) : [];
    // The dispatcher does not know yet that this server accepts no calls.
    call.exclude = new Set([...call.exclude, id]);
    this.#context.link.addRequest(slotRequest(call, now));
    return [];
  }
}

/** What the dispatcher must know so that it does not grant the server again. */
function declineReason(
  server: ServerState | undefined,
  now: number,
): ServerStatement {
  const backOffMs = server?.backOffMs(now) ?? 0;
  const warmUpMs = server?.isCold(now) ? server.cold.remainingMs(now) : 0;
  return {
    ...(backOffMs > 0 && { backOffMs }),
    ...(warmUpMs > 0 && { warmUpMs }),
  };
}
