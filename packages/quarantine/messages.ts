/** Identifies a request over all entries and over resends. */
export type Fingerprint = string;

/** One incarnation of a backend server. */
export interface ServerRun {
  /** `backendServerKey` of the server. */
  readonly server: string;
  readonly incarnation: number;
  readonly dataCentre: string;
}

/** A server's loss, as one entry saw it. */
export interface LossReport extends ServerRun {
  /** Age of the loss when the message was sent, in milliseconds. */
  readonly ageMs: number;
  /** Requests that ran there, with the time from their start to the loss. */
  readonly runs: readonly (readonly [Fingerprint, ranMs: number])[];
}

/** What entries tell each other about requests that may crash servers. */
export interface Evidence {
  readonly losses: readonly LossReport[];
  /** Requests that a server answered, with the age of the answer. */
  readonly cleared: readonly (readonly [Fingerprint, ageMs: number])[];
}

export interface QuarantineMessages {
  readonly "quarantine.evidence": Evidence;
  /** Asks whether all evidence sent before has arrived. */
  readonly "quarantine.sync": { readonly round: number };
  readonly "quarantine.synced": { readonly round: number };
}
