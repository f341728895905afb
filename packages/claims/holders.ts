import {
  type Configuration,
  DEFAULT_CLOCK_SKEW_MS,
  type Entry,
  rendezvousOrder,
  type View,
} from "#model";
import type { ClaimKey } from "./keys.ts";

/** Holders of a key in one view. */
export const HOLDERS_PER_KEY = 3;
/** For how long an entry may use a view that has ended. */
const USED_AFTER_END_MS = 3_000;

/** The part of the configuration that claims depend on. */
export type Views = Pick<Configuration, "view" | "formerViews"> & {
  readonly clockSkewMs?: number | undefined;
};

/**
 * A view counts for a key unless it ended this long before the key's creation:
 * the caller's clock and those of two hosts may differ, and an ended view is
 * still used for a moment.
 */
export function viewMarginMs({ clockSkewMs }: Pick<Views, "clockSkewMs">) {
  return 2 * (clockSkewMs ?? DEFAULT_CLOCK_SKEW_MS) + USED_AFTER_END_MS;
}

/** One process that may hold claims: a restarted one has forgotten them. */
export interface Holder {
  readonly id: string;
  readonly incarnation: number;
}

/** The holders of a key in one view, and how many must grant it. */
export interface HolderGroup {
  readonly holders: readonly Holder[];
  readonly quorum: number;
}

/** Identifies a holder: an entry with its incarnation. */
export function holderName(holder: Holder): string {
  return `${holder.id}#${holder.incarnation}`;
}

/**
 * Picks a key's holders in a view, in different data centres if possible. An
 * entry that stops holds no further keys, so that it is not missed when it ends.
 */
export function holdersOf(key: string, view: View): HolderGroup {
  const ready = view.entries.filter(({ state }) => state === "ready");
  const order = rendezvousOrder(key, ready.length > 0 ? ready : view.entries);
  const centres = new Set<string>();
  const chosen: Entry[] = [];
  for (const entry of order) {
    if (chosen.length === HOLDERS_PER_KEY) break;
    if (centres.has(entry.dataCentre)) continue;
    centres.add(entry.dataCentre);
    chosen.push(entry);
  }
  for (const entry of order) {
    if (chosen.length === HOLDERS_PER_KEY) break;
    if (!chosen.includes(entry)) chosen.push(entry);
  }
  const holders = chosen.map(({ id, incarnation }) => ({ id, incarnation }));
  return { holders, quorum: Math.floor(holders.length / 2) + 1 };
}

/**
 * The holder groups that must all grant a key: those of the present view and
 * of each former view in which the key may have been claimed. Undefined if
 * that cannot be told, because there is no view or older ones are not known.
 */
export function groupsFor(
  key: ClaimKey,
  views: Views,
): HolderGroup[] | undefined {
  if (views.view.entries.length === 0) return undefined;
  const earliest = key.created - viewMarginMs(views);
  const oldest = views.formerViews[0] ?? views.view;
  // A view that the configuration no longer lists ended when the oldest began;
  // the first view of a deployment has epoch 1 and no predecessor.
  if (oldest.epoch > 1 && oldest.began >= earliest) return undefined;
  const groups = [holdersOf(key.text, views.view)];
  for (const former of views.formerViews) {
    // Without entries, nothing can have been claimed.
    if (former.entries.length === 0 || former.ended < earliest) continue;
    groups.push(holdersOf(key.text, former));
  }
  return groups;
}

/**
 * Whether a stopping entry may end without being missed as a holder of new
 * keys: each view in which it was ready ended too long ago to count for them.
 */
export function isReleased(
  holder: Holder,
  views: Views,
  epoch: number,
): boolean {
  const margin = viewMarginMs(views);
  const holds = (view: View) =>
    view.entries.some(
      ({ id, incarnation, state }) =>
        state === "ready" &&
        id === holder.id &&
        incarnation === holder.incarnation,
    );
  if (holds(views.view)) return false;
  return views.formerViews.every(
    (former) => !holds(former) || former.ended + margin < epoch,
  );
}
