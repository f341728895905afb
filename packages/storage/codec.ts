import { Decoder, Encoder } from "cbor-x";

// Without cbor-x's record extension, each encoded item can be decoded by
// itself.
const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a value as CBOR, in a buffer that is not reused. */
export function encodeCbor(value: unknown): Uint8Array {
  return Buffer.from(encoder.encode(value));
}

export function decodeCbor(bytes: Uint8Array): unknown {
  return decoder.decode(bytes as Buffer);
}
