import type { BackendServerId } from "#model";
import type { DispatchLink } from "./dispatch_link.ts";
import type { RoutingEffect } from "./effects.ts";
import type { LocalServers } from "./local_servers.ts";
import { isLongWork } from "./long_work.ts";
import type { DispatchGrant } from "./messages.ts";
import { type OpenCall, taken, wanted } from "./open_call.ts";
import type { OpenCalls } from "./open_calls.ts";
import type { ServerState } from "./server_state.ts";

/** What the use of granted slots needs of its router. */
export interface GrantedSlotsParts {
  readonly calls: OpenCalls;
  readonly link: DispatchLink;
  readonly servers: LocalServers;
  readonly usable: (open: OpenCall, id: BackendServerId) => boolean;
  readonly start: (
    open: OpenCall,
    server: ServerState,
    now: number,
    options?: { unasked: boolean | undefined },
  ) => RoutingEffect;
}

/** Gives slots that the dispatcher granted, or that became free, to calls. */
export class GrantedSlots {
  readonly #parts: GrantedSlotsParts;

  constructor(parts: GrantedSlotsParts) {
    this.#parts = parts;
  }

  /** Gives a slot that became free to a waiting call without asking. */
  reuse(server: ServerState, now: number): RoutingEffect[] {
    const open = this.#parts.calls.queue.peek();
    if (!open || this.#parts.link.state !== "attached") return [];
    if (isLongWork(this.#parts.servers.meanMs)) return [];
    const { id } = server.record;
    const waitedMs = now - open.arrival;
    const { priority } = open;
    if (!this.#parts.usable(open, id)) return [];
    if (!this.#parts.link.mayReuse(id, { priority, waitedMs })) return [];
    return this.startUnasked(open, server, now);
  }

  /** Starts a waiting call on a slot that was not granted for it. */
  startUnasked(
    open: OpenCall,
    server: ServerState,
    now: number,
  ): RoutingEffect[] {
    this.#parts.calls.queue.takeItem(open.id);
    // A grant for the old ticket may be under way; it must not count as this.
    const instead = open.ticket;
    this.#parts.calls.renewTicket(open);
    const effect = this.#parts.start(open, server, now);
    if (this.#parts.link.streaming) {
      this.#parts.link.take({ ...taken(open, server, now), instead });
    }
    return [effect];
  }

  /** Uses the slot granted for a call that no longer needs it. */
  #useLeftOver(server: ServerState, now: number): RoutingEffect[] {
    const open = this.#parts.calls.queue.peek();
    if (!open || !this.#parts.usable(open, server.record.id)) return [];
    return this.startUnasked(open, server, now);
  }

  granted(
    granted: DispatchGrant["grants"][number],
    now: number,
  ): RoutingEffect[] {
    const { ticket, server: id, slowed } = granted;
    const open = this.#parts.calls.holding(ticket);
    if (open?.server) return [];
    const server = this.#parts.servers.get(id);
    if (open && server?.ready) {
      open.by = "grant";
      this.#parts.calls.queue.remove(open.id);
      return [this.#parts.start(open, server, now, { unasked: slowed })];
    }
    const leaving = server?.leaving === true;
    this.#parts.link.release({ ticket, kind: "unused", serviceMs: 0, leaving });
    if (!open) return server ? this.#useLeftOver(server, now) : [];
    // The dispatcher does not know yet that this server takes no calls.
    open.exclude = new Set([...open.exclude, id]);
    this.#parts.link.want(wanted(open, now));
    return [];
  }
}
