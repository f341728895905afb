import type { Entry } from "./hosts.ts";

/**
 * Entries above which one that serves the others takes a large part of its host's
 * processor, as it gets messages for each call.
 */
const MIN_ENTRIES = 40;
/** How many times the share of the smallest host a large one has at least. */
const LARGE_HOST_RATIO = 2;

/**
 * The entries whose hosts have much more processor time than the smallest ones;
 * undefined if there are none, or a host's share is not known: an entry of an older
 * build chooses without the shares, and all have to choose alike.
 */
export function largeHosts(entries: readonly Entry[]): Entry[] | undefined {
  if (entries.length <= MIN_ENTRIES) return undefined;
  const shares = entries.flatMap(({ processorShare }) => processorShare ?? []);
  if (shares.length < entries.length) return undefined;
  const least = LARGE_HOST_RATIO * Math.min(...shares);
  const large = entries.filter(
    ({ processorShare = 0 }) => processorShare >= least,
  );
  return large.length > 0 ? large : undefined;
}
