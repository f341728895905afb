import type { Want } from "./dispatch_entry.ts";
import type { Ledger } from "./ledger.ts";
import { isLongWork } from "./long_work.ts";
import type { Numbers } from "./numbers.ts";
import type { ServerSlots } from "./slots.ts";
import type { WaitingCalls } from "./waiting_calls.ts";

/** Calls that a server may get above its slots. */
const OVER_GRANT = 1;
/**
 * A straggler is used once the queue takes this share of the time that it
 * costs; its slots shorten the queue for all others too.
 */
const SPARE_SHARE = 0.3;
/** Waiting calls that may be passed over because of their exclusions. */
const MAX_SET_ASIDE = 8;

/** Decides which waiting call gets which slot. */
export class Granting {
  readonly #waiting: WaitingCalls;
  readonly #ledger: Ledger;
  readonly #numbers: Numbers;

  constructor(options: {
    waiting: WaitingCalls;
    ledger: Ledger;
    numbers: Numbers;
  }) {
    this.#waiting = options.waiting;
    this.#ledger = options.ledger;
    this.#numbers = options.numbers;
  }

  /** Grants all that can be granted now. */
  grantWaiting(now: number): void {
    const aside: Want[] = [];
    const { queue } = this.#waiting;
    queue.advance(now);
    while (aside.length < MAX_SET_ASIDE) {
      const want = queue.peek();
      if (!want) break;
      const server = this.#choose(want, now);
      if (!server && !want.exclude?.length) break;
      queue.take();
      if (server) this.#grant(want, server, now);
      else aside.push(want);
    }
    for (const want of aside) queue.offer(want);
    this.#grantSpare(now);
  }

  /**
   * Gives a free slot of a straggler to a patient call, when the queue is
   * long, or to try the straggler again.
   */
  #grantSpare(now: number): void {
    const { outliers } = this.#ledger;
    // A spell is shorter than long work, so waiting for its end costs less.
    const spells = !isLongWork(outliers.meanMs);
    for (;;) {
      const want =
        this.#waiting.queue.first("patient") ??
        this.#waiting.queue.first("urgent");
      if (!want || this.#ledger.slots.free > 0) return;
      const spare = this.#ledger.slots.pickSpare({
        exclude: want.exclude,
        spells,
      });
      if (!spare) return;
      const { health } = spare;
      if (!this.#gainsAtStraggler(want, spare, now)) {
        // A spell ends by itself, so that there is nothing to try.
        if (health.standing !== "slow") return;
        const tries = want.priority === "patient";
        if (!tries || !outliers.trialDue(health, now)) return;
        outliers.trialStarted(health, now);
      }
      this.#waiting.queue.takeItem(want.id);
      this.#grant(want, spare, now);
    }
  }

  /** Whether the queue takes longer than a straggler, and that is in time. */
  #gainsAtStraggler(want: Want, spare: ServerSlots, now: number): boolean {
    const { outliers, knee } = this.#ledger;
    const excess = spare.ratio - 1;
    const waitMs = this.#waiting.waitMs(this.#waiting.queue.length);
    if (waitMs <= SPARE_SHARE * excess * outliers.meanMs) return false;
    const usualMs = knee.usualMs(want.class) ?? outliers.meanMs;
    return now + excess * usualMs <= want.deadline;
  }

  #choose(want: Want, now: number): ServerSlots | undefined {
    const { outliers } = this.#ledger;
    const near = want.entry.dataCentre;
    const all = (want.exclude?.length ?? 0) >= this.#ledger.slots.size;
    const exclude = all ? undefined : want.exclude;
    const connected = want.entry.connected(now);
    const free = this.#ledger.slots.pick(near, { exclude, connected });
    if (free) return free;
    const over = this.#ledger.slots.pick(near, { exclude, over: OVER_GRANT });
    if (!over) return undefined;
    // Waiting at one server is worth it only when the queue takes as long.
    const { meanMs } = outliers;
    if (isLongWork(meanMs)) return undefined;
    const waitMs = this.#waiting.waitMs(this.#waiting.queue.length);
    return meanMs > 0 && waitMs >= meanMs / over.limit ? over : undefined;
  }

  #grant(want: Want, server: ServerSlots, now: number): void {
    const { entry, ticket, class: name } = want;
    entry.wants.delete(ticket);
    const sequence = this.#numbers.last + 1;
    this.#ledger.use(entry, {
      ticket,
      class: name,
      server,
      at: now,
      sequence,
    });
    const slowed = server.spare;
    entry.draft.grants.push({
      ticket,
      server: server.record.id,
      ...(slowed && { slowed }),
    });
    this.#ledger.drafted.add(entry);
  }
}
