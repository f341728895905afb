import type {
  ClusterBinding,
  MemberKey,
  Membership,
  StorageWrite,
} from "#agreement";
import { decodeCommand, encodeCommand } from "./codec.ts";
import { corrupt, StorageError } from "./faults.ts";
import {
  encodeRecord,
  hasSealAfter,
  isLastSeal,
  RECORD_KINDS,
  readRecord,
} from "./records.ts";

const SEGMENT_FORMAT = 1;
const NAME = /^log-(\d{10})\.bin$/;

/** A write as the log holds it; a snapshot's bytes are in their own file. */
export type LoggedWrite =
  | Exclude<StorageWrite, { type: "snapshot" }>
  | {
      readonly type: "snapshot";
      readonly index: number;
      readonly term: number;
      readonly membership: Membership;
      readonly keepLog: boolean;
    };

/** What the segments before a new one said, so that they can be removed. */
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

export interface SegmentContent {
  readonly name: string;
  readonly sequence: number;
  readonly checkpoint: Checkpoint;
  readonly writes: readonly LoggedWrite[];
  /** There is nothing behind the header, not even a torn record. */
  readonly isEmpty: boolean;
  /** Length of the intact part, in bytes. */
  readonly length: number;
  /** Length of the file; more than `length` if the tail is torn. */
  readonly fileLength: number;
  /** A next segment exists. */
  readonly isContinued: boolean;
}

export function segmentName(sequence: number): string {
  return `log-${String(sequence).padStart(10, "0")}.bin`;
}

/** The sequence numbers of the segments in a folder, ascending. */
export function segmentSequences(names: readonly string[]): number[] {
  return names
    .map((name) => NAME.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}

export function encodeSegmentHeader(
  sequence: number,
  checkpoint: Checkpoint,
): Buffer {
  const header: SegmentHeader = {
    format: SEGMENT_FORMAT,
    sequence,
    checkpoint,
  };
  return encodeRecord(RECORD_KINDS.header, encodeCommand(header));
}

export function encodeWrite(write: LoggedWrite): Buffer {
  return encodeRecord(RECORD_KINDS.write, encodeCommand(write));
}

/** What follows a segment: none, one without records, or one in use. */
export type NextSegment = "none" | "empty" | "used";

/**
 * Reads a segment; throws a `StorageError`. A damaged place is a torn tail,
 * which holds nothing acknowledged, only if no seal follows it and no later
 * segment is in use: the seal behind a batch is written after its sync.
 */
export function readSegment(
  file: Buffer,
  options: { sequence: number; next: NextSegment },
): SegmentContent {
  const { sequence, next } = options;
  const name = segmentName(sequence);
  const { header, end } = readHeader(file, name);
  if (header.sequence !== sequence) {
    throw corrupt(name, 0, `is segment ${header.sequence}`);
  }
  const writes: LoggedWrite[] = [];
  let offset = end;
  let isContinued = false;
  while (offset < file.length) {
    const record = readRecord(file, offset);
    if (!record) break;
    if (record.kind === RECORD_KINDS.write) {
      writes.push(decodeCommand(record.content) as LoggedWrite);
    } else if (record.kind === RECORD_KINDS.seal) {
      isContinued = isLastSeal(record.content);
    } else throw corrupt(name, offset, `unknown record ${record.kind}`);
    offset = record.end;
  }
  const isDamaged = offset < file.length;
  if (isDamaged && (next === "used" || hasSealAfter(file, offset))) {
    throw corrupt(name, offset, "record is damaged");
  }
  if (next === "none" && isContinued) {
    throw corrupt(name, offset, "the next segment is missing");
  }
  if (next === "used" && !isContinued) {
    throw corrupt(name, offset, "the end of the segment is missing");
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
    throw corrupt(name, 0, "header is damaged");
  }
  const header = decodeCommand(record.content) as SegmentHeader;
  if (header.format !== SEGMENT_FORMAT) {
    const version = header.format;
    throw new StorageError({ type: "unsupported_format", file: name, version });
  }
  return { header, end: record.end };
}
