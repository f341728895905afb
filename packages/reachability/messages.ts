/** Messages between entries about the servers that they reach. */
export interface ReachabilityMessages {
  /** All services of which the sender reaches no server at present. */
  readonly "reachability.cut_off": { readonly services: readonly string[] };
}
