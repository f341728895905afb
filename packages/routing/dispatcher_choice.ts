import { type Entry, largeHosts, rendezvousFirst, type View } from "#model";

/** Finds the dispatchers of services in a view, equally at all hosts. */
export class DispatcherChoice {
  readonly #candidates: readonly Entry[];

  constructor(view: View) {
    const ready = view.entries.filter(({ state }) => state === "ready");
    this.#candidates = largeHosts(ready) ?? ready;
  }

  /** The entry that dispatches a service; undefined if none is ready. */
  dispatcherOf(service: string): Entry | undefined {
    return rendezvousFirst(service, this.#candidates);
  }
}
