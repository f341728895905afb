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
 * Grace after a host became leader: it may not have heard yet from entries
 * whose heartbeats go to other control hosts.
 */
const NEW_LEADER_GRACE_MS = ENTRY_LEASE_MS;

type EntryChange = EntriesChanged["changes"][number];

/** What a leader has to submit so that the agreed state follows events. */
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

  /** Commands that are due; none on a host that does not lead. */
  due(
    leading: boolean,
    configuration: RegistryConfiguration,
  ): RegistryCommand[] {
    const now = this.#clock.now();
    if (!leading) {
      this.#leaderSince = undefined;
      return [];
    }
    this.#leaderSince ??= now;
    const at = Math.floor(this.#clock.wallTime());
    const departures =
      now - this.#leaderSince >= NEW_LEADER_GRACE_MS
        ? this.#departures(configuration, { now, at })
        : [];
    const epochs = this.#acceptance.newlySettledEpochs(this.#table);
    const settled: RegistryCommand[] =
      epochs.length > 0 ? [{ type: "views_settled", epochs, at }] : [];
    const changes = [
      ...this.#arrivals(configuration, { now, at }),
      ...departures,
    ];
    const moves: RegistryCommand[] =
      changes.length > 0 ? [{ type: "entries_changed", changes, at }] : [];
    return [
      ...settled,
      ...moves,
      ...dueStops(configuration, at, this.#reports()),
    ];
  }

  #arrivals(
    { view }: RegistryConfiguration,
    time: { now: number; at: number },
  ): EntryChange[] {
    const present = new Map(view.entries.map((entry) => [entry.id, entry]));
    return this.#table.liveEntries(time.now).flatMap(({ entry }) => {
      if (!entry) return [];
      const known = present.get(entry.id);
      if (known && known.incarnation > entry.incarnation) return [];
      if (sameEntry(known, entry)) return [];
      const type =
        known?.incarnation === entry.incarnation
          ? "entry_changed"
          : "entry_joined";
      return [{ type, entry, at: time.at }];
    });
  }

  #departures(
    { view }: RegistryConfiguration,
    time: { now: number; at: number },
  ): EntryChange[] {
    return view.entries.flatMap(({ id, incarnation }) => {
      const status = this.#table.get(id);
      if (status && time.now - status.heartbeatAt <= ENTRY_LEASE_MS) return [];
      return [{ type: "entry_left", id, incarnation, at: time.at }];
    });
  }

  #reports(): InFlightReport[] {
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
