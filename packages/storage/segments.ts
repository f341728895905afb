import type {
  ClusterBinding,
  MemberKey,
  Membership,
  StorageWrite,
} from "#agreement";
import { decodeCbor, encodeCbor } from "./codec.ts";
import { corruptionError, StorageError } from "./faults.ts";
import {
  encodeRecord,
  hasSealAfter,
  isLastSeal,
  RECORD_KINDS,
  readRecord,
} from "./records.ts";

const SEGMENT_FORMAT_VERSION = 1;
const SEGMENT_NAME = /^log-(\d{10})\.bin$/;

/** A write as stored in the log; a snapshot's bytes are in a separate file. */
export type LoggedWrite =
  | Exclude<StorageWrite, { type: "snapshot" }>
  | {
      readonly type: "snapshot";
      readonly index: number;
      readonly term: number;
      readonly membership: Membership;
      readonly keepLog: boolean;
    };

/**
 * The state after all earlier segments, stored in the header of a segment so
 * that the earlier segments can be removed.
 */
export interface Checkpoint {
  readonly founding: ClusterBinding | undefined;
  readonly term: number;
  readonly vote: MemberKey | undefined;
  readonly snapshotIndex: number;
}

interface SegmentHeader {
  readonly format: number;
  readonly sequence: number;
  readonly checkpoint: Checkpoint;
}

/** The decoded content of a segment file. */
export interface SegmentContent {
  readonly name: string;
  readonly sequence: number;
  readonly checkpoint: Checkpoint;
  readonly writes: readonly LoggedWrite[];
  /** Nothing follows the header, not even a torn record. */
  readonly isEmpty: boolean;
  /** Length of the intact part, in bytes. */
  readonly length: number;
  /** Length of the file; more than `length` if the tail is torn. */
  readonly fileLength: number;
  /** The last seal says that the log continues in the next segment. */
  readonly isContinued: boolean;
}

export function segmentName(sequence: number): string {
  return `log-${String(sequence).padStart(10, "0")}.bin`;
}

/** The sequence numbers of the segments in a folder, ascending. */
export function segmentSequences(names: readonly string[]): number[] {
  return names
    .map((name) => SEGMENT_NAME.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}

export function encodeSegmentHeader(
  sequence: number,
  checkpoint: Checkpoint,
): Buffer {
  const header: SegmentHeader = {
    format: SEGMENT_FORMAT_VERSION,
    sequence,
    checkpoint,
  };
  return encodeRecord(RECORD_KINDS.header, encodeCbor(header));
}

export function encodeWrite(write: LoggedWrite): Buffer {
  return encodeRecord(RECORD_KINDS.write, encodeCbor(write));
}

/** Whether the next segment does not exist, has no records, or has records. */
export type NextSegment = "none" | "empty" | "used";

/**
 * Decodes a segment; throws a `StorageError` if it is damaged. A damaged record
 * counts as a torn tail, which holds nothing that was acknowledged, only if no
 * seal follows it and the next segment is not in use: the seal after a batch is
 * written after the batch is synced.
 */
export function readSegment(
  file: Buffer,
  options: { sequence: number; next: NextSegment },
): SegmentContent {
  const { sequence, next } = options;
  const name = segmentName(sequence);
  const { header, end } = readHeader(file, name);
  if (header.sequence !== sequence) {
    throw corruptionError(name, 0, `is segment ${header.sequence}`);
  }
  const writes: LoggedWrite[] = [];
  let offset = end;
  let isContinued = false;
  while (offset < file.length) {
    const record = readRecord(file, offset);
    if (!record) break;
    if (record.kind === RECORD_KINDS.write) {
      writes.push(decodeCbor(record.content) as LoggedWrite);
    } else if (record.kind === RECORD_KINDS.seal) {
      isContinued = isLastSeal(record.content);
    } else throw corruptionError(name, offset, `unknown record ${record.kind}`);
    offset = record.end;
  }
  const isDamaged = offset < file.length;
  if (isDamaged && (next === "used" || hasSealAfter(file, offset))) {
    throw corruptionError(name, offset, "record is damaged");
  }
  if (next === "none" && isContinued) {
    throw corruptionError(name, offset, "the next segment is missing");
  }
  if (next === "used" && !isContinued) {
    throw corruptionError(name, offset, "the end of the segment is missing");
  }
  return {
    name,
    sequence,
    checkpoint: header.checkpoint,
    writes,
    isEmpty: file.length === end,
    length: offset,
    fileLength: file.length,
    isContinued,
  };
}

function readHeader(file: Buffer, name: string) {
  const record = readRecord(file, 0);
  if (record?.kind !== RECORD_KINDS.header) {
    throw corruptionError(name, 0, "header is damaged");
  }
  const header = decodeCbor(record.content) as SegmentHeader;
  if (header.format !== SEGMENT_FORMAT_VERSION) {
    const version = header.format;
    throw new StorageError({ type: "unsupported_format", file: name, version });
  }
  return { header, end: record.end };
}
