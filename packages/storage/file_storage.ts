import { dirname } from "node:path";
import { err, ok, type Result } from "neverthrow";
import type {
  ConsensusStorage,
  StorageFault,
  StorageWrite,
  StoredState,
} from "#agreement";
import { corruptionError, toStorageFault } from "./faults.ts";
import {
  type AppendFile,
  type FileSystem,
  NodeFileSystem,
  replaceFile,
} from "./file_system.ts";
import {
  IDENTITY_FILE_NAME,
  MIGRATIONS,
  type Migration,
  newIdentity,
  readIdentity,
  writeIdentity,
} from "./identity.ts";
import { encodeSeal } from "./records.ts";
import {
  maxIndexOf,
  recoverLog,
  removeTemporaryFiles,
  type SegmentSummary,
} from "./recovery.ts";
import {
  type Checkpoint,
  encodeSegmentHeader,
  encodeWrite,
  type LoggedWrite,
  readSegment,
  segmentName,
  segmentSequences,
} from "./segments.ts";
import {
  isSnapshotName,
  snapshotName,
  writeSnapshot,
} from "./snapshot_files.ts";

/**
 * Size after which a new segment is started. With larger segments, recovery
 * reads more entries that a snapshot already covers.
 */
const MAX_SEGMENT_BYTES = 4 * 1024 * 1024;

const INITIAL_CHECKPOINT: Checkpoint = {
  founding: undefined,
  term: 0,
  vote: undefined,
  snapshotIndex: 0,
};

/**
 * Stores a member's durable state in one folder: an identity file, a log in
 * segments, and the newest snapshot.
 */
export class FileStorage implements ConsensusStorage {
  readonly #folder: string;
  readonly #fileSystem: FileSystem;
  readonly #segmentBytes: number;
  readonly #migrations: readonly Migration[];
  readonly #createIdentity: () => string;
  #checkpoint = INITIAL_CHECKPOINT;
  #segments: SegmentSummary[] = [];
  #segmentFile: AppendFile | undefined;
  /** Length of the last segment in bytes, including its newest seal. */
  #segmentLength = 0;
  /** The same, but without the newest seal, which is not synced. */
  #syncedLength = 0;
  #pendingSeal: Promise<void> = Promise.resolve();
  #pendingWrite: Promise<unknown> = Promise.resolve();
  #fault: StorageFault | undefined;

  constructor(options: {
    folder: string;
    fileSystem?: FileSystem;
    segmentBytes?: number;
    migrations?: readonly Migration[];
    /** Identity of a folder that is empty; default: a random one. */
    createIdentity?: () => string;
  }) {
    this.#folder = options.folder;
    this.#fileSystem = options.fileSystem ?? new NodeFileSystem();
    this.#segmentBytes = options.segmentBytes ?? MAX_SEGMENT_BYTES;
    this.#migrations = options.migrations ?? MIGRATIONS;
    this.#createIdentity = options.createIdentity ?? newIdentity;
  }

  async load(): Promise<Result<StoredState, StorageFault>> {
    try {
      const identity = await this.#openIdentity();
      const { log, segments, length } = await recoverLog(this.#fileSystem, {
        folder: this.#folder,
        identity,
      });
      const { founding, term, vote, snapshot } = log;
      const snapshotIndex = snapshot?.index ?? 0;
      this.#checkpoint = { founding, term, vote, snapshotIndex };
      this.#segments = segments;
      this.#segmentLength = length;
      this.#segmentFile = await this.#fileSystem.openForAppend(
        this.#segmentPath,
      );
      this.#startSeal();
      await this.#removeSuperseded();
      return ok(log.state());
    } catch (cause) {
      return err(await this.#fail(cause, "load"));
    }
  }

  /** Must not be called concurrently; the writes of a call share one sync. */
  write(writes: readonly StorageWrite[]): Promise<Result<void, StorageFault>> {
    const writing = this.#write(writes);
    this.#pendingWrite = writing;
    return writing;
  }

  async #write(
    writes: readonly StorageWrite[],
  ): Promise<Result<void, StorageFault>> {
    if (this.#fault) return err(this.#fault);
    try {
      await this.#pendingSeal;
      if (this.#segmentLength >= this.#segmentBytes)
        await this.#startNextSegment();
      const logged: LoggedWrite[] = [];
      for (const write of writes) logged.push(await this.#toLoggedWrite(write));
      const bytes = Buffer.concat(logged.map(encodeWrite));
      await this.#segmentFile?.write(bytes);
      await this.#segmentFile?.sync();
      this.#segmentLength += bytes.length;
      this.#startSeal();
      this.#updateSummaries(logged);
      const hasSnapshot = logged.some(({ type }) => type === "snapshot");
      if (hasSnapshot) await this.#removeSuperseded();
      return ok(undefined);
    } catch (cause) {
      return err(await this.#fail(cause, "write"));
    }
  }

  /** Waits for a running write, so that the folder can be opened again. */
  async close(): Promise<void> {
    await this.#pendingWrite;
    this.#fault ??= {
      type: "write_failed",
      operation: "write",
      code: "CLOSED",
      detail: "storage is closed",
    };
    await this.#pendingSeal.catch(() => undefined);
    await this.#segmentFile?.close().catch(() => undefined);
    this.#segmentFile = undefined;
  }

  get #segmentPath(): string {
    return `${this.#folder}/${segmentName(this.#segments.at(-1)?.sequence ?? 1)}`;
  }

  /**
   * Reads the identity, or sets up an empty folder for a new member. The
   * identity is written last, so that an interrupted setup is recognized.
   */
  async #openIdentity(): Promise<string> {
    const folder = this.#folder;
    const fileSystem = this.#fileSystem;
    await fileSystem.createFolder(folder);
    await removeTemporaryFiles(fileSystem, folder);
    const names = await fileSystem.list(folder);
    const migrations = this.#migrations;
    if (names.includes(IDENTITY_FILE_NAME)) {
      return await readIdentity(fileSystem, { folder, migrations });
    }
    if (!(await this.#isSetupIncomplete(names))) {
      throw corruptionError(IDENTITY_FILE_NAME, 0, "file is missing");
    }
    await this.#createSegment(1, INITIAL_CHECKPOINT);
    const identity = this.#createIdentity();
    await writeIdentity(fileSystem, { folder, identity, migrations });
    await fileSystem.syncFolder(dirname(folder));
    return identity;
  }

  /** Whether the folder is empty or its setup was interrupted. */
  async #isSetupIncomplete(names: readonly string[]): Promise<boolean> {
    if (names.some(isSnapshotName)) return false;
    const sequences = segmentSequences(names);
    if (sequences.length === 0) return true;
    if (sequences.length > 1 || sequences[0] !== 1) return false;
    const path = `${this.#folder}/${segmentName(1)}`;
    const file = await this.#fileSystem.read(path);
    return readSegment(file, { sequence: 1, next: "none" }).isEmpty;
  }

  async #toLoggedWrite(write: StorageWrite): Promise<LoggedWrite> {
    if (write.type !== "snapshot") return write;
    const folder = this.#folder;
    const { snapshot, keepLog } = write;
    await writeSnapshot(this.#fileSystem, { folder, snapshot });
    const { index, term, membership } = snapshot;
    return { type: "snapshot", index, term, membership, keepLog };
  }

  #updateSummaries(logged: readonly LoggedWrite[]): void {
    for (const write of logged) {
      if (write.type === "founding") {
        this.#checkpoint = { ...this.#checkpoint, founding: write.founding };
      } else if (write.type === "vote") {
        const { term, vote } = write;
        this.#checkpoint = { ...this.#checkpoint, term, vote };
      } else if (write.type === "snapshot") {
        const snapshotIndex = write.index;
        this.#checkpoint = { ...this.#checkpoint, snapshotIndex };
      }
    }
    const segment = this.#segments.at(-1);
    if (!segment) return;
    segment.maxIndex = Math.max(segment.maxIndex, maxIndexOf(logged));
  }

  /**
   * Starts to write a seal after a synced batch. The seal is not synced itself:
   * if it is lost, recovery only cannot tell damage to the batch from a torn
   * write.
   */
  #startSeal(): void {
    this.#syncedLength = this.#segmentLength;
    const seal = encodeSeal(this.#segmentLength, false);
    this.#segmentLength += seal.length;
    this.#pendingSeal = Promise.resolve(this.#segmentFile?.write(seal));
    // The next write awaits this promise and reports the failure.
    this.#pendingSeal.catch(() => undefined);
  }

  async #createSegment(
    sequence: number,
    checkpoint: Checkpoint,
  ): Promise<number> {
    const header = encodeSegmentHeader(sequence, checkpoint);
    await replaceFile(this.#fileSystem, {
      folder: this.#folder,
      name: segmentName(sequence),
      parts: [header],
    });
    return header.length;
  }

  async #startNextSegment(): Promise<void> {
    const sequence = (this.#segments.at(-1)?.sequence ?? 0) + 1;
    const length = await this.#createSegment(sequence, this.#checkpoint);
    await this.#segmentFile?.write(encodeSeal(this.#segmentLength, true));
    await this.#segmentFile?.sync();
    await this.#segmentFile?.close();
    this.#segments.push({ sequence, maxIndex: 0 });
    this.#segmentLength = length;
    this.#syncedLength = length;
    this.#segmentFile = await this.#fileSystem.openForAppend(this.#segmentPath);
  }

  /** Removes the segments and snapshots that the newest snapshot supersedes. */
  async #removeSuperseded(): Promise<void> {
    const { snapshotIndex } = this.#checkpoint;
    const fileSystem = this.#fileSystem;
    for (;;) {
      const [oldest, next] = this.#segments;
      if (!oldest || !next || oldest.maxIndex > snapshotIndex) break;
      const name = segmentName(oldest.sequence);
      await fileSystem.remove(`${this.#folder}/${name}`);
      await fileSystem.syncFolder(this.#folder);
      this.#segments.shift();
    }
    const current = snapshotName(snapshotIndex);
    for (const name of await fileSystem.list(this.#folder)) {
      if (!isSnapshotName(name) || name === current) continue;
      await fileSystem.remove(`${this.#folder}/${name}`);
    }
  }

  /**
   * Records a fault, after which all writes are refused. If possible, the
   * unsynced tail is truncated, the seal before the batch included: after a
   * failed sync, the operating system may return data from its cache that the
   * disk does not hold, and a lost seal would count as damage later.
   */
  async #fail(cause: unknown, operation: string): Promise<StorageFault> {
    this.#fault ??= toStorageFault(cause, operation);
    if (operation === "write" && this.#segments.length > 0) {
      await this.#fileSystem
        .truncate(this.#segmentPath, this.#syncedLength)
        .catch(() => undefined);
    }
    await this.#segmentFile?.close().catch(() => undefined);
    this.#segmentFile = undefined;
    return this.#fault;
  }
}
