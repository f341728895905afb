import type { ClaimMessages } from "#claims";
import type { ConfigurationMessages, InventoryMessages } from "#configuration";
import type { Address, Configuration, HostId } from "#model";
import type { PresenceMessages } from "#presence";
import type { QuarantineMessages } from "#quarantine";
import type { DispatchMessages } from "#routing";
import type { Peer } from "#wire";

/** All messages that an entry exchanges with other processes. */
export type EntryMessages = ConfigurationMessages &
  InventoryMessages &
  QuarantineMessages &
  PresenceMessages &
  ClaimMessages &
  DispatchMessages;

/**
 * The processes to which an entry opens connections. Each pair of entries has
 * one, which the entry with the lower id opens.
 */
export function peersOf(
  self: HostId,
  about: { seeds: readonly Address[]; configuration: Configuration },
): Peer[] {
  const { view, controls } = about.configuration;
  const found = controls.map(({ peer }) => peer);
  const entries = view.entries.filter(({ id }) => id > self);
  return [
    ...[...about.seeds, ...found].map((address) => ({ address })),
    ...entries.map(({ id, peer }) => ({ id, address: peer })),
  ];
}
