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
  reportLoad({ stopping }: { stopping: boolean }): void {
    const { registrations, clock } = this.#options;
    const load = this.#eventLoopLoad.percent();
    const { presence } = registrations;
    registrations.execute(presence.reportLoad({ load, stopping }, clock.now()));
  }
}
