import type { Snapshot } from "./entry_log.ts";

/** Append messages with entries that may await a reply at a time. */
const MAX_APPENDS_IN_FLIGHT = 8;
/**
 * Time without a reply after which messages count as lost; a little more than
 * two heartbeat intervals.
 */
const REPLY_TIMEOUT_MS = 700;

/** A snapshot that is being sent to a peer in chunks. */
interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  /** The next byte that the peer needs. */
  offset: number;
}

/**
 * The replication state of one peer, kept by the leader. While probing, the
 * leader looks for the last index at which both logs agree; after that it sends
 * entries without waiting for each reply.
 */
export class PeerProgress {
  /** Index up to which the peer's synced log agrees with the leader's. */
  match = 0;
  /** The next entry to send. */
  nextIndex: number;
  /** Newest heartbeat round that the peer has replied to. */
  repliedRound = 0;
  /** Heartbeat round of the newest message to the peer. */
  sentRound = 0;
  /** When the peer last replied, in milliseconds of the core's clock. */
  repliedAt: number | undefined;
  /** The last connection to it was closed, and it has not replied since. */
  isDisconnected = false;
  transfer: SnapshotTransfer | undefined;
  /** Index of the membership that no longer holds the peer. */
  removalIndex: number | undefined;
  /** The last index at which both logs agree is not known yet. */
  #isProbing = true;
  #appendsInFlight = 0;

  constructor(next: number) {
    this.nextIndex = next;
  }

  get canSendEntries(): boolean {
    return (
      !this.#isProbing &&
      !this.transfer &&
      this.#appendsInFlight < MAX_APPENDS_IN_FLIGHT
    );
  }

  recordReply(round: number, now: number): void {
    this.repliedRound = Math.max(this.repliedRound, round);
    this.repliedAt = now;
    this.isDisconnected = false;
  }

  recordSent(entries: number, round: number): void {
    this.sentRound = round;
    this.nextIndex += entries;
    if (entries > 0) this.#appendsInFlight++;
  }

  handleAccepted(match: number): void {
    this.#appendsInFlight = Math.max(0, this.#appendsInFlight - 1);
    if (match < this.match) return;
    this.match = match;
    if (this.transfer) {
      if (match < this.transfer.snapshot.index) return;
      this.transfer = undefined;
      this.#isProbing = true;
    }
    this.nextIndex = this.#isProbing
      ? match + 1
      : Math.max(this.nextIndex, match + 1);
    this.#isProbing = false;
    if (match === this.nextIndex - 1) this.#appendsInFlight = 0;
  }

  /**
   * Handles a rejected append: goes back to probing at an earlier index.
   * `previous` is the index that did not match, `last` the highest index that
   * may match. Returns false if the reply is outdated.
   */
  handleRejected(previous: number, last: number): boolean {
    if (previous <= this.match || this.transfer) return false;
    if (this.#isProbing && previous !== this.nextIndex - 1) return false;
    this.#isProbing = true;
    this.#appendsInFlight = 0;
    this.nextIndex = Math.max(this.match + 1, Math.min(previous, last + 1));
    return true;
  }

  /** Returns to probing if the peer has not replied for too long. */
  probeIfSilent(now: number): void {
    if (this.#isProbing || this.transfer || this.repliedAt === undefined)
      return;
    if (now - this.repliedAt < REPLY_TIMEOUT_MS) return;
    this.#isProbing = true;
    this.#appendsInFlight = 0;
    this.nextIndex = this.match + 1;
  }

  startSnapshotTransfer(snapshot: Snapshot): void {
    this.transfer = { snapshot, offset: 0 };
  }

  /**
   * Notes how much of the snapshot the peer has. Returns whether the next chunk
   * is to be sent.
   */
  recordChunkOffset(index: number, offset: number): boolean {
    const { transfer } = this;
    if (transfer?.snapshot.index !== index) return false;
    if (offset === transfer.offset) return false;
    transfer.offset = offset;
    return offset < transfer.snapshot.bytes.length;
  }
}
