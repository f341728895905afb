import {
  type OverloadControl,
  WaitingOrder,
  type WaitingQueue,
} from "#overload";
import type { EntryState } from "./dispatch_link.ts";
import type { SlotRequest, TakenSlot } from "./messages.ts";
import { type OpenCall, slotRequest, takenSlot } from "./open_call.ts";
import type { ServerState } from "./server_state.ts";

/** The calls of one service at one entry that wait or run. */
export class OpenCalls {
  readonly #calls = new Map<string, OpenCall>();
  readonly #tickets = new Map<number, OpenCall>();
  readonly #order: WaitingOrder<OpenCall>;
  readonly #nextTicket: () => number;

  constructor(options: { queueLength: number; nextTicket: () => number }) {
    this.#order = new WaitingOrder(options.queueLength);
    this.#nextTicket = options.nextTicket;
  }

  /** Calls that wait, for a grant or for a locally chosen server. */
  get queue(): WaitingQueue<OpenCall> {
    return this.#order.queue;
  }

  /** Present once calls have ranks. */
  get control(): OverloadControl<OpenCall> | undefined {
    return this.#order.control;
  }

  /** Selects the order for a call; returns the control if calls have ranks. */
  selectOrder(call: OpenCall): OverloadControl<OpenCall> | undefined {
    return this.#order.select(call);
  }

  /** Sets the maximum number of waiting calls. */
  setQueueLimit(limit: number): void {
    this.#order.setLimit(limit);
  }

  get size(): number {
    return this.#calls.size;
  }

  /** Counts the calls that have a server. */
  countRunning(): number {
    let running = 0;
    for (const { server } of this.#calls.values()) if (server) running += 1;
    return running;
  }

  get(id: string): OpenCall | undefined {
    return this.#calls.get(id);
  }

  /** The call whose present ticket this is. */
  byTicket(ticket: number): OpenCall | undefined {
    return this.#tickets.get(ticket);
  }

  /** The state of this entry that its reports tell the dispatcher. */
  entryState(now: number): EntryState {
    const state: { taken: TakenSlot[]; wanted: SlotRequest[] } = {
      taken: [],
      wanted: [],
    };
    for (const call of this.#calls.values()) {
      if (call.server) state.taken.push(takenSlot(call, call.server, now));
      else state.wanted.push(slotRequest(call, now));
    }
    return state;
  }

  /** The calls that run, by their server. */
  runningByServer(): Map<ServerState, OpenCall[]> {
    const running = new Map<ServerState, OpenCall[]>();
    for (const call of this.#calls.values()) {
      const { server, awaitingCheck } = call;
      if (!server || awaitingCheck) continue;
      const calls = running.get(server);
      if (calls) calls.push(call);
      else running.set(server, [call]);
    }
    return running;
  }

  add(call: OpenCall): void {
    this.#calls.set(call.id, call);
    this.#tickets.set(call.ticket, call);
  }

  /** Gives a call a new ticket, which invalidates grants for the old one. */
  renewTicket(call: OpenCall): void {
    this.#tickets.delete(call.ticket);
    call.ticket = this.#nextTicket();
    this.#tickets.set(call.ticket, call);
  }

  remove(call: OpenCall): void {
    this.queue.remove(call.id);
    this.#calls.delete(call.id);
    this.#tickets.delete(call.ticket);
  }
}
