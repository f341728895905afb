import type { DataCentre } from "#model";
import type { Item, ItemKey, PutItems, StoredItem } from "./items.ts";

/** An order about a data centre, by the operators. */
export interface EvacuationOrder {
  readonly dataCentre: DataCentre;
  /** False withdraws the order. */
  readonly isEvacuated: boolean;
}

/** The item that holds the order for a data centre. */
export function evacuationKey(dataCentre: DataCentre): ItemKey {
  return { kind: "evacuation", name: dataCentre };
}

/** Whether an item comes from a patch, so that reads return it. */
export function isSetByPatch({ kind }: ItemKey): boolean {
  return kind !== "evacuation";
}

/**
 * The change that carries out an order, with the version after that of the stored
 * item or removal.
 */
export function evacuationChange(
  { dataCentre, isEvacuated }: EvacuationOrder,
  stored: StoredItem | undefined,
): Pick<PutItems, "upserts" | "removals"> {
  const key = evacuationKey(dataCentre);
  const version = storedVersion(stored) + 1;
  if (!isEvacuated) return { upserts: [], removals: [{ ...key, version }] };
  const item: Item = {
    ...key,
    version,
    content: { kind: "evacuation" },
    // Builds that do not know the kind put it into their list of items.
    source: JSON.stringify({ evacuation: dataCentre, version }),
  };
  return { upserts: [item], removals: [] };
}

function storedVersion(stored: StoredItem | undefined): number {
  if (!stored) return 0;
  return stored.type === "item" ? stored.item.version : stored.removal.version;
}
