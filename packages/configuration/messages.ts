import type { BackendServer, Entry, HostId } from "#model";
import type { ConfigurationChange } from "./change.ts";

/** Calls in flight at one entry on the servers of a planned stop. */
export interface StopReport {
  readonly stop: string;
  readonly inFlight: number;
}

/** An entry's heartbeat: what it has in force, and that it asks for more. */
export interface Confirmation {
  /** Sent when the control host may not have it, or it has changed. */
  readonly entry?: Entry;
  /** The configuration version that the entry has in force. */
  readonly version: number;
  /** Matches the answer to this heartbeat. */
  readonly sequence: number;
  readonly stops: readonly StopReport[];
}

/** Control's answer, or a push if there is no sequence. */
export interface ConfigurationState {
  /** The version in force at a read confirmed by a majority. */
  readonly version: number;
  readonly sequence?: number;
  /** Absent if the entry has that version. */
  readonly change?: ConfigurationChange;
}

/**
 * What a control host last heard from an entry. An array, because field names
 * would be most of the bytes of a message that each host sends all the time.
 */
export type Sighting = readonly [
  id: HostId,
  incarnation: number,
  version: number,
  /** Time since the heartbeat, on the sender's clock. */
  ageMs: number,
  stops: readonly StopReport[],
  /** Present if the agreed view does not hold exactly this record. */
  entry?: Entry,
];

/** Messages by which control asks an entry for the servers it knows. */
export interface InventoryMessages {
  servers_ask: { readonly question: number };
  servers_answer: {
    readonly question: number;
    readonly servers: readonly BackendServer[];
    /** More parts of the same answer follow. */
    readonly more: boolean;
  };
}

/** Messages that spread and confirm the configuration. */
export interface ConfigurationMessages {
  /** Entry to control. */
  confirm: Confirmation;
  /** Control to entry. */
  state: ConfigurationState;
  /** Control to control. */
  entries_seen: { readonly entries: readonly Sighting[] };
  /** Entry to entry: asks for the version in force there. */
  version_ask: { readonly version: number; readonly round: number };
  /** Entry to entry. */
  version_answer: { readonly version: number; readonly round: number };
  /** Entry to entry: asks for what is missing since this version. */
  version_want: { readonly version: number };
  /** Entry to entry: what a peer with a lower version lacks. */
  version_push: { readonly change: ConfigurationChange };
}
