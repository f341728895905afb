import { crc32 } from "node:zlib";

/**
 * The kinds of records. A record is a 4-byte length of the body, a 4-byte
 * CRC-32 of length and body, and the body, whose first byte is the kind. A
 * `seal` marks everything before it as synced.
 */
export const RECORD_KINDS = { header: 1, write: 2, seal: 3 } as const;

export type RecordKind = (typeof RECORD_KINDS)[keyof typeof RECORD_KINDS];

export interface DecodedRecord {
  readonly kind: number;
  readonly content: Buffer;
  /** Offset of the next record. */
  readonly end: number;
}

const PREFIX_BYTES = 8;
const SEAL_MAGIC = Buffer.from("mbseal\r\n");
/**
 * Content of a seal: the magic bytes, the seal's own offset in the file (6
 * bytes), and whether it is the last one of its segment (1 byte).
 */
const SEAL_CONTENT_BYTES = SEAL_MAGIC.length + 6 + 1;

export function encodeRecord(kind: RecordKind, content: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(PREFIX_BYTES + 1 + content.length);
  record.writeUInt32BE(1 + content.length, 0);
  record[PREFIX_BYTES] = kind;
  record.set(content, PREFIX_BYTES + 1);
  record.writeUInt32BE(checksumOf(record), 4);
  return record;
}

/** Reads the record at an offset; undefined if it is incomplete or damaged. */
export function readRecord(
  file: Buffer,
  offset: number,
): DecodedRecord | undefined {
  if (offset + PREFIX_BYTES + 1 > file.length) return undefined;
  const length = file.readUInt32BE(offset);
  const end = offset + PREFIX_BYTES + length;
  if (length < 1 || end > file.length) return undefined;
  const record = file.subarray(offset, end);
  if (record.readUInt32BE(4) !== checksumOf(record)) return undefined;
  const kind = record[PREFIX_BYTES] ?? 0;
  return { kind, content: record.subarray(PREFIX_BYTES + 1), end };
}

/**
 * Encodes the seal that is written at an offset after each successful sync. It
 * proves that everything before it was synced and may have been acknowledged.
 */
export function encodeSeal(offset: number, isLast: boolean): Buffer {
  const content = Buffer.alloc(SEAL_CONTENT_BYTES);
  SEAL_MAGIC.copy(content);
  content.writeUIntBE(offset, SEAL_MAGIC.length, 6);
  content[SEAL_CONTENT_BYTES - 1] = isLast ? 1 : 0;
  return encodeRecord(RECORD_KINDS.seal, content);
}

/** Whether a seal is the last of its segment: the log continues in the next. */
export function isLastSeal(content: Buffer): boolean {
  return content[SEAL_CONTENT_BYTES - 1] === 1;
}

/** Whether an intact seal begins at or after the offset of a damaged record. */
export function hasSealAfter(file: Buffer, offset: number): boolean {
  const magicOffset = PREFIX_BYTES + 1;
  let at = file.indexOf(SEAL_MAGIC, offset);
  while (at >= 0) {
    const start = at - magicOffset;
    const record = start >= offset ? readRecord(file, start) : undefined;
    const isSeal =
      record?.kind === RECORD_KINDS.seal &&
      record.content.readUIntBE(SEAL_MAGIC.length, 6) === start;
    if (isSeal) return true;
    at = file.indexOf(SEAL_MAGIC, at + 1);
  }
  return false;
}

function checksumOf(record: Buffer): number {
  return crc32(record.subarray(PREFIX_BYTES), crc32(record.subarray(0, 4)));
}
