import type { Snapshot } from "./entry_log.ts";

/** Messages with entries that may be unanswered at a time. */
const MAX_IN_FLIGHT = 8;
/** Silence of more than two heartbeats. */
const SILENT_AFTER_MS = 700;

interface Transfer {
  readonly snapshot: Snapshot;
  /** The next byte that the peer needs. */
  offset: number;
}

/** What a leader knows about the log of one other member. */
export class PeerProgress {
  /** Index up to which the peer's synced log agrees with the leader's. */
  match = 0;
  /** The next entry to send. */
  next: number;
  /** Newest round that the peer has answered. */
  round = 0;
  /** Round of the newest message to the peer. */
  sentRound = 0;
  heardAt: number | undefined;
  transfer: Transfer | undefined;
  /** The point where the logs agree is still being looked for. */
  #probing = true;
  #inFlight = 0;

  constructor(next: number) {
    this.next = next;
  }

  get mayStream(): boolean {
    return !this.#probing && !this.transfer && this.#inFlight < MAX_IN_FLIGHT;
  }

  heard(round: number, now: number): void {
    this.round = Math.max(this.round, round);
    this.heardAt = now;
  }

  sent(entries: number, round: number): void {
    this.sentRound = round;
    this.next += entries;
    if (entries > 0) this.#inFlight++;
  }

  accepted(match: number): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    if (match < this.match) return;
    this.match = match;
    if (this.transfer) {
      if (match < this.transfer.snapshot.index) return;
      this.transfer = undefined;
      this.#probing = true;
    }
    this.next = this.#probing ? match + 1 : Math.max(this.next, match + 1);
    this.#probing = false;
    if (match === this.next - 1) this.#inFlight = 0;
  }

  /**
   * Steps back to look for the point of agreement; `last` is the last index
   * that the peer has. False if the answer is outdated.
   */
  refused(previous: number, last: number): boolean {
    if (previous <= this.match || this.transfer) return false;
    if (this.#probing && previous !== this.next - 1) return false;
    this.#probing = true;
    this.#inFlight = 0;
    this.next = Math.max(this.match + 1, Math.min(previous, last + 1));
    return true;
  }

  /** Stops streaming to a peer that does not answer. */
  checkLoss(now: number): void {
    if (this.#probing || this.transfer || this.heardAt === undefined) return;
    if (now - this.heardAt < SILENT_AFTER_MS) return;
    this.#probing = true;
    this.#inFlight = 0;
    this.next = this.match + 1;
  }

  startTransfer(snapshot: Snapshot): void {
    this.transfer = { snapshot, offset: 0 };
  }

  /** Whether the next chunk is due. */
  chunkReceived(index: number, offset: number): boolean {
    const { transfer } = this;
    if (transfer?.snapshot.index !== index) return false;
    if (offset === transfer.offset) return false;
    transfer.offset = offset;
    return offset < transfer.snapshot.bytes.length;
  }
}
