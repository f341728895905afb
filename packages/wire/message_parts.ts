import { err, ok, type Result } from "neverthrow";

/** Kind of the frames that hold parts of a message that is longer than a frame. */
export const PART_KIND = "part";
/**
 * Largest message that is sent in parts: some 30,000 routes. Configurations above
 * `MAX_FRAME_BYTES` exist, as earlier builds accepted orders that fit one by one.
 */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Bytes of a message in one frame; a fraction of the longest frame. */
const PART_BYTES = 256 * 1024;

export interface MessageFault {
  readonly type: "frame_too_long";
  readonly bytes: number;
}

/** CBOR of `["part", [isLast, bytes]]` before the bytes; cbor-x would copy them. */
function partHeader(isLast: boolean, length: number): Buffer {
  const kind = Buffer.from(PART_KIND);
  const head = [0x82, 0x60 + kind.length, ...kind, 0x82, isLast ? 0xf5 : 0xf4];
  const header = Buffer.alloc(head.length + 5);
  header.set(head);
  header.writeUInt8(0x5a, head.length);
  header.writeUInt32BE(length, head.length + 1);
  return header;
}

/**
 * Splits an encoded message into frames without length prefixes. Their bytes are
 * shared with the message, so that it is held once however many peers it is sent to.
 */
export function splitMessage(message: readonly Buffer[]): Buffer[][] {
  const frames: Buffer[][] = [];
  let pieces: Buffer[] = [];
  let length = 0;
  const total = message.reduce((sum, { length }) => sum + length, 0);
  let sent = 0;
  const finish = () => {
    sent += length;
    frames.push([partHeader(sent === total, length), ...pieces]);
    pieces = [];
    length = 0;
  };
  for (let rest of message) {
    while (rest.length > 0) {
      const piece = rest.subarray(0, PART_BYTES - length);
      pieces.push(piece);
      length += piece.length;
      rest = rest.subarray(piece.length);
      if (length === PART_BYTES) finish();
    }
  }
  if (length > 0) finish();
  return frames;
}

/** Joins the parts of one message at a time. */
export class MessageParts {
  #parts: Uint8Array[] = [];
  #length = 0;

  /** The message if this part is its last one; undefined before. */
  add(payload: unknown): Result<Buffer | undefined, MessageFault | undefined> {
    if (!Array.isArray(payload)) return err(undefined);
    const [isLast, bytes] = payload;
    if (!(bytes instanceof Uint8Array)) return err(undefined);
    this.#length += bytes.length;
    if (this.#length > MAX_MESSAGE_BYTES) {
      return err({ type: "frame_too_long", bytes: this.#length });
    }
    this.#parts.push(bytes);
    if (isLast !== true) return ok(undefined);
    const message = Buffer.concat(this.#parts);
    this.#parts = [];
    this.#length = 0;
    return ok(message);
  }
}
