import { type DataCentre, type HostId, rendezvousOrder } from "#model";

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

function near({ self, peers }: Topology): HostId[] {
  return peers
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .map(({ id }) => id);
}

function relays({ self, peers }: Topology): HostId[][] {
  const byDataCentre = new Map<DataCentre, SpreadEntry[]>();
  for (const peer of peers) {
    if (peer.dataCentre === self.dataCentre) continue;
    const list = byDataCentre.get(peer.dataCentre) ?? [];
    list.push(peer);
    byDataCentre.set(peer.dataCentre, list);
  }
  return [...byDataCentre.values()].map((list) =>
    rendezvousOrder(self.id, list)
      .slice(0, RELAYS)
      .map(({ id }) => id),
  );
}
