import type { DataCentre, HostId } from "#model";
import type { Dissemination, ListMessage, Topology } from "./dissemination.ts";

/** Relays of each data centre that get a change directly from its sender. */
const CHANGE_COPIES = 2;

/**
 * Disseminates lists where an entry is linked only to the relays of its data
 * centre, and relays to those of all others. An entry sends to its relays;
 * these forward within their data centre and to the relays of the others, which
 * forward within theirs. Summaries of lists without servers tell only the load
 * of an entry, which callers of the same data centre need, and stay there.
 */
export class SparseDissemination implements Dissemination {
  // Batches the summaries of a data centre into few messages for each entry.
  readonly relayDelayMs = 500;

  changeTargets(topology: Topology): readonly HostId[] {
    switch (topology.position) {
      case "member":
        return connectedRelays(topology, topology.self.dataCentre);
      case "relay":
        return [
          ...localPeers(topology),
          ...remoteRelays(topology, { copies: CHANGE_COPIES, round: 0 }),
        ];
      default:
        return remoteRelays(topology, { copies: CHANGE_COPIES, round: 0 });
    }
  }

  summaryTargets(
    topology: Topology,
    round: number,
    { hasServers }: { hasServers: boolean },
  ): readonly HostId[] {
    const one = { copies: 1, round };
    switch (topology.position) {
      case "member":
        return rotate(connectedRelays(topology, topology.self.dataCentre), one);
      case "relay":
        return [
          ...localPeers(topology),
          ...(hasServers ? remoteRelays(topology, one) : []),
        ];
      default:
        return remoteRelays(topology, one);
    }
  }

  forwardTargets(topology: Topology, message: ListMessage): readonly HostId[] {
    if (topology.position !== "relay") return [];
    const { owner, from, round, hasServers } = message;
    const locals = localPeers(topology).filter((id) => id !== from);
    const sender = topology.peers.find(({ id }) => id === from);
    const isLocal = sender?.dataCentre === topology.self.dataCentre;
    if (!isLocal) return locals;
    const isRelay = topology.relays
      ?.get(topology.self.dataCentre)
      ?.includes(from);
    // A relay of the same data centre has forwarded it to all by itself.
    if (isRelay || owner !== from) return [];
    if (!hasServers) return locals;
    return [...locals, ...remoteRelays(topology, { copies: 1, round })];
  }
}

function localPeers({ self, peers }: Topology): HostId[] {
  return peers
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .map(({ id }) => id);
}

/** The connected relays of a data centre, without this entry. */
function connectedRelays(
  { self, peers, relays }: Topology,
  dataCentre: DataCentre,
): HostId[] {
  const connected = new Set(peers.map(({ id }) => id));
  const ids = relays?.get(dataCentre) ?? [];
  return ids.filter((id) => id !== self.id && connected.has(id));
}

/**
 * Some connected relays of each data centre other than this entry's own; of
 * all data centres for a registrar, which belongs to none of them.
 */
function remoteRelays(
  topology: Topology,
  choice: { copies: number; round: number },
): HostId[] {
  const { self, relays, position } = topology;
  const names = [...(relays?.keys() ?? [])].filter(
    (name) => position === "registrar" || name !== self.dataCentre,
  );
  return names.flatMap((name) =>
    rotate(connectedRelays(topology, name), choice),
  );
}

/** Takes the given number of ids, starting at another one in each round. */
function rotate(
  ids: readonly HostId[],
  { copies, round }: { copies: number; round: number },
): HostId[] {
  const count = Math.min(copies, ids.length);
  return Array.from(
    { length: count },
    (_, index) => ids[(round + index) % ids.length] ?? "",
  );
}
