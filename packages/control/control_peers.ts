import { hostOf, type Membership } from "#agreement";
import type { Configuration, ControlPeer, HostId } from "#model";
import type { ControlSettings, FoundingMember } from "#settings";
import type { Peer } from "#wire";

/** The other control hosts: configured in the settings, or discovered. */
export class ControlPeers {
  readonly #settings: ControlSettings;
  readonly #network: { setPeers(peers: readonly Peer[]): void };
  #seeds: readonly FoundingMember[];
  /** Discovered control hosts according to the replicated configuration. */
  #replicatedPeers: readonly ControlPeer[] = [];
  /** The members of the log, also before any of its state can be applied. */
  #members: readonly HostId[] = [];

  constructor(options: {
    settings: ControlSettings;
    network: { setPeers(peers: readonly Peer[]): void };
  }) {
    this.#settings = options.settings;
    this.#network = options.network;
    this.#seeds = options.settings.discovery?.seeds ?? [];
  }

  /** The initial members where the settings list all of them. */
  get founders(): HostId[] {
    const { discovery, members } = this.#settings;
    return discovery ? [] : members.map(({ id }) => id);
  }

  /** The seeds, which form the cluster at the first start of a system. */
  get seeds(): HostId[] {
    return this.#seeds.map(({ id }) => id);
  }

  otherHosts(): HostId[] {
    return this.#others().map(({ id }) => id);
  }

  /**
   * The peer addresses of discovered control hosts, without duplicates. Their
   * id is their address, and all use the same port.
   */
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

  /** Connects to the control hosts of the replicated configuration. */
  applyConfiguration({ controls }: Configuration): void {
    if (controls === this.#replicatedPeers) return;
    this.#replicatedPeers = controls;
    this.connect();
  }

  /**
   * Connects to the members of the log. After a restart of all, what the log holds is
   * applied only once a leader was elected, which may need members that know the seeds
   * alone from their settings.
   */
  applyMembership({ voters, learners }: Membership): void {
    const members = [...new Set([...voters, ...learners].map(hostOf))].sort();
    if (members.join() === this.#members.join()) return;
    this.#members = members;
    this.connect();
  }

  replaceSeeds(seeds: readonly FoundingMember[]): void {
    this.#seeds = seeds;
    this.connect();
  }

  #others(): FoundingMember[] {
    const { discovery, members, id: self } = this.#settings;
    const candidates = discovery
      ? [
          ...this.#seeds,
          ...this.#replicatedPeers,
          ...this.addressesOf(this.#members),
        ]
      : members;
    const byId = new Map(candidates.map((member) => [member.id, member]));
    byId.delete(self);
    return [...byId.values()];
  }
}
