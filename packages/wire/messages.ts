/** Message kind to payload; each package that talks to peers publishes one. */
export type MessageMap = object;

/** A message of a map. */
export type Message<M extends MessageMap> = {
  [K in keyof M & string]: { readonly kind: K; readonly payload: M[K] };
}[keyof M & string];

/** The kinds of a map, listed as a record that the compiler finds complete. */
export function kindsOf<K extends string>(
  kinds: Readonly<Record<K, true>>,
): readonly K[] {
  return Object.keys(kinds) as K[];
}

export type ProcessRole = "entry" | "control";

/** The first message in each direction of a connection. */
export interface Hello {
  readonly id: string;
  readonly role: ProcessRole;
  readonly incarnation: number;
  /** Deployment name; processes of another deployment are turned away. */
  readonly cluster: string;
  readonly version: number;
  /** Length of the table of short field names that the sender knows. */
  readonly shortKeys?: number;
}

/** Version of the messages between the system's own processes. */
export const PROTOCOL_VERSION = 1;
