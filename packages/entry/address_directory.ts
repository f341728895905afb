import type {
  Clock,
  Configuration,
  DataCentre,
  HostId,
  Randomness,
} from "#model";
import { type AddressesResponse, AddressLookup } from "#presence";
import type { Registrations } from "#registration";
import { EventLoopLoad } from "./event_loop_load.ts";

export interface AddressDirectoryOptions {
  readonly registrations: Registrations;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** How long callers may cache an answer, in milliseconds. */
  readonly keepMs: number | undefined;
  readonly configuration: () => Configuration;
  /** Entries that have reached no server of some service for a while. */
  readonly cutOffEntries: () => ReadonlySet<HostId>;
}

const FULL_LOAD_PERCENT = 100;

/** Tells callers which entries to use, by the loads that entries report. */
export class AddressDirectory {
  readonly #options: AddressDirectoryOptions;
  readonly #lookup: AddressLookup;
  readonly #eventLoopLoad = new EventLoopLoad();

  constructor(options: AddressDirectoryOptions) {
    this.#options = options;
    this.#lookup = new AddressLookup(options.randomness, options.keepMs);
  }

  /** The entries that a caller in this data centre should use. */
  addresses(dataCentre: DataCentre | undefined): AddressesResponse {
    const { registrations, clock, configuration, cutOffEntries } =
      this.#options;
    const { view, document } = configuration();
    return this.#lookup.selectAddresses(
      dataCentre === undefined ? {} : { dataCentre },
      {
        view,
        loads: registrations.presence.entryLoads(clock.now()),
        regions: document.regions,
        cutOff: cutOffEntries(),
      },
    );
  }

  /** Reports this entry's load to the other entries. */
  reportLoad({
    stopping,
    isFull,
  }: {
    stopping: boolean;
    /** Whether callers should use other entries, whatever the load is. */
    isFull: boolean;
  }): void {
    const { registrations, clock } = this.#options;
    const measured = this.#eventLoopLoad.percent();
    const load = isFull ? FULL_LOAD_PERCENT : measured;
    const { presence } = registrations;
    registrations.execute(presence.reportLoad({ load, stopping }, clock.now()));
  }
}
