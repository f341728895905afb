import { crc32 } from "node:zlib";

/**
 * A record is a 4-byte length, a 4-byte CRC-32 of length and body, and the
 * body, whose first byte is the kind.
 */
export const RECORD_KINDS = { header: 1, write: 2, seal: 3 } as const;

export type RecordKind = (typeof RECORD_KINDS)[keyof typeof RECORD_KINDS];

export interface StoredRecord {
  readonly kind: number;
  readonly content: Buffer;
  /** Where the next record begins. */
  readonly end: number;
}

const HEAD_BYTES = 8;
const SEAL_MAGIC = Buffer.from("mbseal\r\n");
/** Content of a seal: the magic, its own offset, and whether it is the last. */
const SEAL_BYTES = SEAL_MAGIC.length + 6 + 1;

export function encodeRecord(kind: RecordKind, content: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(HEAD_BYTES + 1 + content.length);
  record.writeUInt32BE(1 + content.length, 0);
  record[HEAD_BYTES] = kind;
  record.set(content, HEAD_BYTES + 1);
  record.writeUInt32BE(checksumOf(record), 4);
  return record;
}

/** Reads the record at an offset; undefined if it is cut off or damaged. */
export function readRecord(
  file: Buffer,
  offset: number,
): StoredRecord | undefined {
  if (offset + HEAD_BYTES + 1 > file.length) return undefined;
  const length = file.readUInt32BE(offset);
  const end = offset + HEAD_BYTES + length;
  if (length < 1 || end > file.length) return undefined;
  const record = file.subarray(offset, end);
  if (record.readUInt32BE(4) !== checksumOf(record)) return undefined;
  const kind = record[HEAD_BYTES] ?? 0;
  return { kind, content: record.subarray(HEAD_BYTES + 1), end };
}

/**
 * A seal is written after each successful sync. It proves that all before it
 * was synced and so may have been acknowledged.
 */
export function encodeSeal(offset: number, isLast: boolean): Buffer {
  const content = Buffer.alloc(SEAL_BYTES);
  SEAL_MAGIC.copy(content);
  content.writeUIntBE(offset, SEAL_MAGIC.length, 6);
  content[SEAL_BYTES - 1] = isLast ? 1 : 0;
  return encodeRecord(RECORD_KINDS.seal, content);
}

/** Whether a seal says that the log goes on in the next segment. */
export function isLastSeal(content: Buffer): boolean {
  return content[SEAL_BYTES - 1] === 1;
}

/** Whether any intact seal follows a damaged place. */
export function hasSealAfter(file: Buffer, offset: number): boolean {
  const toMagic = HEAD_BYTES + 1;
  let at = file.indexOf(SEAL_MAGIC, offset);
  while (at >= 0) {
    const start = at - toMagic;
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
  return crc32(record.subarray(HEAD_BYTES), crc32(record.subarray(0, 4)));
}
