/** Identifies a process of the system; unique within a deployment. */
export type HostId = string;

/** The name of a data centre, as the document spells it. */
export type DataCentre = string;

/** An IP number or host name with a TCP port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Formats an address as `host:port`. */
export function formatAddress(address: Address): string {
  return address.host.includes(":")
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}

export type EntryState = "ready" | "stopping";

/** One entry process as the agreed view knows it. */
export interface Entry {
  readonly id: HostId;
  /** Higher at each start of the process. */
  readonly incarnation: number;
  readonly dataCentre: DataCentre;
  /** Where callers and backend servers connect (HTTP). */
  readonly http: Address;
  /** Where the system's own processes connect (TCP, CBOR frames). */
  readonly peer: Address;
  readonly state: EntryState;
}

/** The agreed set of entries; a change raises the epoch. */
export interface View {
  readonly epoch: number;
  readonly entries: readonly Entry[];
  /** Milliseconds since the Unix epoch at which the view began. */
  readonly began: number;
}

/** A view that a later one has replaced. */
export interface FormerView extends View {
  /**
   * Milliseconds since the Unix epoch from which no entry can have its
   * configuration confirmed with this view, or `UNSETTLED`.
   */
  readonly ended: number;
}

/** The end of a view that some entries may still be using. */
export const UNSETTLED = Number.MAX_SAFE_INTEGER;

export const EMPTY_VIEW: View = { epoch: 0, entries: [], began: 0 };
