import { encodeFrame, FrameReader } from "#wire";

/** Bytes of a message on the wire, with its length prefix. */
export function frameBytes(kind: string, payload: unknown): number {
  return frame(kind, payload).length;
}

/** A message as the wire carries it. */
export function frame(kind: string, payload: unknown): Buffer {
  const encoded = encodeFrame(kind, payload);
  if (encoded.isErr()) throw new Error(JSON.stringify(encoded.error));
  return encoded.value;
}

/** A message after its way over the wire, with its size. */
export function passed<T>(kind: string, payload: T) {
  const bytes = frame(kind, payload);
  const [read] = new FrameReader().push(bytes)._unsafeUnwrap();
  return { bytes: bytes.length, payload: read?.payload as T };
}

/** A message that is read from a connection together with other bytes. */
export function readOf<T>(kind: string, payload: T, together: number): T {
  const rest = frame("ping", Buffer.alloc(together));
  const read = Buffer.concat([frame(kind, payload), rest]);
  const [first] = new FrameReader().push(read)._unsafeUnwrap();
  return first?.payload as T;
}
