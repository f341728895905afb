import type { BackendServerId } from "#model";
import type { WaitingCall } from "./dispatch_entry.ts";
import type { DispatcherState } from "./dispatcher_state.ts";
import { isLongRunning } from "./long_running.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { ServerSlots } from "./server_slots.ts";
import type { WaitingCalls } from "./waiting_calls.ts";

/** Calls that a server may be given above its slots. */
const MAX_OVERCOMMIT = 1;
/**
 * A slow server is used once the expected wait exceeds this share of the extra
 * time that a call takes there. The share is below 1 because its slots also
 * shorten the queue for all other calls.
 */
const SLOW_SERVER_WAIT_SHARE = 0.3;
/** Waiting calls that may be skipped because of the servers they exclude. */
const MAX_SKIPPED_CALLS = 8;

/** Decides which waiting call gets which slot. */
export class SlotScheduler {
  readonly #waitingCalls: WaitingCalls;
  readonly #state: DispatcherState;
  readonly #sequenceNumbers: SequenceNumbers;

  constructor(options: {
    waitingCalls: WaitingCalls;
    state: DispatcherState;
    sequenceNumbers: SequenceNumbers;
  }) {
    this.#waitingCalls = options.waitingCalls;
    this.#state = options.state;
    this.#sequenceNumbers = options.sequenceNumbers;
  }

  /** Grants every slot that can be granted now. */
  grantWaiting(now: number): void {
    const skipped: WaitingCall[] = [];
    const { queue } = this.#waitingCalls;
    queue.moveLateCalls(now);
    while (skipped.length < MAX_SKIPPED_CALLS) {
      const call = queue.peek();
      if (!call) break;
      const server = this.#choose(call, now);
      if (!server && this.#excludedServers(call, now).length === 0) break;
      // A ranked call that is put back has not used its tenant's share.
      if (server || !this.#waitingCalls.isRanked) queue.take();
      else queue.remove(call.id);
      if (server) this.#grant(call, server, now);
      else skipped.push(call);
    }
    for (const call of skipped) queue.putBack(call);
    this.#grantSlowServers(now);
  }

  /**
   * Grants free slots of slow servers when the queue is long, or to a patient
   * call that tests whether a slow server has recovered.
   */
  #grantSlowServers(now: number): void {
    const { outliers } = this.#state;
    // A temporary slowdown ends sooner than a long-running call, so waiting for
    // its end costs less.
    const includeTemporary = !isLongRunning(outliers.meanMs);
    for (;;) {
      const call =
        this.#waitingCalls.queue.first("patient") ??
        this.#waitingCalls.queue.first("urgent");
      if (!call || this.#state.slots.free > 0) return;
      const slowServer = this.#state.slots.pickSlow({
        exclude: this.#excludedServers(call, now),
        includeTemporary,
      });
      if (!slowServer) return;
      const { health } = slowServer;
      if (!this.#isWorthSlowServer(call, slowServer, now)) {
        // A temporary slowdown ends by itself and needs no trial.
        if (health.status !== "slow") return;
        const mayTry = call.priority === "patient";
        if (!mayTry || !outliers.isTrialDue(health, now)) return;
        outliers.startTrial(health, now);
      }
      this.#waitingCalls.queue.takeById(call.id);
      this.#grant(call, slowServer, now);
    }
  }

  /**
   * Whether a call is answered sooner on a slow server than after waiting in
   * the queue, and before its deadline.
   */
  #isWorthSlowServer(
    call: WaitingCall,
    slowServer: ServerSlots,
    now: number,
  ): boolean {
    const { outliers, concurrency } = this.#state;
    const extraRatio = slowServer.serviceTimeRatio - 1;
    const waitMs = this.#waitingCalls.estimateWaitMs(
      this.#waitingCalls.queue.length,
    );
    if (waitMs <= SLOW_SERVER_WAIT_SHARE * extraRatio * outliers.meanMs)
      return false;
    const typicalMs = concurrency.typicalMs(call.class) ?? outliers.meanMs;
    return now + extraRatio * typicalMs <= call.latestStart;
  }

  /**
   * The servers that a call must not use: those that it tried, unless it tried
   * all, and those that want no calls of its entry.
   */
  #excludedServers(
    { exclude = [], entry }: WaitingCall,
    now: number,
  ): readonly BackendServerId[] {
    const tried = exclude.length >= this.#state.slots.size ? [] : exclude;
    const backingOff = entry.serversBackingOff(now);
    return backingOff.length > 0 ? [...tried, ...backingOff] : tried;
  }

  #choose(call: WaitingCall, now: number): ServerSlots | undefined {
    const { outliers } = this.#state;
    const near = call.entry.dataCentre;
    const exclude = this.#excludedServers(call, now);
    const connected = call.entry.connectedServers(now);
    const { slots } = this.#state;
    const free = slots.pick(near, { exclude, connected });
    const paced = slots.pickPaced(near, { exclude, instead: free, now });
    if (paced) return paced;
    if (free) return free;
    const overcommitted = slots.pick(near, {
      exclude,
      overcommit: MAX_OVERCOMMIT,
    });
    if (!overcommitted) return undefined;
    // Queueing at a server pays only if the call would wait at least as long in
    // this queue.
    const { meanMs } = outliers;
    if (isLongRunning(meanMs)) return undefined;
    const waitMs = this.#waitingCalls.estimateWaitMs(
      this.#waitingCalls.queue.length,
    );
    return meanMs > 0 && waitMs >= meanMs / overcommitted.limit
      ? overcommitted
      : undefined;
  }

  #grant(call: WaitingCall, server: ServerSlots, now: number): void {
    const { entry, ticket, class: className } = call;
    entry.waitingCalls.delete(ticket);
    const sequence = this.#sequenceNumbers.last + 1;
    const paced = server.pacer !== undefined;
    this.#state.allocate(entry, {
      ticket,
      class: className,
      server,
      assignedAt: now,
      grantSequence: sequence,
      paced,
    });
    const slowed = server.isSlow;
    entry.outbox.grants.push({
      ticket,
      server: server.record.id,
      ...(slowed && { slowed }),
      ...(paced && { paced }),
    });
    this.#state.entriesToNotify.add(entry);
  }
}
