import type { BackendServer, Entry, HostId } from "#model";
import type { ConfigurationChange } from "./change.ts";

/** Calls in flight from one entry to the servers of a planned stop. */
export interface StopReport {
  readonly stop: string;
  readonly inFlight: number;
}

/**
 * An entry's heartbeat to control. Reports the configuration in force there and
 * requests a newer one.
 */
export interface EntryHeartbeat {
  /** Present if it has changed or the control host may not know it. */
  readonly entry?: Entry;
  /** The configuration version that the entry has in force. */
  readonly version: number;
  /** Repeated in the response to this heartbeat. */
  readonly sequence: number;
  readonly stops: readonly StopReport[];
}

/** Control's response to a heartbeat, or a push if there is no sequence. */
export interface ConfigurationUpdate {
  /** The version in force, as of a read confirmed by a majority. */
  readonly version: number;
  readonly sequence?: number;
  /** Absent if the entry already has this version. */
  readonly change?: ConfigurationChange;
  /** Time for which the sender has had this version; present with a change. */
  readonly ageMs?: number;
}

/**
 * The last heartbeat of an entry, relayed to the other control hosts. An array,
 * because field names would make up most of the bytes of a message that each
 * host sends continuously.
 */
export type RelayedHeartbeat = readonly [
  id: HostId,
  incarnation: number,
  version: number,
  /** Time since the heartbeat, on the sender's clock. */
  ageMs: number,
  stops: readonly StopReport[],
  /** Present if the agreed view does not contain exactly this record. */
  entry?: Entry,
];

/** Messages by which control requests the servers that an entry knows. */
export interface InventoryMessages {
  servers_ask: { readonly question: number };
  servers_answer: {
    readonly question: number;
    readonly servers: readonly BackendServer[];
    /** True if more parts of this response follow. */
    readonly more: boolean;
  };
}

/** Messages that distribute and confirm the configuration. */
export interface ConfigurationMessages {
  /** Entry to control. */
  confirm: EntryHeartbeat;
  /** Control to entry. */
  state: ConfigurationUpdate;
  /** Control to control. */
  entries_seen: { readonly entries: readonly RelayedHeartbeat[] };
  /** Entry to entry: requests the version in force there. */
  version_ask: { readonly version: number; readonly round: number };
  /** Entry to entry: the version in force at the sender. */
  version_answer: { readonly version: number; readonly round: number };
  /** Entry to entry: requests the changes since this version. */
  version_want: { readonly version: number };
  /** Entry to entry: the change that a peer with a lower version lacks. */
  version_push: {
    readonly change: ConfigurationChange;
    /** Time for which the sender has had this version. */
    readonly ageMs: number;
  };
}
