import type { Priority } from "./document.ts";

/** A caller's request to a service; times are on the entry's own clock. */
export interface Call {
  /** Unique among all entries; sent to the caller as the request id. */
  readonly id: string;
  readonly service: string;
  readonly class: string;
  readonly priority: Priority;
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
}
