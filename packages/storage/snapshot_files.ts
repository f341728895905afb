import { crc32 } from "node:zlib";
import type { Snapshot } from "#agreement";
import { decodeCbor, encodeCbor } from "./codec.ts";
import { corruptionError, StorageError } from "./faults.ts";
import { type FileSystem, replaceFile } from "./file_system.ts";
import { encodeRecord, RECORD_KINDS, readRecord } from "./records.ts";

const SNAPSHOT_FORMAT_VERSION = 1;
const SNAPSHOT_NAME = /^snapshot-(\d{16})\.bin$/;

interface SnapshotHeader {
  readonly format: number;
  readonly index: number;
  readonly term: number;
  readonly membership: Snapshot["membership"];
  readonly length: number;
  readonly crc32: number;
}

export function snapshotName(index: number): string {
  return `snapshot-${String(index).padStart(16, "0")}.bin`;
}

export function isSnapshotName(name: string): boolean {
  return SNAPSHOT_NAME.test(name);
}

export async function writeSnapshot(
  fileSystem: FileSystem,
  options: { folder: string; snapshot: Snapshot },
): Promise<void> {
  const { folder, snapshot } = options;
  const { index, term, membership, bytes } = snapshot;
  const header: SnapshotHeader = {
    format: SNAPSHOT_FORMAT_VERSION,
    index,
    term,
    membership,
    length: bytes.length,
    crc32: crc32(bytes),
  };
  const record = encodeRecord(RECORD_KINDS.header, encodeCbor(header));
  const name = snapshotName(index);
  await replaceFile(fileSystem, { folder, name, parts: [record, bytes] });
}

/** Reads and verifies a snapshot; throws a `StorageError` if it is damaged. */
export async function readSnapshot(
  fileSystem: FileSystem,
  options: { folder: string; index: number },
): Promise<Snapshot> {
  const name = snapshotName(options.index);
  const file = await fileSystem
    .read(`${options.folder}/${name}`)
    .catch((cause: NodeJS.ErrnoException) => {
      if (cause.code === "ENOENT")
        throw corruptionError(name, 0, "file is missing");
      throw cause;
    });
  const record = readRecord(file, 0);
  if (record?.kind !== RECORD_KINDS.header) {
    throw corruptionError(name, 0, "header is damaged");
  }
  const header = decodeCbor(record.content) as SnapshotHeader;
  if (header.format !== SNAPSHOT_FORMAT_VERSION) {
    const version = header.format;
    throw new StorageError({ type: "unsupported_format", file: name, version });
  }
  const bytes = file.subarray(record.end);
  const isIntact =
    header.index === options.index &&
    bytes.length === header.length &&
    crc32(bytes) === header.crc32;
  if (!isIntact) throw corruptionError(name, record.end, "content is damaged");
  const { index, term, membership } = header;
  return { index, term, membership, bytes };
}
