import { type DataCentre, type HostId, hash32 } from "#model";
import type { Relays } from "./relays.ts";
import { SparseDissemination } from "./sparse_dissemination.ts";

/** What the choice of receivers depends on, for each entry. */
export interface TopologyEntry {
  readonly id: HostId;
  readonly dataCentre: DataCentre;
}

/**
 * The part of a process in the dissemination: an entry, an entry that relays
 * for its data centre, or another process that registers servers.
 */
export type TopologyPosition = "member" | "relay" | "registrar";

/** This process and the entries that it is connected to. */
export interface Topology {
  readonly self: TopologyEntry;
  readonly position?: TopologyPosition;
  readonly peers: readonly TopologyEntry[];
  /** Absent where every entry is linked to every other. */
  readonly relays?: Relays | undefined;
}

/** A received change or summary of an owner's list. */
export interface ListMessage {
  readonly owner: HostId;
  readonly from: HostId;
  /** Round of the summary, or version of the list after the change. */
  readonly round: number;
  /** Whether it concerns servers; otherwise it tells only the owner's load. */
  readonly hasServers: boolean;
}

/** Decides to which peers an entry sends or forwards messages about lists. */
export interface Dissemination {
  /** Time in milliseconds for which relays hold summaries to batch them. */
  readonly relayDelayMs: number;
  /** Peers that get the changes of this entry's own list. */
  changeTargets(topology: Topology): readonly HostId[];
  /** Peers that get this entry's summary of a round. */
  summaryTargets(
    topology: Topology,
    round: number,
    list: { readonly hasServers: boolean },
  ): readonly HostId[];
  /** Peers to forward a message about an owner's list to. */
  forwardTargets(topology: Topology, message: ListMessage): readonly HostId[];
}

/** Sends directly to every peer; suits sites of up to some tens of entries. */
export class MeshDissemination implements Dissemination {
  readonly relayDelayMs = 0;

  changeTargets({ peers }: Topology): readonly HostId[] {
    return peers.map(({ id }) => id);
  }

  summaryTargets(topology: Topology): readonly HostId[] {
    return this.changeTargets(topology);
  }

  forwardTargets(): readonly HostId[] {
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
export class RelayDissemination implements Dissemination {
  // At the target size, batching halves the packets that relays forward.
  readonly relayDelayMs = 500;
  /** Relays by topology, which is immutable and replaced when it changes. */
  readonly #relayCache = new WeakMap<Topology, HostId[][]>();

  changeTargets(topology: Topology): readonly HostId[] {
    return [
      ...sameDataCentrePeers(topology),
      ...this.#relaysOf(topology).flat(),
    ];
  }

  summaryTargets(topology: Topology, round: number): readonly HostId[] {
    const relays = this.#relaysOf(topology).map(
      (ids) => ids[round % ids.length] ?? "",
    );
    return [...sameDataCentrePeers(topology), ...relays];
  }

  forwardTargets(
    topology: Topology,
    message: Pick<ListMessage, "owner" | "from">,
  ): readonly HostId[] {
    const { self, peers } = topology;
    if (message.owner !== message.from) return [];
    const owner = peers.find(({ id }) => id === message.owner);
    if (!owner || owner.dataCentre === self.dataCentre) return [];
    return sameDataCentrePeers(topology);
  }

  #relaysOf(topology: Topology): HostId[][] {
    const cached = this.#relayCache.get(topology);
    if (cached) return cached;
    const selected = selectRelays(topology);
    this.#relayCache.set(topology, selected);
    return selected;
  }
}

/**
 * Above this number of peers, relays replace the full mesh. A mesh of 17 peers
 * costs 1 KB/s; from some tens of peers on, relays send less.
 */
const MAX_MESH_PEERS = 40;

/**
 * Uses a full mesh at small sites and the relays of the view at large ones.
 * Until the view is known, the number of connected peers decides.
 */
export class AdaptiveDissemination implements Dissemination {
  readonly #mesh = new MeshDissemination();
  readonly #relays = new RelayDissemination();
  readonly #sparse = new SparseDissemination();
  #lastStrategy: Dissemination = this.#mesh;

  /** The value for the last topology. */
  get relayDelayMs(): number {
    return this.#lastStrategy.relayDelayMs;
  }

  changeTargets(topology: Topology): readonly HostId[] {
    return this.#strategyFor(topology).changeTargets(topology);
  }

  summaryTargets(
    topology: Topology,
    round: number,
    list: { readonly hasServers: boolean },
  ): readonly HostId[] {
    return this.#strategyFor(topology).summaryTargets(topology, round, list);
  }

  forwardTargets(topology: Topology, message: ListMessage): readonly HostId[] {
    return this.#strategyFor(topology).forwardTargets(topology, message);
  }

  #strategyFor({ peers, relays }: Topology): Dissemination {
    const connected = peers.length > MAX_MESH_PEERS ? this.#relays : this.#mesh;
    this.#lastStrategy = relays ? this.#sparse : connected;
    return this.#lastStrategy;
  }
}

function sameDataCentrePeers({ self, peers }: Topology): HostId[] {
  return peers
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .map(({ id }) => id);
}

/** Two relays per other data centre; owners take them in rotation. */
function selectRelays({ self, peers }: Topology): HostId[][] {
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
