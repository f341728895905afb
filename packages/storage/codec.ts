import { Decoder, Encoder } from "cbor-x";

// Records are off: each stored item must be readable by itself.
const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a value as CBOR; the bytes are the caller's to keep. */
export function encodeCommand(value: unknown): Uint8Array {
  return Buffer.from(encoder.encode(value));
}

export function decodeCommand(bytes: Uint8Array): unknown {
  return decoder.decode(bytes as Buffer);
}
