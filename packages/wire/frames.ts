import { Decoder, Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { findCborFault } from "./cbor_check.ts";
import {
  MAX_MESSAGE_BYTES,
  MessageParts,
  PART_KIND,
  splitMessage,
} from "./message_parts.ts";
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
  const pieces = encodePieces([kind, payload], options);
  const bytes = lengthOf(pieces);
  if (bytes > MAX_FRAME_BYTES) return err({ type: "frame_too_long", bytes });
  return ok(frameOf(pieces, bytes));
}

/** A message as it is written to a connection, in one frame or several. */
export interface EncodedMessage {
  /** Length without prefixes; above `MAX_FRAME_BYTES` if it is sent in parts. */
  readonly bytes: number;
  readonly pieces: readonly Buffer[];
}

/** Encodes a message as one frame, or as several if it is longer than a frame. */
export function encodeMessage(
  kind: string,
  payload: unknown,
  options: { keys: KeyEncoding },
): Result<EncodedMessage, FrameFault> {
  const pieces = encodePieces([kind, payload], options);
  const bytes = lengthOf(pieces);
  if (bytes > MAX_MESSAGE_BYTES) return err({ type: "frame_too_long", bytes });
  if (bytes <= MAX_FRAME_BYTES) {
    return ok({ bytes, pieces: [frameOf(pieces, bytes)] });
  }
  const frames = splitMessage(pieces);
  return ok({
    bytes,
    pieces: frames.flatMap((part) => [lengthPrefix(lengthOf(part)), ...part]),
  });
}

function encodePieces(
  [kind, payload]: readonly [string, unknown],
  options: { keys: KeyEncoding },
): Buffer[] {
  const sharedField = findSharedField(payload);
  if (sharedField) {
    return encodeAroundField([kind, payload as object], sharedField, options);
  }
  return [encoders[options.keys].encode([kind, payload])];
}

function lengthOf(pieces: readonly Buffer[]): number {
  return pieces.reduce((sum, { length }) => sum + length, 0);
}

function lengthPrefix(bytes: number): Buffer {
  const prefix = Buffer.allocUnsafe(LENGTH_BYTES);
  prefix.writeUInt32BE(bytes, 0);
  return prefix;
}

function frameOf(pieces: readonly Buffer[], bytes: number): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + bytes);
  let offset = frame.writeUInt32BE(bytes, 0);
  for (const piece of pieces) offset += piece.copy(frame, offset);
  return frame;
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

/**
 * Splits a byte stream into messages; buffers at most one partial frame, and the parts
 * of one message.
 */
export class FrameReader {
  #pending: Buffer[] = [];
  #length = 0;
  readonly #parts = new MessageParts();

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
      offset = end;
      const message = this.#joinParts(frame.value);
      if (message.isErr()) return err(message.error);
      if (message.value) frames.push(message.value);
    }
    const rest = bytes.subarray(offset);
    this.#pending = rest.length > 0 ? [rest] : [];
    this.#length = rest.length;
    return ok(frames);
  }

  /** The message of a frame, or of the parts that a frame completes. */
  #joinParts(frame: Frame): Result<Frame | undefined, FrameFault> {
    if (frame.kind !== PART_KIND) return ok(frame);
    const joined = this.#parts.add(frame.payload);
    if (joined.isErr()) {
      const detail = "not a part of a message";
      return err(joined.error ?? { type: "frame_malformed", detail });
    }
    return joined.value ? decodeFrame(joined.value) : ok(undefined);
  }
}

function decodeFrame(body: Buffer): Result<Frame, FrameFault> {
  const fault = findCborFault(body);
  if (fault) return err({ type: "frame_malformed", detail: fault });
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
