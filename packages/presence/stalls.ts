import type { HostId } from "#model";
import { CATCH_UP_MS, STALL_MS } from "./timings.ts";

/**
 * Notices that the process stood still. Messages that waited in its buffers
 * meanwhile carry ages that are too low by up to the length of the stall.
 */
export class Stalls {
  #activeAt: number | undefined;
  #stallMs = 0;
  #until = Number.NEGATIVE_INFINITY;
  #peers = new Set<HostId>();

  /** Called at every tick and message. */
  active(now: number, connected: Iterable<HostId>): void {
    const gap = now - (this.#activeAt ?? now);
    this.#activeAt = now;
    if (gap < STALL_MS) return;
    this.#stallMs = gap;
    this.#until = now + CATCH_UP_MS;
    this.#peers = new Set(connected);
  }

  /** A connection that is newer than the stall has nothing in buffers. */
  connected(peer: HostId): void {
    this.#peers.delete(peer);
  }

  /** The time at which a message from this peer came at the earliest. */
  receivedAt(now: number, peer: HostId): number {
    const buffered = now < this.#until && this.#peers.has(peer);
    return buffered ? now - this.#stallMs : now;
  }
}
