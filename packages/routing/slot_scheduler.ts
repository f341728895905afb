import type { WaitingCall } from "./dispatch_entry.ts";
import type { DispatcherState } from "./dispatcher_state.ts";
import { isLongRunning } from "./long_running.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { ServerSlots } from "./slots.ts";
import type { WaitingCalls } from "./waiting_calls.ts";

/** Calls that a server may get above its slots. */
const MAX_OVERCOMMIT = 1;
/**
 * A straggler is used once the queue takes this share of the time that it
 * costs; its slots shorten the queue for all others too.
 */
const SLOW_SERVER_WAIT_SHARE = 0.3;
/** Waiting calls that may be passed over because of their exclusions. */
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

  /** Grants all that can be granted now. */
  grantWaiting(now: number): void {
    const skipped: WaitingCall[] = [];
    const { queue } = this.#waitingCalls;
    queue.moveLateCalls(now);
    while (skipped.length < MAX_SKIPPED_CALLS) {
      const call = queue.peek();
      if (!call) break;
      const server = this.#choose(call, now);
      if (!server && !call.exclude?.length) break;
      queue.take();
      if (server) this.#grant(call, server, now);
      else skipped.push(call);
    }
    for (const call of skipped) queue.offer(call);
    this.#grantSlowServers(now);
  }

  /**
   * Gives a free slot of a straggler to a patient call, when the queue is
   * long, or to try the straggler again.
   */
  #grantSlowServers(now: number): void {
    const { outliers } = this.#state;
    // A spell is shorter than long work, so waiting for its end costs less.
    const includeTemporary = !isLongRunning(outliers.meanMs);
    for (;;) {
      const call =
        this.#waitingCalls.queue.first("patient") ??
        this.#waitingCalls.queue.first("urgent");
      if (!call || this.#state.slots.free > 0) return;
      const slowServer = this.#state.slots.pickSlow({
        exclude: call.exclude,
        includeTemporary,
      });
      if (!slowServer) return;
      const { health } = slowServer;
      if (!this.#isWorthSlowServer(call, slowServer, now)) {
        // A spell ends by itself, so that there is nothing to try.
        if (health.status !== "slow") return;
        const mayTry = call.priority === "patient";
        if (!mayTry || !outliers.isTrialDue(health, now)) return;
        outliers.startTrial(health, now);
      }
      this.#waitingCalls.queue.takeById(call.id);
      this.#grant(call, slowServer, now);
    }
  }

  /** Whether the queue takes longer than a straggler, and that is in time. */
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

  #choose(call: WaitingCall, now: number): ServerSlots | undefined {
    const { outliers } = this.#state;
    const near = call.entry.dataCentre;
    const excludesAll = (call.exclude?.length ?? 0) >= this.#state.slots.size;
    const exclude = excludesAll ? undefined : call.exclude;
    const connected = call.entry.connectedServers(now);
    const free = this.#state.slots.pick(near, { exclude, connected });
    if (free) return free;
    const overcommitted = this.#state.slots.pick(near, {
      exclude,
      overcommit: MAX_OVERCOMMIT,
    });
    if (!overcommitted) return undefined;
    // Waiting at one server is worth it only when the queue takes as long.
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
    this.#state.allocate(entry, {
      ticket,
      class: className,
      server,
      assignedAt: now,
      grantSequence: sequence,
    });
    const slowed = server.isSlow;
    entry.outbox.grants.push({
      ticket,
      server: server.record.id,
      ...(slowed && { slowed }),
    });
    this.#state.entriesToNotify.add(entry);
  }
}
