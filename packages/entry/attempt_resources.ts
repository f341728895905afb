import type {
  HeldResources,
  ResourceKind,
  ResourceOwner,
} from "./held_resources.ts";

interface Held {
  readonly giveBack: () => void;
  readonly recordEnd: () => void;
}

/**
 * Owns what one attempt of a call has taken: its place in the queue, its slot at the
 * server, its connection. Whichever way the attempt ends, `release` gives back all that
 * is still held.
 */
export class AttemptResources {
  readonly #registry: HeldResources;
  readonly #owner: ResourceOwner;
  readonly #held = new Map<ResourceKind, Held>();
  #isReleased = false;

  constructor(registry: HeldResources, owner: ResourceOwner) {
    this.#registry = registry;
    this.#owner = owner;
  }

  /** Takes something over; gives it back at once if the attempt was released before. */
  take(kind: ResourceKind, giveBack: () => void): void {
    if (this.#isReleased) {
      giveBack();
      return;
    }
    const recordEnd = this.#registry.take(kind, this.#owner);
    this.#held.set(kind, { giveBack, recordEnd });
  }

  /** Records that something has ended by itself. */
  end(kind: ResourceKind): void {
    this.#held.get(kind)?.recordEnd();
    this.#held.delete(kind);
  }

  /** Gives one thing back, if it is still held. */
  giveBack(kind: ResourceKind): void {
    const held = this.#held.get(kind);
    this.end(kind);
    held?.giveBack();
  }

  /** Gives back all that is still held. */
  release(): void {
    this.#isReleased = true;
    for (const kind of [...this.#held.keys()]) this.giveBack(kind);
  }
}
