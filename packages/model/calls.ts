import type { Priority } from "./document.ts";

/** What entitles a call to run where requests need a tenant's key. */
export interface CallAccess {
  /** The tenant that holds the request's key; absent on public routes. */
  readonly tenant?: string;
  /** SHA-256 of the key, in hexadecimal; absent on public routes. */
  readonly keyHash?: string;
}

/** A caller's request to a service; times are on the entry's own clock. */
export interface Call {
  /** Unique among all entries; sent to the caller as the request id. */
  readonly id: string;
  readonly service: string;
  readonly class: string;
  readonly priority: Priority;
  /** Urgency by the tenant, else by the route; 0 is the most urgent. */
  readonly rank?: number;
  /** False if the call must run at most once. */
  readonly repeatable: boolean;
  /** Arrival, in milliseconds of `Clock.now()`. */
  readonly arrival: number;
  /** When the caller stops waiting, in milliseconds of `Clock.now()`. */
  readonly deadline: number;
  /** Latency objective as a time, in milliseconds of `Clock.now()`. */
  readonly target?: number;
  /** Most servers to send it to; limited by `retries` only if absent. */
  readonly attempts?: number | undefined;
  /** Number of calls above this one in a chain of calls between services. */
  readonly depth: number;
  /** Retries that the layers below may still make. */
  readonly retries: number;
  /** Present where requests need a tenant's key. */
  readonly access?: CallAccess;
}
