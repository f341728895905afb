import { type DataCentre, type HostId, hash32 } from "#model";

/** What the choice of receivers depends on, for each entry. */
export interface SpreadEntry {
  readonly id: HostId;
  readonly dataCentre: DataCentre;
}

/** This entry and the peers that it is connected to. */
export interface Topology {
  readonly self: SpreadEntry;
  readonly peers: readonly SpreadEntry[];
}

/** Decides to which peers an entry sends or forwards messages about lists. */
export interface Spread {
  /** Time in milliseconds for which relays hold summaries to batch them. */
  readonly holdMs: number;
  /** Peers that get the changes of this entry's own list. */
  changes(topology: Topology): readonly HostId[];
  /** Peers that get this entry's summary of a round. */
  summary(topology: Topology, round: number): readonly HostId[];
  /** Peers to forward a message about an owner's list to. */
  forward(
    topology: Topology,
    news: { readonly owner: HostId; readonly from: HostId },
  ): readonly HostId[];
}

/** Sends directly to every peer; suits sites of up to some tens of entries. */
export class MeshSpread implements Spread {
  readonly holdMs = 0;

  changes({ peers }: Topology): readonly HostId[] {
    return peers.map(({ id }) => id);
  }

  summary(topology: Topology): readonly HostId[] {
    return this.changes(topology);
  }

  forward(): readonly HostId[] {
    return [];
  }
}

/** Number of relays of an owner in each other data centre. */
const RELAYS_PER_DATA_CENTRE = 2;

/**
 * Sends to the peers in the own data centre and to two relays in each other
 * one, which forward within theirs. Owners use different relays, so that the
 * forwarding is spread over all entries. Changes go to both relays; summaries
 * alternate between them, so that a frozen relay loses every second one.
 */
export class RelaySpread implements Spread {
  // At the target size, batching halves the packets that relays forward.
  readonly holdMs = 500;
  /** Cache; a topology is immutable and replaced when it changes. */
  readonly selectRelays = new WeakMap<Topology, HostId[][]>();

  changes(topology: Topology): readonly HostId[] {
    return [
      ...sameDataCentrePeers(topology),
      ...this.#relaysOf(topology).flat(),
    ];
  }

  summary(topology: Topology, round: number): readonly HostId[] {
    const relays = this.#relaysOf(topology).map(
      (ids) => ids[round % ids.length] ?? "",
    );
    return [...sameDataCentrePeers(topology), ...relays];
  }

  forward(
    topology: Topology,
    news: { readonly owner: HostId; readonly from: HostId },
  ): readonly HostId[] {
    const { self, peers } = topology;
    if (news.owner !== news.from) return [];
    const owner = peers.find(({ id }) => id === news.owner);
    if (!owner || owner.dataCentre === self.dataCentre) return [];
    return sameDataCentrePeers(topology);
  }

  #relaysOf(topology: Topology): HostId[][] {
    const cached = this.selectRelays.get(topology);
    if (cached) return cached;
    const selected = relays(topology);
    this.selectRelays.set(topology, selected);
    return selected;
  }
}

/**
 * Above this number of peers, relays replace the full mesh. A mesh of 17 peers
 * costs 1 KB/s; from some tens of peers on, relays send less.
 */
const MAX_MESH_PEERS = 40;

/** Uses a full mesh at small sites and relays at large ones. */
export class AdaptiveSpread implements Spread {
  readonly #mesh = new MeshSpread();
  readonly #relays = new RelaySpread();
  #lastStrategy: Spread = this.#mesh;

  /** The value for the last topology. */
  get holdMs(): number {
    return this.#lastStrategy.holdMs;
  }

  changes(topology: Topology): readonly HostId[] {
    return this.#strategyFor(topology).changes(topology);
  }

  summary(topology: Topology, round: number): readonly HostId[] {
    return this.#strategyFor(topology).summary(topology, round);
  }

  /** Also forwards below the limit, as the owner may have more peers. */
  forward(
    topology: Topology,
    news: { readonly owner: HostId; readonly from: HostId },
  ): readonly HostId[] {
    const mayNeedRelays = topology.peers.length > MAX_MESH_PEERS / 2;
    return mayNeedRelays ? this.#relays.forward(topology, news) : [];
  }

  #strategyFor({ peers }: Topology): Spread {
    this.#lastStrategy =
      peers.length > MAX_MESH_PEERS ? this.#relays : this.#mesh;
    return this.#lastStrategy;
  }
}

function sameDataCentrePeers({ self, peers }: Topology): HostId[] {
  return peers
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .map(({ id }) => id);
}

/** Two relays per other data centre; owners take them in rotation. */
function relays({ self, peers }: Topology): HostId[][] {
  const byDataCentre = new Map<DataCentre, HostId[]>();
  for (const { id, dataCentre } of peers) {
    if (dataCentre === self.dataCentre) continue;
    const ids = byDataCentre.get(dataCentre) ?? [];
    ids.push(id);
    byDataCentre.set(dataCentre, ids);
  }
  const localPeers = peers.filter((p) => p.dataCentre === self.dataCentre);
  const rank = localPeers.filter(({ id }) => id < self.id).length;
  // The hash offsets the rotation per data centre; without it, the first
  // entries of all data centres would share the same relays.
  const first = rank + hash32(self.dataCentre);
  return [...byDataCentre.values()].map((ids) => {
    const sorted = ids.sort();
    const chosen = Array.from(
      { length: Math.min(RELAYS_PER_DATA_CENTRE, sorted.length) },
      (_, i) => sorted[(first + i) % sorted.length] ?? "",
    );
    return chosen;
  });
}
