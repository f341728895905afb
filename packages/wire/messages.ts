import type { NamedVersions } from "./protocol_versions.ts";

/**
 * A type that maps each message kind to its payload. Each package that
 * exchanges messages with peers exports one.
 */
export type MessageMap = object;

/** Any message of a map, as a union of kind and payload. */
export type Message<M extends MessageMap> = {
  [K in keyof M & string]: { readonly kind: K; readonly payload: M[K] };
}[keyof M & string];

/**
 * Lists message kinds; the record lets the compiler check that none is missing.
 */
export function messageKinds<K extends string>(
  kinds: Readonly<Record<K, true>>,
): readonly K[] {
  return Object.keys(kinds) as K[];
}

export type ProcessRole = "entry" | "control";

/** The first message in each direction of a connection. */
export interface Hello extends NamedVersions {
  readonly id: string;
  readonly role: ProcessRole;
  readonly incarnation: number;
  /** Name of the deployment; a peer of another deployment is rejected. */
  readonly cluster: string;
  /** The sender's build, for log lines; absent in builds before it. */
  readonly build?: string;
  /** Length of the sender's table of short field names. */
  readonly shortKeys?: number;
  /**
   * Longest message that the sender takes, in parts if it is longer than a frame;
   * absent in builds that take one frame.
   */
  readonly maxMessageBytes?: number;
  /**
   * Present if the sender has opened the connection. The connections that it
   * opens one after the other for the same purpose share a channel, and have
   * growing numbers.
   */
  readonly connection?: { readonly channel: number; readonly number: number };
}
