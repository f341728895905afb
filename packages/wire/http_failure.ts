/** A request that got no answer of its handler, which threw or rejected. */
export interface HttpFailure {
  /** Names the failure in the answer and in the log. */
  readonly id: string;
  readonly method: string;
  /** The request target, clipped. */
  readonly target: string;
  readonly error: unknown;
}
