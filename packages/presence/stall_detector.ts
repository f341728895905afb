import type { HostId } from "#model";
import { STALL_CATCH_UP_MS, STALL_THRESHOLD_MS } from "./timings.ts";

/**
 * Detects that the process was stalled (frozen or blocked). Messages that
 * waited in its buffers meanwhile carry ages that are too low by up to the
 * length of the stall.
 */
export class StallDetector {
  #lastActiveAt: number | undefined;
  #stallMs = 0;
  #catchUpUntil = Number.NEGATIVE_INFINITY;
  #bufferedPeers = new Set<HostId>();

  /** Must be called at every tick and every received message. */
  noteActivity(now: number, connected: Iterable<HostId>): void {
    const gap = now - (this.#lastActiveAt ?? now);
    this.#lastActiveAt = now;
    if (gap < STALL_THRESHOLD_MS) return;
    this.#stallMs = gap;
    this.#catchUpUntil = now + STALL_CATCH_UP_MS;
    this.#bufferedPeers = new Set(connected);
  }

  /** Notes a new connection; it has no messages buffered from the stall. */
  noteConnected(peer: HostId): void {
    this.#bufferedPeers.delete(peer);
  }

  /** The earliest time at which a message from this peer can have arrived. */
  earliestReceiptTime(now: number, peer: HostId): number {
    const buffered = now < this.#catchUpUntil && this.#bufferedPeers.has(peer);
    return buffered ? now - this.#stallMs : now;
  }
}
