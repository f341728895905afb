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

/** A bound on repeated sends to each service in any window of time. */
export interface ResendLimit {
  readonly windowMs: number;
  /** As a share of the calls in the window. */
  readonly share: number;
  /** On top of the share, over all entries together. */
  readonly extra: number;
}

/** Settings of an entry process. */
export interface EntrySettings {
  readonly id: HostId;
  readonly cluster: string;
  readonly dataCentre: DataCentre;
  readonly http: Address;
  readonly peer: Address;
  readonly metrics: Address;
  /** Peer addresses of the control hosts, or of some of them. */
  readonly control: readonly Address[];
  /**
   * Time within which a stopping entry ends; absent where it serves on until
   * all answers that name it have expired.
   */
  readonly stopWithinMs?: number;
  /** How long callers may use an answer about addresses, if not 10 s. */
  readonly addressKeepMs?: number;
  /** Age up to which an unconfirmed configuration is used, if not 3 s. */
  readonly confirmedForMs?: number;
  /** Bound on sends beyond the first of each call, over all entries. */
  readonly resendLimit?: ResendLimit;
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

/** How control hosts find each other where none are listed. */
export interface ControlDiscovery {
  /** Some control hosts, which may be down or gone. */
  readonly seeds: readonly FoundingMember[];
  /** Whether the seeds form a new cluster if all of them have empty folders. */
  readonly mayFound: boolean;
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
  /**
   * Set where members come and go by themselves: a host is then admitted when
   * it announces an empty folder, and its id is the host of its peer address.
   */
  readonly discovery?: ControlDiscovery;
  /** In hexadecimal. */
  readonly systemCredentialSha256: string;
  readonly limits: ControlLimits;
}
