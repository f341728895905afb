/**
 * Most values of one encoded message, as a share of its bytes. Each costs 16 to 60
 * bytes of the heap when it is decoded; the messages of the product have about one
 * value for four bytes.
 */
const MIN_BYTES_PER_VALUE = 2;
/** Most values of a message of any length. */
const MAX_VALUES = 1_000_000;
/** Values that a message of any length may have. */
const FREE_VALUES = 1_000;
/** Deepest nesting; decoding recurses, and some thousand levels exceed the stack. */
const MAX_LEVELS = 1_000;

const MAJOR = { bytes: 2, text: 3, list: 4, map: 5, tag: 6 } as const;
/** The additional information of a head: the value follows in 1, 2, 4 or 8 bytes. */
const FIRST_LONG_INFO = 24;
const LAST_LONG_INFO = 27;

/**
 * Why a CBOR value is not decoded; undefined if it may be. Decoding allocates what the
 * heads announce: a head of five bytes can announce a list of a hundred million.
 */
export function findCborFault(bytes: Uint8Array): string | undefined {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length);
  const maxValues = Math.min(
    FREE_VALUES + bytes.length / MIN_BYTES_PER_VALUE,
    MAX_VALUES,
  );
  /** Values that are missing at each level. */
  const missing = [1];
  let offset = 0;
  let values = 0;
  for (;;) {
    while (missing.length > 0 && missing.at(-1) === 0) missing.pop();
    const level = missing.length - 1;
    if (level < 0) return undefined;
    missing[level] = (missing[level] ?? 0) - 1;
    if (++values > maxValues) return "too many values";
    if (offset >= bytes.length) return "incomplete";
    const head = bytes[offset++] ?? 0;
    const major = head >> 5;
    let argument = head & 0x1f;
    if (argument > LAST_LONG_INFO) return "a length that is not stated";
    if (argument >= FIRST_LONG_INFO) {
      const size = 1 << (argument - FIRST_LONG_INFO);
      if (offset + size > bytes.length) return "incomplete";
      argument = readArgument(view, offset, size);
      offset += size;
    }
    const left = bytes.length - offset;
    if (major === MAJOR.bytes || major === MAJOR.text) {
      if (argument > left) return "incomplete";
      offset += argument;
    } else if (major === MAJOR.list || major === MAJOR.map) {
      const count = major === MAJOR.map ? 2 * argument : argument;
      if (count > left) return "incomplete";
      missing.push(count);
    } else if (major === MAJOR.tag) missing.push(1);
    if (missing.length > MAX_LEVELS) return "too many levels";
  }
}

function readArgument(view: DataView, offset: number, size: number): number {
  if (size === 1) return view.getUint8(offset);
  if (size === 2) return view.getUint16(offset);
  if (size === 4) return view.getUint32(offset);
  return Number(view.getBigUint64(offset));
}
