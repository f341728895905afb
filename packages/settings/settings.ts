import type { ClientBounds } from "#client_limits";
import type { Address, DataCentre, HostId } from "#model";

/** Limits of an entry process. */
export interface EntryLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly responseBodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
  readonly idleConnectionMs: number;
  readonly connectionsMax: number;
  readonly queueMaxCalls: number;
}

/** Limit on retries per service within a sliding time window. */
export interface ResendLimit {
  readonly windowMs: number;
  /** Retries allowed as a fraction of the calls in the window. */
  readonly share: number;
  /** Retries allowed in addition, over all entries together. */
  readonly extra: number;
}

/** By how much the requests of a tenant may exceed its quota. */
export interface QuotaTolerance {
  /** Fraction of what the quota allows within a window. */
  readonly overage: number;
  /** Requests within a window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Settings of an entry process. */
export interface EntrySettings {
  readonly id: HostId;
  readonly cluster: string;
  readonly dataCentre: DataCentre;
  readonly http: Address;
  readonly peer: Address;
  readonly metrics: Address;
  /**
   * Where other entries pass calls on that they cannot send to a server; if
   * absent, this entry takes none.
   */
  readonly handover?: Address;
  /** Peer addresses of control hosts; need not list all of them. */
  readonly control: readonly Address[];
  /**
   * Time within which a stopping entry exits, in milliseconds. If absent, it
   * serves until all lookup answers that name it have expired.
   */
  readonly stopWithinMs?: number;
  /** Lifetime of lookup answers at callers, in milliseconds; default 10 s. */
  readonly addressKeepMs?: number;
  /**
   * Time since its last confirmation for which a configuration may be used, in
   * milliseconds; default 3 s.
   */
  readonly confirmedForMs?: number;
  /**
   * Time after the acknowledgement of a key's removal at which its requests run
   * nowhere, in milliseconds; no bound if absent.
   */
  readonly revokeWithinMs?: number | undefined;
  /** Processor share of the host, in cores; absent if it is not known. */
  readonly processorShare?: number | undefined;
  /**
   * Bounds on what callers and other clients make the process hold; unbounded if
   * absent.
   */
  readonly clients?: ClientBounds | undefined;
  /** Open connections to servers; unbounded if absent. */
  readonly serverConnectionsMax?: number | undefined;
  /** Limit on retries, that is on sends of a call after its first one. */
  readonly resendLimit?: ResendLimit;
  /** Tolerance of tenants' quotas; the default applies if absent. */
  readonly quotaBounds?: QuotaTolerance;
  readonly limits: EntryLimits;
}

/** Limits of a control process. */
export interface ControlLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly requestTimeoutMs: number;
  readonly connectionsMax: number;
}

/** A control host of the settings: its id and peer address. */
export interface FoundingMember {
  readonly id: HostId;
  readonly peer: Address;
}

/** How control hosts find each other if the settings do not list members. */
export interface ControlDiscovery {
  /** Control hosts to contact first; some may be down or removed. */
  readonly seeds: readonly FoundingMember[];
  /**
   * Whether the system starts for the first time. The data folders that the seeds
   * create then are the founding voters of a new cluster.
   */
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
   * Set if members join automatically: a host is then admitted when it
   * announces an empty data folder, and its id is the host of its peer address.
   */
  readonly discovery?: ControlDiscovery;
  /** SHA-256 of the system credential, in hexadecimal. */
  readonly systemCredentialSha256: string;
  readonly limits: ControlLimits;
}
