/** Identifies a process of mangobank; unique within a deployment. */
export type HostId = string;

/** The name of a data centre, as written in the document. */
export type DataCentre = string;

/** An IP address or host name with a TCP port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Formats an address as `host:port`, with brackets around IPv6 addresses. */
export function formatAddress(address: Address): string {
  return address.host.includes(":")
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}

export type EntryState = "ready" | "stopping";

/**
 * An entry: a load balancer process that accepts callers' requests and sends
 * them to backend servers.
 */
export interface Entry {
  readonly id: HostId;
  /** Increases with each start of the process. */
  readonly incarnation: number;
  readonly dataCentre: DataCentre;
  /** Address for callers and backend servers (HTTP). */
  readonly http: Address;
  /** Address for the other processes of mangobank (TCP, CBOR frames). */
  readonly peer: Address;
  /**
   * Address for calls that other entries pass on (HTTP); absent if it takes
   * none.
   */
  readonly handover?: Address;
  /** Processor share of the host, in cores; absent if its settings name none. */
  readonly processorShare?: number;
  readonly state: EntryState;
}

/** The set of entries that control has agreed on. */
export interface View {
  /** Increases with each change of the entries. */
  readonly epoch: number;
  readonly entries: readonly Entry[];
  /** Milliseconds since the Unix epoch at which the view began. */
  readonly began: number;
}

/** A view that a later one has replaced. */
export interface FormerView extends View {
  /**
   * Milliseconds since the Unix epoch after which no entry can have a
   * configuration with this view confirmed, or `UNSETTLED`.
   */
  readonly ended: number;
}

/** `FormerView.ended` of a view that some entries may still be using. */
export const UNSETTLED = Number.MAX_SAFE_INTEGER;

export const EMPTY_VIEW: View = { epoch: 0, entries: [], began: 0 };
