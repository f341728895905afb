import type { Snapshot } from "#agreement";
import { corruptionError } from "./faults.ts";
import { type FileSystem, TEMPORARY_FILE_SUFFIX } from "./file_system.ts";
import { encodeSeal } from "./records.ts";
import {
  type LoggedWrite,
  type NextSegment,
  readSegment,
  type SegmentContent,
  segmentName,
  segmentSequences,
} from "./segments.ts";
import { readSnapshot } from "./snapshot_files.ts";
import { StoredLog } from "./stored_log.ts";

export interface SegmentSummary {
  readonly sequence: number;
  /** The highest index of an entry in the segment; 0 if there is none. */
  maxIndex: number;
}

export interface RecoveredLog {
  readonly log: StoredLog;
  readonly segments: SegmentSummary[];
  /** Length of the last segment, in bytes. */
  readonly length: number;
}

/** Removes the temporary files of interrupted `replaceFile` calls. */
export async function removeTemporaryFiles(
  fileSystem: FileSystem,
  folder: string,
): Promise<void> {
  for (const name of await fileSystem.list(folder)) {
    if (!name.endsWith(TEMPORARY_FILE_SUFFIX)) continue;
    await fileSystem.remove(`${folder}/${name}`);
  }
}

/**
 * Rebuilds the state from a folder; throws a `StorageError` if it is damaged.
 */
export async function recoverLog(
  fileSystem: FileSystem,
  options: { folder: string; identity: string },
): Promise<RecoveredLog> {
  const { folder, identity } = options;
  const contents = await readSegments(fileSystem, folder);
  await repairLastSegments(fileSystem, { folder, contents });
  const log = new StoredLog(identity);
  const first = contents[0];
  if (!first) throw corruptionError(folder, 0, "the log is missing");
  log.founding = first.checkpoint.founding;
  log.term = first.checkpoint.term;
  log.vote = first.checkpoint.vote;
  if (first.checkpoint.snapshotIndex > 0) {
    log.apply(snapshotPlaceholder({ index: first.checkpoint.snapshotIndex }));
  }
  for (const { name, writes } of contents) {
    for (const write of writes) {
      const isNext = log.apply(
        write.type === "snapshot" ? snapshotPlaceholder(write) : write,
      );
      if (!isNext) throw corruptionError(name, 0, "entries are missing");
    }
  }
  if (log.snapshot) {
    const { index } = log.snapshot;
    log.snapshot = await readSnapshot(fileSystem, { folder, index });
  }
  const { entries, snapshot } = log.state();
  const expected = (snapshot?.index ?? 0) + 1;
  if ((entries[0]?.index ?? expected) !== expected) {
    throw corruptionError(first.name, 0, `entry ${expected} is missing`);
  }
  return {
    log,
    segments: contents.map(({ sequence, writes }) => ({
      sequence,
      maxIndex: maxIndexOf(writes),
    })),
    length: contents.at(-1)?.length ?? 0,
  };
}

/** The highest entry index in some writes; 0 if there are no entries. */
export function maxIndexOf(writes: readonly LoggedWrite[]): number {
  const indices = writes.map((write) =>
    write.type === "entries" ? (write.entries.at(-1)?.index ?? 0) : 0,
  );
  return indices.reduce((a, b) => Math.max(a, b), 0);
}

async function readSegments(
  fileSystem: FileSystem,
  folder: string,
): Promise<SegmentContent[]> {
  const sequences = segmentSequences(await fileSystem.list(folder));
  const contents: SegmentContent[] = [];
  let next: NextSegment = "none";
  for (const [at, sequence] of [...sequences.entries()].reverse()) {
    const name = segmentName(sequence);
    const following = sequences[at + 1];
    if (following !== undefined && following !== sequence + 1) {
      throw corruptionError(segmentName(sequence + 1), 0, "file is missing");
    }
    const file = await fileSystem.read(`${folder}/${name}`);
    const content = readSegment(file, { sequence, next });
    contents.unshift(content);
    next = next === "none" && content.isEmpty ? "empty" : "used";
  }
  return contents;
}

/**
 * Truncates a torn tail, and completes the start of a new segment that a crash
 * interrupted. The last segments are synced, because the core relies on what
 * was read, which may not be durable if only the process had crashed.
 */
async function repairLastSegments(
  fileSystem: FileSystem,
  { folder, contents }: { folder: string; contents: SegmentContent[] },
): Promise<void> {
  // The seal of a continued segment must not be durable before the name of the
  // next segment is.
  await fileSystem.syncFolder(folder);
  for (const content of contents.slice(-2)) {
    const path = `${folder}/${content.name}`;
    const isLast = content === contents.at(-1);
    const { length, fileLength } = content;
    if (length < fileLength) await fileSystem.truncate(path, length);
    const file = await fileSystem.openForAppend(path);
    try {
      if (!isLast && !content.isContinued) {
        await file.write(encodeSeal(length, true));
      }
      await file.sync();
    } finally {
      await file.close();
    }
  }
}

/**
 * Stands in for a snapshot while the log is rebuilt; only the file of the
 * newest snapshot is read.
 */
function snapshotPlaceholder(write: Partial<Snapshot> & { keepLog?: boolean }) {
  const { index = 0, term = 0, keepLog = true } = write;
  const membership = write.membership ?? { voters: [], learners: [] };
  const snapshot = { index, term, membership, bytes: new Uint8Array() };
  return { type: "snapshot" as const, snapshot, keepLog };
}
