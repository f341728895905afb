import { encodeFrame, FrameReader } from "#wire";

/** Size of an encoded message in bytes, with its length prefix. */
export function messageBytes(kind: string, payload: unknown): number {
  return encodeMessage(kind, payload).length;
}

/** Encodes a message, with its length prefix. */
export function encodeMessage(kind: string, payload: unknown): Buffer {
  const encoded = encodeFrame(kind, payload);
  if (encoded.isErr()) throw new Error(JSON.stringify(encoded.error));
  return encoded.value;
}

/** Encodes and decodes a message; returns its payload and its size. */
export function encodeAndDecode<T>(kind: string, payload: T) {
  const bytes = encodeMessage(kind, payload);
  const [read] = new FrameReader().push(bytes)._unsafeUnwrap();
  return { bytes: bytes.length, payload: read?.payload as T };
}

/**
 * Decodes a message from a buffer that also holds `otherBytes` bytes of another
 * message, as one socket read may deliver them.
 */
export function decodeFromSharedRead<T>(
  kind: string,
  payload: T,
  otherBytes: number,
): T {
  const rest = encodeMessage("ping", Buffer.alloc(otherBytes));
  const read = Buffer.concat([encodeMessage(kind, payload), rest]);
  const [first] = new FrameReader().push(read)._unsafeUnwrap();
  return first?.payload as T;
}
