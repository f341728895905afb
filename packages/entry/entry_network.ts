import { CLAIM_DECODERS, type ClaimMessages } from "#claims";
import {
  CONFIGURATION_DECODERS,
  type ConfigurationMessages,
  INVENTORY_DECODERS,
  type InventoryMessages,
} from "#configuration";
import {
  type Address,
  type Configuration,
  type Entry,
  formatAddress,
  type HostId,
  type MessageDecoders,
  rendezvousOrder,
} from "#model";
import {
  isRelay,
  PRESENCE_DECODERS,
  type PresenceMessages,
  type Relays,
  selectRelays,
} from "#presence";
import { QUARANTINE_DECODERS, type QuarantineMessages } from "#quarantine";
import { QUOTA_DECODERS, type QuotaMessages } from "#quotas";
import {
  REACHABILITY_DECODERS,
  type ReachabilityMessages,
} from "#reachability";
import {
  DISPATCH_DECODERS,
  DispatcherChoice,
  type DispatchMessages,
} from "#routing";
import type { Peer } from "#wire";
import { LINKED_CONTROL_HOSTS } from "./control_links.ts";

/** All messages between entries and between entries and control. */
export type EntryMessages = ConfigurationMessages &
  InventoryMessages &
  QuarantineMessages &
  PresenceMessages &
  ClaimMessages &
  QuotaMessages &
  ReachabilityMessages &
  DispatchMessages;

export const ENTRY_DECODERS: MessageDecoders<EntryMessages> = {
  ...CONFIGURATION_DECODERS,
  ...INVENTORY_DECODERS,
  ...QUARANTINE_DECODERS,
  ...PRESENCE_DECODERS,
  ...CLAIM_DECODERS,
  ...QUOTA_DECODERS,
  ...REACHABILITY_DECODERS,
  ...DISPATCH_DECODERS,
};

/** What the links of an entry depend on. */
export interface LinkInputs {
  readonly seeds: readonly Address[];
  readonly configuration: Configuration;
  /** Whether to link all control hosts, as relays do, at any size. */
  readonly allControls: boolean;
}

/**
 * The processes to which an entry opens connections, so that each pair has one.
 * At a small site these are all control hosts, and the entries with a higher
 * id. At a large one only relays are linked to all control hosts, and entries
 * to the relays of their data centre and the dispatchers of the services.
 */
export function peersOf(self: HostId, inputs: LinkInputs): Peer[] {
  const { view, document } = inputs.configuration;
  const controls = controlPeers(inputs);
  const relays = selectRelays(view);
  const entry = view.entries.find(({ id }) => id === self);
  if (!relays || !entry) {
    const entries = relays ? [] : view.entries.filter(({ id }) => id > self);
    return [...controls, ...entries.map(toPeer)];
  }
  const choice = new DispatcherChoice(view);
  const dispatchers = new Set(
    document.services.flatMap(
      ({ name }) => choice.dispatcherOf(name)?.id ?? [],
    ),
  );
  const links = new SparseLinks({ relays, dispatchers });
  const entries = view.entries.filter((other) => links.opens(entry, other));
  const linkedControls =
    inputs.allControls || isRelay(relays, entry)
      ? controls
      : chooseControls(self, controls);
  return [...linkedControls, ...entries.map(toPeer)];
}

/** Decides which links exist at a large site, and which end opens each. */
class SparseLinks {
  readonly #relayIds: ReadonlySet<HostId>;
  readonly #dispatchers: ReadonlySet<HostId>;

  constructor(options: {
    relays: Relays;
    dispatchers: ReadonlySet<HostId>;
  }) {
    this.#relayIds = new Set([...options.relays.values()].flat());
    this.#dispatchers = options.dispatchers;
  }

  /** Whether `entry` opens the link to `other`. */
  opens(entry: Entry, other: Entry): boolean {
    if (entry.id === other.id) return false;
    const wanted = this.#needs(entry, other);
    if (!wanted) return false;
    return !this.#needs(other, entry) || entry.id < other.id;
  }

  #needs(entry: Entry, other: Entry): boolean {
    if (this.#dispatchers.has(other.id)) return true;
    if (!this.#relayIds.has(other.id)) return false;
    return (
      this.#relayIds.has(entry.id) || entry.dataCentre === other.dataCentre
    );
  }
}

/** All known control hosts, once each. */
function controlPeers({ seeds, configuration }: LinkInputs): Peer[] {
  const { controls } = configuration;
  const addresses = [...seeds, ...controls.map(({ peer }) => peer)];
  const byName = new Map(
    addresses.map((address) => [formatAddress(address), address]),
  );
  return [...byName.values()].map((address) => ({ address }));
}

/** An entry's own order spreads the links over all control hosts. */
function chooseControls(self: HostId, controls: readonly Peer[]): Peer[] {
  const candidates = controls.map((peer) => ({
    id: formatAddress(peer.address),
    peer,
  }));
  return rendezvousOrder(self, candidates)
    .slice(0, LINKED_CONTROL_HOSTS)
    .map(({ peer }) => peer);
}

function toPeer({ id, peer }: Entry): Peer {
  return { id, address: peer };
}
