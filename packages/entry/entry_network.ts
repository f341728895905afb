import type { ClaimMessages } from "#claims";
import type { ConfigurationMessages, InventoryMessages } from "#configuration";
import type { Address, Configuration, HostId } from "#model";
import type { PresenceMessages } from "#presence";
import type { QuarantineMessages } from "#quarantine";
import type { DispatchMessages } from "#routing";
import type { Peer } from "#wire";

/** All messages between entries and between entries and control. */
export type EntryMessages = ConfigurationMessages &
  InventoryMessages &
  QuarantineMessages &
  PresenceMessages &
  ClaimMessages &
  DispatchMessages;

/**
 * The processes to which an entry opens connections: all control hosts, and the
 * entries with a higher id, so that each pair of entries has one connection.
 */
export function peersOf(
  self: HostId,
  options: { seeds: readonly Address[]; configuration: Configuration },
): Peer[] {
  const { view, controls } = options.configuration;
  const controlAddresses = controls.map(({ peer }) => peer);
  const entries = view.entries.filter(({ id }) => id > self);
  return [
    ...[...options.seeds, ...controlAddresses].map((address) => ({ address })),
    ...entries.map(({ id, peer }) => ({ id, address: peer })),
  ];
}
