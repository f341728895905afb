/** How a value was encoded before, by the name of the key encoding. */
type Encodings = Map<string, Buffer>;

/** Kept as long as the values themselves. */
const encodings = new WeakMap<object, Encodings>();

/**
 * Marks a large value that is a field of messages to several peers: it is encoded
 * once per key encoding, and the bytes are copied into each message. It must not
 * change afterwards.
 */
export function encodedOnce<T extends object>(value: T): T {
  if (!encodings.has(value)) encodings.set(value, new Map());
  return value;
}

/** A field of a message whose value is encoded once. */
export interface SharedField {
  readonly name: string;
  readonly value: object;
  readonly encodings: Encodings;
}

/** The first field of a payload whose value is encoded once. */
export function findSharedField(payload: unknown): SharedField | undefined {
  if (payload === null || typeof payload !== "object") return undefined;
  // Lists and byte strings have no named fields.
  if (payload.constructor !== Object) return undefined;
  for (const [name, value] of Object.entries(payload)) {
    if (value === null || typeof value !== "object") continue;
    const known = encodings.get(value);
    if (known) return { name, value, encodings: known };
  }
  return undefined;
}
