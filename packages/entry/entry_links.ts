import type { Address, Clock, Configuration, HostId } from "#model";
import type { Peer, TcpNetwork } from "#wire";
import { ControlLinks } from "./control_links.ts";
import { type EntryMessages, peersOf } from "./entry_network.ts";

export interface EntryLinksOptions {
  readonly self: HostId;
  /** Peer addresses of control hosts in the settings. */
  readonly seeds: readonly Address[];
  readonly network: TcpNetwork<EntryMessages>;
  readonly clock: Clock;
  readonly configuration: () => Configuration;
  /** Milliseconds since the configuration was last confirmed. */
  readonly confirmationAge: () => number;
  /** Entries to which calls need a link at present. */
  readonly peersOnDemand: () => readonly Peer[];
}

/** The links of an entry to control hosts and to other entries. */
export class EntryLinks {
  readonly #options: EntryLinksOptions;
  readonly #controlLinks = new ControlLinks();
  #seeds: readonly Address[];

  constructor(options: EntryLinksOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
  }

  /** Replaces the addresses of control hosts after a change of settings. */
  setSeeds(seeds: readonly Address[]): void {
    this.#seeds = seeds;
    this.connect();
  }

  /** Opens and closes links after a change of what they depend on. */
  connect(): void {
    const { self, network, configuration, peersOnDemand } = this.#options;
    const inputs = {
      seeds: this.#seeds,
      configuration: configuration(),
      allControls: this.#controlLinks.needsAll,
    };
    network.setPeers([...peersOf(self, inputs), ...peersOnDemand()]);
  }

  /** Links more or fewer control hosts, by the age of their confirmation. */
  update(): void {
    const { confirmationAge, clock } = this.#options;
    if (this.#controlLinks.update(confirmationAge(), clock.now()))
      this.connect();
  }

  connectedControls(): HostId[] {
    return this.#options.network
      .connected()
      .filter(({ role }) => role === "control")
      .map(({ id }) => id);
  }
}
