import { type DataCentre, type HostId, hash32 } from "#model";

/** An entry as the spread sees it. */
export interface SpreadEntry {
  readonly id: HostId;
  readonly dataCentre: DataCentre;
}

/** This entry and those that it has a connection to. */
export interface Topology {
  readonly self: SpreadEntry;
  readonly peers: readonly SpreadEntry[];
}

/** The port that decides which entries hear of a list from whom. */
export interface Spread {
  /** Time for which relays keep summaries to send them together. */
  readonly holdMs: number;
  /** Where an entry sends the changes of its own list. */
  changes(topology: Topology): readonly HostId[];
  /** Where it sends the summary of this round. */
  summary(topology: Topology, round: number): readonly HostId[];
  /** Where it forwards news of an owner's list that it got from a peer. */
  forward(
    topology: Topology,
    news: { readonly owner: HostId; readonly from: HostId },
  ): readonly HostId[];
}

/** Every entry sends to every other; suits some tens of entries. */
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

/** Relays of an owner in each other data centre. */
const RELAYS = 2;

/**
 * Every entry sends to those of its data centre and to relays in each other
 * one, which forward within theirs. Each owner has other relays, so that the
 * forwarding is spread over all entries. Changes go to two relays at once;
 * summaries take turns, so that a frozen relay costs every second one.
 */
export class RelaySpread implements Spread {
  // At the target size this halves the packets between relays and the rest.
  readonly holdMs = 500;
  /** A topology is replaced when it changes, so that its relays are kept. */
  readonly #relays = new WeakMap<Topology, HostId[][]>();

  changes(topology: Topology): readonly HostId[] {
    return [...near(topology), ...this.#relaysOf(topology).flat()];
  }

  summary(topology: Topology, round: number): readonly HostId[] {
    const far = this.#relaysOf(topology).map(
      (ids) => ids[round % ids.length] ?? "",
    );
    return [...near(topology), ...far];
  }

  forward(
    topology: Topology,
    news: { readonly owner: HostId; readonly from: HostId },
  ): readonly HostId[] {
    const { self, peers } = topology;
    if (news.owner !== news.from) return [];
    const owner = peers.find(({ id }) => id === news.owner);
    if (!owner || owner.dataCentre === self.dataCentre) return [];
    return near(topology);
  }

  #relaysOf(topology: Topology): HostId[][] {
    const known = this.#relays.get(topology);
    if (known) return known;
    const found = relays(topology);
    this.#relays.set(topology, found);
    return found;
  }
}

/**
 * The mesh up to this number of peers, relays above: 17 peers cost 1 KB/s, and
 * from some tens on the relays send less than the mesh.
 */
const MESH_PEERS = 40;

/** The mesh for small sites, relays for large ones. */
export class AdaptiveSpread implements Spread {
  readonly #mesh = new MeshSpread();
  readonly #relays = new RelaySpread();
  #current: Spread = this.#mesh;

  /** That of the last topology. */
  get holdMs(): number {
    return this.#current.holdMs;
  }

  changes(topology: Topology): readonly HostId[] {
    return this.#for(topology).changes(topology);
  }

  summary(topology: Topology, round: number): readonly HostId[] {
    return this.#for(topology).summary(topology, round);
  }

  /** Also forwards on a small site: an owner may count more peers. */
  forward(
    topology: Topology,
    news: { readonly owner: HostId; readonly from: HostId },
  ): readonly HostId[] {
    const many = topology.peers.length > MESH_PEERS / 2;
    return many ? this.#relays.forward(topology, news) : [];
  }

  #for({ peers }: Topology): Spread {
    this.#current = peers.length > MESH_PEERS ? this.#relays : this.#mesh;
    return this.#current;
  }
}

function near({ self, peers }: Topology): HostId[] {
  return peers
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .map(({ id }) => id);
}

/** Two relays in each other data centre, taken in turn by the owners. */
function relays({ self, peers }: Topology): HostId[][] {
  const byDataCentre = new Map<DataCentre, HostId[]>();
  for (const { id, dataCentre } of peers) {
    if (dataCentre === self.dataCentre) continue;
    const list = byDataCentre.get(dataCentre) ?? [];
    list.push(id);
    byDataCentre.set(dataCentre, list);
  }
  const own = peers.filter((p) => p.dataCentre === self.dataCentre);
  const rank = own.filter(({ id }) => id < self.id).length;
  // Without the offset, the first entries of all data centres would share the
  // same relays.
  const first = rank + hash32(self.dataCentre);
  return [...byDataCentre.values()].map((ids) => {
    const sorted = ids.sort();
    const chosen = Array.from(
      { length: Math.min(RELAYS, sorted.length) },
      (_, i) => sorted[(first + i) % sorted.length] ?? "",
    );
    return chosen;
  });
}
