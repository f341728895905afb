import { type Entry, rendezvousFirst, type View } from "#model";

/**
 * Entries above which a dispatcher takes a large part of its host's processor, as it
 * gets messages for each call of the service.
 */
const MIN_ENTRIES = 40;
/** How many times the share of the smallest host a large one has at least. */
const LARGE_HOST_RATIO = 2;

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

/**
 * The entries whose hosts have much more processor time than the smallest ones;
 * undefined if there are none, or a host's share is not known: an entry of an older
 * build chooses without the shares, and all have to choose alike.
 */
function largeHosts(entries: readonly Entry[]): Entry[] | undefined {
  if (entries.length <= MIN_ENTRIES) return undefined;
  const shares = entries.flatMap(({ processorShare }) => processorShare ?? []);
  if (shares.length < entries.length) return undefined;
  const least = LARGE_HOST_RATIO * Math.min(...shares);
  const large = entries.filter(
    ({ processorShare = 0 }) => processorShare >= least,
  );
  return large.length > 0 ? large : undefined;
}
