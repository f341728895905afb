import type { Priority } from "./document.ts";

/** A call as the decisions see it; times are on the entry's own clock. */
export interface Call {
  /** Unique over all entries; the caller sees it as the request id. */
  readonly id: string;
  readonly service: string;
  readonly class: string;
  readonly priority: Priority;
  readonly repeatable: boolean;
  /** Arrival, in milliseconds of `Clock.now()`. */
  readonly arrival: number;
  /** Latest useful answer, in milliseconds of `Clock.now()`. */
  readonly deadline: number;
  /** Time by which an answer is worth most, in milliseconds of `Clock.now()`. */
  readonly target?: number;
  /** Most servers that may run it; bounded by `retries` alone if absent. */
  readonly attempts?: number | undefined;
  /** Calls above this one in the chain. */
  readonly depth: number;
  /** Retries that the layers below may still make. */
  readonly retries: number;
}
