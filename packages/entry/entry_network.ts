import type { ClaimMessages } from "#claims";
import type { ConfigurationMessages, InventoryMessages } from "#configuration";
import type { Clock } from "#model";
import type { PresenceMessages } from "#presence";
import type { QuarantineMessages } from "#quarantine";
import type { DispatchMessages } from "#routing";
import type { EntrySettings } from "#settings";
import type { Logger } from "#telemetry";
import { type Hello, PROTOCOL_VERSION, TcpNetwork } from "#wire";

/** All messages that an entry exchanges with other processes. */
export type EntryMessages = ConfigurationMessages &
  InventoryMessages &
  QuarantineMessages &
  PresenceMessages &
  ClaimMessages &
  DispatchMessages;

/** Opens an entry's side of the connections to entries and control hosts. */
export function openEntryNetwork(options: {
  settings: EntrySettings;
  incarnation: number;
  clock: Clock;
  logger: Logger;
  up: (peer: Hello) => void;
  down: (peer: Hello) => void;
}): TcpNetwork<EntryMessages> {
  const { settings, incarnation, clock, logger, up, down } = options;
  return new TcpNetwork<EntryMessages>({
    self: {
      id: settings.id,
      role: "entry",
      incarnation,
      cluster: settings.cluster,
      version: PROTOCOL_VERSION,
    },
    clock,
    observer: {
      up,
      down,
      fault: (fault, peer) => {
        if (fault.type === "link_closed") return;
        logger.warn("connection closed", { peer: peer?.id, fault });
      },
    },
  });
}
