import type { Address, DataCentre, HostId } from "#model";

/** Limits of an entry process. */
export interface EntryLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
  readonly idleConnectionMs: number;
  readonly connectionsMax: number;
  readonly queueMaxCalls: number;
}

/** Settings of an entry process. */
export interface EntrySettings {
  readonly id: HostId;
  readonly cluster: string;
  readonly dataCentre: DataCentre;
  readonly http: Address;
  readonly peer: Address;
  readonly metrics: Address;
  /** Peer addresses of the control hosts. */
  readonly control: readonly Address[];
  readonly limits: EntryLimits;
}

/** Limits of a control process. */
export interface ControlLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly requestTimeoutMs: number;
  readonly connectionsMax: number;
}

/** A control host as the settings list it. */
export interface FoundingMember {
  readonly id: HostId;
  readonly peer: Address;
}

/** Settings of a control process. */
export interface ControlSettings {
  readonly id: HostId;
  readonly cluster: string;
  readonly dataCentre: DataCentre;
  /** Absolute path. */
  readonly dataFolder: string;
  readonly http: Address;
  readonly peer: Address;
  readonly members: readonly FoundingMember[];
  /** In hexadecimal. */
  readonly systemCredentialSha256: string;
  readonly limits: ControlLimits;
}
