import { type Configuration, UNSETTLED, type View } from "#model";
import type { EntryTable } from "./entry_table.ts";

/**
 * Decides when a change is in force at so many entries that none can go on
 * serving without it.
 *
 * An entry that has lost control serves on while a majority of its view has no
 * higher version. So a change counts only when a majority of the present view
 * holds it, and each earlier view has a majority that knows its successor.
 * Entries that restarted since hold nothing old and count as well.
 */
export class Acceptance {
  /** Views without a majority that knows the next one, oldest first. */
  #unsettled: { view: View; successor: number }[] = [];
  #configuration: Configuration | undefined;

  /** Takes a newer configuration from the agreed log. */
  advance(configuration: Configuration): void {
    const before = this.#configuration;
    this.#configuration = configuration;
    const successor = configuration.version;
    if (!before) {
      for (const view of configuration.formerViews) {
        if (view.ended === UNSETTLED) this.#unsettled.push({ view, successor });
      }
      return;
    }
    if (before.view.epoch === configuration.view.epoch) return;
    this.#unsettled.push({ view: before.view, successor });
  }

  /** Whether the configuration at this version counts as accepted. */
  accepted(version: number, table: EntryTable): boolean {
    const configuration = this.#configuration;
    if (!configuration || configuration.version < version) return false;
    return (
      this.unsettledViews(table).length === 0 &&
      majorityHolds(configuration.view, version, table)
    );
  }

  /** Epochs of former views that can be declared as ended now. */
  newlySettled(table: EntryTable): number[] {
    const open = new Set(this.unsettledViews(table).map(({ epoch }) => epoch));
    return (this.#configuration?.formerViews ?? [])
      .filter(({ epoch, ended }) => ended === UNSETTLED && !open.has(epoch))
      .map(({ epoch }) => epoch);
  }

  /** Views that hold up acceptance: too many of their entries are silent. */
  unsettledViews(table: EntryTable): readonly View[] {
    this.#unsettled = this.#unsettled.filter(
      ({ view, successor }) => !majorityHolds(view, successor, table),
    );
    return this.#unsettled.map(({ view }) => view);
  }
}

function majorityHolds(
  view: View,
  version: number,
  table: EntryTable,
): boolean {
  const holders = view.entries.filter(({ id, incarnation }) => {
    const status = table.get(id);
    if (!status) return false;
    // The agreed log gave a restarted process its first configuration.
    if (status.incarnation > incarnation) return status.version > 0;
    return status.incarnation === incarnation && status.version >= version;
  });
  return view.entries.length === 0 || holders.length * 2 > view.entries.length;
}
