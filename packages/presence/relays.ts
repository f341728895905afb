import {
  type DataCentre,
  type Entry,
  type HostId,
  rendezvousOrder,
  type View,
} from "#model";

/**
 * Largest view in which every entry keeps a link to every other. The links of
 * a full mesh, with their keepalives, grow with the square of the entries: at
 * 316 entries they took most of the bytes between data centres.
 */
export const MAX_MESH_ENTRIES = 40;

/** Two may be lost or frozen at once before a data centre has no relay. */
export const RELAYS_PER_DATA_CENTRE = 3;

/** The entries that relay messages for each data centre. */
export type Relays = ReadonlyMap<DataCentre, readonly HostId[]>;

/**
 * Selects the relays of a view, equally at all hosts; undefined for a view that
 * is small enough for a full mesh.
 */
export function selectRelays(
  { entries }: View,
  maxMeshEntries = MAX_MESH_ENTRIES,
): Relays | undefined {
  if (entries.length <= maxMeshEntries) return undefined;
  const byDataCentre = new Map<DataCentre, Entry[]>();
  for (const entry of entries) {
    const members = byDataCentre.get(entry.dataCentre) ?? [];
    byDataCentre.set(entry.dataCentre, members);
    members.push(entry);
  }
  return new Map(
    [...byDataCentre].map(([name, members]) => [
      name,
      chooseRelays(name, members),
    ]),
  );
}

/** Whether this entry is a relay of its data centre. */
export function isRelay(
  relays: Relays,
  { id, dataCentre }: { id: HostId; dataCentre: DataCentre },
): boolean {
  return relays.get(dataCentre)?.includes(id) ?? false;
}

function chooseRelays(
  dataCentre: DataCentre,
  members: readonly Entry[],
): HostId[] {
  const ready = members.filter(({ state }) => state === "ready");
  const candidates = ready.length > 0 ? ready : members;
  return rendezvousOrder(dataCentre, candidates)
    .slice(0, RELAYS_PER_DATA_CENTRE)
    .map(({ id }) => id);
}
