/** Identifies a request, equally at all entries and for all its resends. */
export type Fingerprint = string;

/** One incarnation of a backend server. */
export interface ServerIncarnation {
  /** `backendServerKey` of the server. */
  readonly server: string;
  readonly incarnation: number;
  readonly dataCentre: string;
}

/** The loss of a server as one entry observed it. */
export interface LossReport extends ServerIncarnation {
  /** Age of the loss when the message was sent, in milliseconds. */
  readonly ageMs: number;
  /**
   * Requests that ran there, with milliseconds from their start to the loss.
   */
  readonly runs: readonly (readonly [Fingerprint, ranMs: number])[];
}

/** Evidence on requests that may crash servers, exchanged between entries. */
export interface Evidence {
  readonly losses: readonly LossReport[];
  /** Requests that a server answered, with the milliseconds since then. */
  readonly cleared: readonly (readonly [Fingerprint, ageMs: number])[];
}

/** Messages between entries about requests that may crash servers. */
export interface QuarantineMessages {
  readonly "quarantine.evidence": Evidence;
  /** Requests an acknowledgement of all evidence that was sent before. */
  readonly "quarantine.sync": { readonly round: number };
  readonly "quarantine.synced": { readonly round: number };
  /** Asks whether an address of a server accepts a connection. */
  readonly "quarantine.check": {
    readonly question: number;
    readonly host: string;
    readonly port: number;
  };
  readonly "quarantine.checked": {
    readonly question: number;
    readonly isReached: boolean;
  };
}
