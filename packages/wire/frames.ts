import { Decoder, Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { findSharedField, type SharedField } from "./shared_values.ts";
import { KEY_NUMBERS } from "./short_keys.ts";

/** Largest frame sent or accepted, in bytes, not counting the length prefix. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** Size of the big-endian length prefix of each frame. */
const LENGTH_BYTES = 4;

/** Why a byte stream is not a sequence of frames. */
export type FrameFault =
  | { readonly type: "frame_too_long"; readonly bytes: number }
  | { readonly type: "frame_malformed"; readonly detail: string };

/** One decoded message of a connection. */
export interface Frame {
  readonly kind: string;
  readonly payload: unknown;
}

// The record extension of cbor-x is off, since it needs state that both sides
// of
// a connection share.
const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });
const shortEncoder = new Encoder({ useRecords: false, keyMap: KEY_NUMBERS });
/** Decodes frames with short field names as well as with full ones. */
const frameDecoder = new Decoder({
  useRecords: false,
  mapsAsObjects: true,
  keyMap: KEY_NUMBERS,
});

/** Encodes a value as CBOR, without a length prefix. */
export function encodeValue(value: unknown): Buffer {
  return Buffer.from(encoder.encode(value));
}

/** Decodes one CBOR value that has no length prefix. */
export function decodeValue(bytes: Uint8Array): Result<unknown, FrameFault> {
  return decodeWith(decoder, bytes);
}

function decodeWith(
  cborDecoder: Decoder,
  bytes: Uint8Array,
): Result<unknown, FrameFault> {
  try {
    return ok(cborDecoder.decode(bytes as Buffer));
  } catch (cause) {
    return err({ type: "frame_malformed", detail: String(cause) });
  }
}

/**
 * How field names are encoded: as strings, or as numbers from the table
 * `SHORT_KEYS`, which only a peer that has the same table can decode.
 */
export type KeyEncoding = "full" | "short";

const encoders: Readonly<Record<KeyEncoding, Encoder>> = {
  full: encoder,
  short: shortEncoder,
};

/** Encodes a message as a frame, with its length prefix. */
export function encodeFrame(
  kind: string,
  payload: unknown,
  options: { keys: KeyEncoding } = { keys: "full" },
): Result<Buffer, FrameFault> {
  const sharedField = findSharedField(payload);
  const parts = sharedField
    ? encodeAroundField([kind, payload as object], sharedField, options)
    : [encoders[options.keys].encode([kind, payload])];
  const bytes = parts.reduce((sum, { length }) => sum + length, 0);
  if (bytes > MAX_FRAME_BYTES) return err({ type: "frame_too_long", bytes });
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + bytes);
  let offset = frame.writeUInt32BE(bytes, 0);
  for (const part of parts) offset += part.copy(frame, offset);
  return ok(frame);
}

/** The bytes of a message before the value of a field, of the value, and after it. */
function encodeAroundField(
  [kind, payload]: readonly [string, object],
  field: SharedField,
  { keys }: { keys: KeyEncoding },
): Buffer[] {
  const { name, value, encodings } = field;
  const cborEncoder = encoders[keys];
  const known = encodings.get(keys);
  // A copy, as the encoder's result is part of a larger buffer.
  const encoded = known ?? Buffer.from(cborEncoder.encode(value));
  encodings.set(keys, encoded);
  const fields = Object.entries({ ...payload, [name]: null });
  const end = fields.findIndex(([other]) => other === name) + 1;
  const encodeFields = (entries: typeof fields) =>
    cborEncoder.encode([kind, Object.fromEntries(entries)]);
  const whole = encodeFields(fields);
  const until = encodeFields(fields.slice(0, end));
  // The null in place of the value is the last byte of the shorter message. Their
  // headers have the same length, as cbor-x writes the size of each map in 16 bits.
  return [
    whole.subarray(0, until.length - 1),
    encoded,
    whole.subarray(until.length),
  ];
}

/** Splits a byte stream into frames; buffers at most one partial frame. */
export class FrameReader {
  #pending: Buffer[] = [];
  #length = 0;

  /** Adds received bytes and returns the frames that are now complete. */
  push(chunk: Buffer): Result<Frame[], FrameFault> {
    this.#pending.push(chunk);
    this.#length += chunk.length;
    if (this.#length < LENGTH_BYTES) return ok([]);
    const bytes =
      this.#pending.length === 1 ? chunk : Buffer.concat(this.#pending);
    const frames: Frame[] = [];
    let offset = 0;
    while (bytes.length - offset >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(offset);
      if (length > MAX_FRAME_BYTES) {
        return err({ type: "frame_too_long", bytes: length });
      }
      const end = offset + LENGTH_BYTES + length;
      if (end > bytes.length) break;
      const frame = decodeFrame(bytes.subarray(offset + LENGTH_BYTES, end));
      if (frame.isErr()) return err(frame.error);
      frames.push(frame.value);
      offset = end;
    }
    const rest = bytes.subarray(offset);
    this.#pending = rest.length > 0 ? [rest] : [];
    this.#length = rest.length;
    return ok(frames);
  }
}

function decodeFrame(body: Buffer): Result<Frame, FrameFault> {
  return decodeWith(frameDecoder, body).andThen(
    (item): Result<Frame, FrameFault> => {
      if (!Array.isArray(item) || item.length !== 2) {
        return err({ type: "frame_malformed", detail: "not a pair" });
      }
      const [kind, payload] = item;
      if (typeof kind !== "string") {
        return err({ type: "frame_malformed", detail: "kind is not a string" });
      }
      return ok({ kind, payload });
    },
  );
}
