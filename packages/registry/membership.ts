import {
  EMPTY_VIEW,
  type Entry,
  type FormerView,
  type HostId,
  UNSETTLED,
  type View,
} from "#model";
import type { StaleReason } from "./commands.ts";

/**
 * Time for which former views are kept after their end, in milliseconds: the 11
 * minutes that claims need, and a minute because the clocks of two leaders and
 * of an entry may each differ by 30 s. Keeping views longer is harmless.
 */
export const FORMER_VIEW_RETENTION_MS = 12 * 60_000;

export type MembershipResult = "done" | "unchanged" | StaleReason;

/** The agreed view of entries and the former views. */
export class Membership {
  #view: View = EMPTY_VIEW;
  #former: readonly FormerView[] = [];

  get view(): View {
    return this.#view;
  }

  /** Former views, oldest first, including any that are still unsettled. */
  get former(): readonly FormerView[] {
    return this.#former;
  }

  /** Adds an entry, or replaces its former incarnation. */
  join(entry: Entry, now: number): MembershipResult {
    const current = this.#findEntry(entry.id);
    if (current !== undefined && isSame(current, entry)) return "unchanged";
    if (entry.incarnation < this.#lastIncarnation(entry.id)) {
      return "older_incarnation";
    }
    if (current?.incarnation === entry.incarnation) {
      return this.change(entry, now);
    }
    this.#replace(entry, now);
    return "done";
  }

  /** Changes an entry within its incarnation. */
  change(entry: Entry, now: number): MembershipResult {
    const present = this.#findEntry(entry.id);
    if (present === undefined) return "unknown_entry";
    if (present.incarnation !== entry.incarnation) {
      return entry.incarnation < present.incarnation
        ? "older_incarnation"
        : "unknown_entry";
    }
    if (isSame(present, entry)) return "unchanged";
    // Callers and peers have already been told to stop using it.
    if (present.state === "stopping" && entry.state === "ready") {
      return "no_way_back";
    }
    this.#replace(entry, now);
    return "done";
  }

  /** Removes an entry from the view. */
  leave(
    entry: { readonly id: HostId; readonly incarnation: number },
    now: number,
  ): MembershipResult {
    const present = this.#findEntry(entry.id);
    if (present === undefined) return "unchanged";
    if (present.incarnation !== entry.incarnation) return "older_incarnation";
    this.#startView(
      this.#view.entries.filter(({ id }) => id !== entry.id),
      now,
    );
    return "done";
  }

  /** Makes several changes, which together start at most one new view. */
  applyTogether(
    changes: readonly (() => MembershipResult)[],
  ): MembershipResult {
    const view = this.#view;
    const former = this.#former;
    const outcomes = changes.map((change) => change());
    if (!outcomes.includes("done")) return outcomes[0] ?? "unchanged";
    this.#view = { ...this.#view, epoch: view.epoch + 1 };
    const replaced = { ...view, ended: UNSETTLED };
    this.#former = view.entries.length > 0 ? [...former, replaced] : former;
    return "done";
  }

  /** Records the end of former views that no entry can use any longer. */
  settle(epochs: readonly number[], now: number): MembershipResult {
    const isSettledNow = (view: FormerView) =>
      view.ended === UNSETTLED && epochs.includes(view.epoch);
    if (!this.#former.some(isSettledNow)) return "unchanged";
    this.#former = this.#former.map((view) =>
      isSettledNow(view) ? { ...view, ended: now } : view,
    );
    return "done";
  }

  /** Drops former views that ended more than `FORMER_VIEW_RETENTION_MS` ago. */
  dropOldFormerViews(now: number): void {
    const oldestEndKept = now - FORMER_VIEW_RETENTION_MS;
    this.#former = this.#former.filter(({ ended }) => ended > oldestEndKept);
  }

  /** Restores the views of a snapshot. */
  restore(view: View, former: readonly FormerView[]): void {
    this.#view = view;
    this.#former = former;
  }

  #findEntry(id: HostId): Entry | undefined {
    return this.#view.entries.find((entry) => entry.id === id);
  }

  #lastIncarnation(id: HostId): number {
    return [...this.#former, this.#view]
      .flatMap(({ entries }) => entries.filter((entry) => entry.id === id))
      .reduce((last, { incarnation }) => Math.max(last, incarnation), 0);
  }

  #replace(entry: Entry, now: number): void {
    const others = this.#view.entries.filter(({ id }) => id !== entry.id);
    this.#startView([...others, entry], now);
  }

  #startView(entries: readonly Entry[], now: number): void {
    // An empty view is not kept: no claim can have been made in it.
    if (this.#view.entries.length > 0) {
      this.#former = [...this.#former, { ...this.#view, ended: UNSETTLED }];
    }
    this.#view = {
      epoch: this.#view.epoch + 1,
      entries: [...entries].sort((a, b) => (a.id < b.id ? -1 : 1)),
      began: now,
    };
  }
}

function isSame(a: Entry, b: Entry): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.dataCentre === b.dataCentre &&
    a.state === b.state &&
    a.http.host === b.http.host &&
    a.http.port === b.http.port &&
    a.peer.host === b.peer.host &&
    a.peer.port === b.peer.port
  );
}
