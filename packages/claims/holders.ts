import {
  type Configuration,
  DEFAULT_CLOCK_SKEW_MS,
  type Entry,
  rendezvousOrder,
  type View,
} from "#model";
import type { ClaimKey } from "./keys.ts";

/** Number of holders of a key in one view. */
export const HOLDERS_PER_KEY = 3;
/** Longest time for which an entry may still use a view that has ended. */
const VIEW_USE_AFTER_END_MS = 3_000;

/** The part of the configuration that claims depend on. */
export type ClaimViews = Pick<Configuration, "view" | "formerViews"> & {
  readonly clockSkewMs?: number | undefined;
};

/**
 * A view is relevant for a key unless it ended this long before the key was
 * created, in milliseconds. Covers the clock differences between the caller and
 * two hosts, and the time for which an ended view is still used.
 */
export function viewMarginMs({ clockSkewMs }: Pick<ClaimViews, "clockSkewMs">) {
  return 2 * (clockSkewMs ?? DEFAULT_CLOCK_SKEW_MS) + VIEW_USE_AFTER_END_MS;
}

/** One incarnation of an entry; claims held by an earlier one are lost. */
export interface Holder {
  readonly id: string;
  readonly incarnation: number;
}

/**
 * The holders of a key in one view, and the number of grants that is needed.
 */
export interface HolderGroup {
  readonly holders: readonly Holder[];
  readonly quorum: number;
}

/** Unique map key of a holder. */
export function holderKey(holder: Holder): string {
  return `${holder.id}#${holder.incarnation}`;
}

/**
 * Selects the holders of a key in a view, in different data centres if
 * possible. Stopping entries are left out, so that no new key needs them when
 * they exit.
 */
export function selectHolders(key: string, view: View): HolderGroup {
  const ready = view.entries.filter(({ state }) => state === "ready");
  const candidates = rendezvousOrder(
    key,
    ready.length > 0 ? ready : view.entries,
  );
  const dataCentres = new Set<string>();
  const chosen: Entry[] = [];
  for (const entry of candidates) {
    if (chosen.length === HOLDERS_PER_KEY) break;
    if (dataCentres.has(entry.dataCentre)) continue;
    dataCentres.add(entry.dataCentre);
    chosen.push(entry);
  }
  for (const entry of candidates) {
    if (chosen.length === HOLDERS_PER_KEY) break;
    if (!chosen.includes(entry)) chosen.push(entry);
  }
  const holders = chosen.map(({ id, incarnation }) => ({ id, incarnation }));
  return { holders, quorum: Math.floor(holders.length / 2) + 1 };
}

/**
 * The holder groups that must all grant a key: those of the current view and of
 * each former view in which the key may have been claimed. Undefined if there
 * is no view, or if the former views are not known for long enough.
 */
export function holderGroupsFor(
  key: ClaimKey,
  views: ClaimViews,
): HolderGroup[] | undefined {
  if (views.view.entries.length === 0) return undefined;
  const validFrom = key.created - viewMarginMs(views);
  const oldest = views.formerViews[0] ?? views.view;
  // The views that are no longer listed ended by the time the oldest one began;
  // the first view of a deployment has epoch 1 and no predecessor.
  if (oldest.epoch > 1 && oldest.began >= validFrom) return undefined;
  const groups = [selectHolders(key.text, views.view)];
  for (const former of views.formerViews) {
    // Nothing can have been claimed in a view without entries.
    if (former.entries.length === 0 || former.ended < validFrom) continue;
    groups.push(selectHolders(key.text, former));
  }
  return groups;
}

/**
 * Whether a stopping entry may exit at `wallTime` (in milliseconds) without
 * being needed as a holder of new keys: each view in which it was ready ended
 * too long ago to be relevant.
 */
export function mayStopHolding(
  holder: Holder,
  views: ClaimViews,
  wallTime: number,
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
    (former) => !holds(former) || former.ended + margin < wallTime,
  );
}
