import type { Configuration, ControlPeer, HostId } from "#model";
import type { ControlSettings, FoundingMember } from "#settings";
import type { Peer } from "#wire";

/** The other control hosts: listed in the settings, or found at run time. */
export class ControlPeers {
  readonly #settings: ControlSettings;
  readonly #network: { setPeers(peers: readonly Peer[]): void };
  #seeds: readonly FoundingMember[];
  #agreed: readonly ControlPeer[] = [];

  constructor(options: {
    settings: ControlSettings;
    network: { setPeers(peers: readonly Peer[]): void };
  }) {
    this.#settings = options.settings;
    this.#network = options.network;
    this.#seeds = options.settings.discovery?.seeds ?? [];
  }

  /** The hosts that form the cluster at its first start. */
  get founders(): HostId[] {
    const { discovery, members } = this.#settings;
    if (!discovery) return members.map(({ id }) => id);
    return discovery.mayFound ? this.#seeds.map(({ id }) => id) : [];
  }

  others(): HostId[] {
    return this.#others().map(({ id }) => id);
  }

  /** Where control hosts that were found at run time are reached. */
  addressesOf(hosts: readonly HostId[]): ControlPeer[] {
    const { port } = this.#settings.peer;
    return [...new Set(hosts)]
      .sort()
      .map((id) => ({ id, peer: { host: id, port } }));
  }

  connect(): void {
    this.#network.setPeers(
      this.#others().map(({ id, peer }) => ({ id, address: peer })),
    );
  }

  /** Takes the agreed control hosts. */
  configure({ controls }: Configuration): void {
    if (controls === this.#agreed) return;
    this.#agreed = controls;
    this.connect();
  }

  setSeeds(seeds: readonly FoundingMember[]): void {
    this.#seeds = seeds;
    this.connect();
  }

  #others(): FoundingMember[] {
    const { discovery, members, id: self } = this.#settings;
    const known = discovery ? [...this.#seeds, ...this.#agreed] : members;
    const byId = new Map(known.map((member) => [member.id, member]));
    byId.delete(self);
    return [...byId.values()];
  }
}
