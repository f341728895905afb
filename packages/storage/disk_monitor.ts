import { basename } from "node:path";
import type { Logger } from "#agreement";
import type { Clock } from "#model";
import { TEMPORARY_FILE_SUFFIX } from "./file_system.ts";
import { IDENTITY_FILE_NAME } from "./identity.ts";
import { segmentSequences } from "./segments.ts";
import { isSnapshotName } from "./snapshot_files.ts";

/**
 * Least room with which control is opened again: for some hundred changes, so that
 * it is not closed by one of the next.
 */
const MIN_ROOM_BYTES = 64 * 1024;

/** What a file of the data folder holds, for logs. */
export type FileKind = "identity" | "log" | "snapshot" | "folder";

/** A change of the data folder that the operating system refused. */
export interface FailedWrite {
  readonly operation: string;
  readonly path: string;
  /** Bytes that were to be written; 0 for an operation without content. */
  readonly bytes: number;
  readonly cause: unknown;
}

/**
 * Follows whether the disk of a control host takes writes. It outlives the
 * storage, which is opened again after each failed write.
 */
export class DiskMonitor {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #failedWrites = new Map<string, number>();
  #failedSince: number | undefined;
  #requiredBytes = MIN_ROOM_BYTES;

  constructor(options: { clock: Clock; logger: Logger }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Whether the last write was taken. */
  get isWritable(): boolean {
    return this.#failedSince === undefined;
  }

  /** Room that the disk must have: no less than for a write that failed. */
  get requiredBytes(): number {
    return this.#requiredBytes;
  }

  /** Numbers of failed writes since the start, by error code. */
  get failedWrites(): ReadonlyMap<string, number> {
    return this.#failedWrites;
  }

  /** Logs the first of a series of failed writes, and counts each. */
  recordFailure({ operation, path, bytes, cause }: FailedWrite): void {
    const code = errorCode(cause);
    this.#failedWrites.set(code, (this.#failedWrites.get(code) ?? 0) + 1);
    this.#requiredBytes = Math.max(this.#requiredBytes, bytes);
    if (this.#failedSince !== undefined) return;
    this.#failedSince = this.#clock.now();
    const file = fileKind(path);
    const details = { operation, file, code, bytes };
    this.#logger.warn("disk takes no writes", details);
  }

  /** Records that written bytes were synced. */
  recordSynced(): void {
    if (this.#failedSince === undefined) return;
    const forMs = Math.round(this.#clock.now() - this.#failedSince);
    this.#failedSince = undefined;
    this.#requiredBytes = MIN_ROOM_BYTES;
    this.#logger.info("disk takes writes again", { forMs });
  }
}

function errorCode(cause: unknown): string {
  return (cause as NodeJS.ErrnoException | undefined)?.code ?? "UNKNOWN";
}

function fileKind(path: string): FileKind {
  const name = basename(path, TEMPORARY_FILE_SUFFIX);
  if (name === IDENTITY_FILE_NAME) return "identity";
  if (segmentSequences([name]).length > 0) return "log";
  return isSnapshotName(name) ? "snapshot" : "folder";
}
