import type { CallQueue, QueuedCall } from "#admission";

/** A waiting call with what the order of an overload depends on. */
export interface RankedCall extends QueuedCall {
  /** 0 is the most urgent; absent on calls of older builds and other routes. */
  readonly rank?: number | undefined;
  /** Identifies the tenant among the service's; absent without one. */
  readonly tenant?: string | undefined;
  /** Expected time on a server at its usual speed, in milliseconds. */
  readonly workMs?: number | undefined;
}

/** The operations that `CallQueue` and `RankedQueue` share. */
export type WaitingQueue<T extends QueuedCall> = Pick<
  CallQueue<T>,
  keyof CallQueue<T>
>;

/** The rank of a call; calls of older builds have only a priority. */
export function rankOf({ rank, priority }: RankedCall): number {
  return rank ?? (priority === "urgent" ? 0 : 1);
}

/** Work of a call whose class was not seen yet, in milliseconds. */
const UNKNOWN_WORK_MS = 100;

export function workOf({ workMs = UNKNOWN_WORK_MS }: RankedCall): number {
  return Math.max(1, workMs);
}
