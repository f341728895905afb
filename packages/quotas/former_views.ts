import type { FormerView, View } from "#model";

/**
 * Time after the end of a view in which a vote by it may still count: 3 s for which an
 * entry may take it for the present one, 1.6 s of the vote, and clocks that differ.
 */
const VOTES_END_AFTER_MS = 10_000;

/**
 * The former views by which the process before this one may have given votes that count
 * after the start of this one; times are of the wall clock.
 */
export function viewsWithVotes(
  formerViews: readonly FormerView[],
  startedAt: number,
): readonly View[] {
  return formerViews.filter(
    ({ ended }) => startedAt < ended + VOTES_END_AFTER_MS,
  );
}
