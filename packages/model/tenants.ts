/** An organisation whose callers identify themselves with its keys. */
export interface Tenant {
  readonly name: string;
  /** SHA-256 of each key, in hexadecimal; entries need no keys. */
  readonly keyHashes: readonly string[];
  /** Urgency, which goes before that of a request's route; 0 is the most urgent. */
  readonly rank?: number;
  /** Requests a second over all entries; no limit if absent. */
  readonly ratePerS?: number;
  /** Requests above the rate that may follow each other at once. */
  readonly burst?: number;
  /** Regions whose servers may be used; all if absent. */
  readonly allowedRegions?: readonly string[];
}
