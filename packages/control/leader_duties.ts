import {
  type AcceptanceTracker,
  ENTRY_LEASE_MS,
  type EntryTable,
  sameEntry,
} from "#configuration";
import type { Clock } from "#model";
import {
  dueStops,
  type EntriesChanged,
  type InFlightReport,
  type RegistryCommand,
  type RegistryConfiguration,
} from "#registry";

/**
 * Time after an election in which no entry is removed: the new leader may not
 * have heard yet of entries that send their heartbeats to other control hosts.
 */
const NEW_LEADER_GRACE_MS = ENTRY_LEASE_MS;

type EntryChange = EntriesChanged["changes"][number];

/**
 * Determines which commands the leader has to submit for entries that joined or
 * left, for views that are settled, and for planned stops.
 */
export class LeaderDuties {
  readonly #clock: Clock;
  readonly #table: EntryTable;
  readonly #acceptance: AcceptanceTracker;
  #leaderSince: number | undefined;

  constructor(options: {
    clock: Clock;
    table: EntryTable;
    acceptance: AcceptanceTracker;
  }) {
    this.#clock = options.clock;
    this.#table = options.table;
    this.#acceptance = options.acceptance;
  }

  /** Returns the commands that are due; none if this host is not the leader. */
  dueCommands(
    isLeader: boolean,
    configuration: RegistryConfiguration,
  ): RegistryCommand[] {
    const now = this.#clock.now();
    if (!isLeader) {
      this.#leaderSince = undefined;
      return [];
    }
    this.#leaderSince ??= now;
    const at = Math.floor(this.#clock.wallTime());
    const leftEntries =
      now - this.#leaderSince >= NEW_LEADER_GRACE_MS
        ? this.#leftEntries(configuration, { now, at })
        : [];
    const epochs = this.#acceptance.newlySettledEpochs(this.#table);
    const settled: RegistryCommand[] =
      epochs.length > 0 ? [{ type: "views_settled", epochs, at }] : [];
    const changes = [
      ...this.#joinedOrChangedEntries(configuration, { now, at }),
      ...leftEntries,
    ];
    const entryChanges: RegistryCommand[] =
      changes.length > 0 ? [{ type: "entries_changed", changes, at }] : [];
    return [
      ...settled,
      ...entryChanges,
      ...dueStops(configuration, at, this.#inFlightReports()),
    ];
  }

  #joinedOrChangedEntries(
    { view }: RegistryConfiguration,
    time: { now: number; at: number },
  ): EntryChange[] {
    const currentEntries = new Map(
      view.entries.map((entry) => [entry.id, entry]),
    );
    return this.#table.liveEntries(time.now).flatMap(({ entry }) => {
      if (!entry) return [];
      const current = currentEntries.get(entry.id);
      if (current && current.incarnation > entry.incarnation) return [];
      if (sameEntry(current, entry)) return [];
      const type =
        current?.incarnation === entry.incarnation
          ? "entry_changed"
          : "entry_joined";
      return [{ type, entry, at: time.at }];
    });
  }

  #leftEntries(
    { view }: RegistryConfiguration,
    time: { now: number; at: number },
  ): EntryChange[] {
    return view.entries.flatMap(({ id, incarnation }) => {
      const status = this.#table.get(id);
      if (status && time.now - status.heartbeatAt <= ENTRY_LEASE_MS) return [];
      return [{ type: "entry_left", id, incarnation, at: time.at }];
    });
  }

  #inFlightReports(): InFlightReport[] {
    return this.#table.all().map((status) => ({
      entry: status.id,
      incarnation: status.incarnation,
      version: status.version,
      inFlight: Object.fromEntries(
        status.stops.map(({ stop, inFlight }) => [stop, inFlight]),
      ),
    }));
  }
}
