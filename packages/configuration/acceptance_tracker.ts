import { type Configuration, UNSETTLED, type View } from "#model";
import type { EntryTable } from "./entry_table.ts";

/**
 * Decides when a change is accepted: in force at so many entries that no entry
 * can keep serving without it.
 *
 * An entry that cannot reach control keeps serving while a majority of its view
 * has no higher version. So a change is accepted only when a majority of the
 * current view has it, and a majority of each former view knows its successor.
 * Entries that have restarted since hold no old configuration, so they count as
 * well.
 */
export class AcceptanceTracker {
  /** Views of which no majority knows the next one yet, oldest first. */
  #unsettled: { view: View; successor: number }[] = [];
  #configuration: Configuration | undefined;

  /** Takes over the next configuration of the replicated log. */
  update(configuration: Configuration): void {
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

  /** Whether the configuration of this version is accepted. */
  isAccepted(version: number, table: EntryTable): boolean {
    const configuration = this.#configuration;
    if (!configuration || configuration.version < version) return false;
    return (
      this.unsettledViews(table).length === 0 &&
      majorityHolds(configuration.view, version, table)
    );
  }

  /** Epochs of former views that can now be recorded as ended. */
  newlySettledEpochs(table: EntryTable): number[] {
    const open = new Set(this.unsettledViews(table).map(({ epoch }) => epoch));
    return (this.#configuration?.formerViews ?? [])
      .filter(({ epoch, ended }) => ended === UNSETTLED && !open.has(epoch))
      .map(({ epoch }) => epoch);
  }

  /** Former views that delay acceptance, as too many entries are silent. */
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
  const upToDate = view.entries.filter(({ id, incarnation }) => {
    const status = table.get(id);
    if (!status) return false;
    // A restarted process got its first configuration from the replicated log.
    if (status.incarnation > incarnation) return status.version > 0;
    return status.incarnation === incarnation && status.version >= version;
  });
  return view.entries.length === 0 || upToDate.length * 2 > view.entries.length;
}
