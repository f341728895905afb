import { dirname } from "node:path";
import { err, ok, type Result } from "neverthrow";
import type {
  ConsensusStorage,
  StorageFault,
  StorageWrite,
  StoredState,
} from "#agreement";
import { corrupt, faultOf } from "./faults.ts";
import {
  type AppendFile,
  type FileSystem,
  NodeFileSystem,
  replaceFile,
} from "./file_system.ts";
import {
  IDENTITY_NAME,
  MIGRATIONS,
  type Migration,
  newIdentity,
  readIdentity,
  writeIdentity,
} from "./identity.ts";
import { encodeSeal } from "./records.ts";
import {
  maxIndexOf,
  recover,
  removeTemporaries,
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

/** Larger segments make recovery read more that a snapshot already covers. */
const SEGMENT_BYTES = 4 * 1024 * 1024;

const EMPTY_CHECKPOINT: Checkpoint = {
  founding: undefined,
  term: 0,
  vote: undefined,
  snapshotIndex: 0,
};

/** A member's durable state in the files of one folder. */
export class FileStorage implements ConsensusStorage {
  readonly #folder: string;
  readonly #fileSystem: FileSystem;
  readonly #segmentBytes: number;
  readonly #migrations: readonly Migration[];
  #checkpoint = EMPTY_CHECKPOINT;
  #segments: SegmentSummary[] = [];
  #file: AppendFile | undefined;
  /** Length of the last segment, with the seal behind the last batch. */
  #length = 0;
  /** The same, but only what is known to be in the file. */
  #trustedLength = 0;
  #sealing: Promise<void> = Promise.resolve();
  #writing: Promise<unknown> = Promise.resolve();
  #fault: StorageFault | undefined;

  constructor(options: {
    folder: string;
    fileSystem?: FileSystem;
    segmentBytes?: number;
    migrations?: readonly Migration[];
  }) {
    this.#folder = options.folder;
    this.#fileSystem = options.fileSystem ?? new NodeFileSystem();
    this.#segmentBytes = options.segmentBytes ?? SEGMENT_BYTES;
    this.#migrations = options.migrations ?? MIGRATIONS;
  }

  async load(): Promise<Result<StoredState, StorageFault>> {
    try {
      const identity = await this.#openIdentity();
      const { log, segments, length } = await recover(this.#fileSystem, {
        folder: this.#folder,
        identity,
      });
      const { founding, term, vote, snapshot } = log;
      const snapshotIndex = snapshot?.index ?? 0;
      this.#checkpoint = { founding, term, vote, snapshotIndex };
      this.#segments = segments;
      this.#length = length;
      this.#file = await this.#fileSystem.append(this.#currentPath);
      this.#seal();
      await this.#removeCovered();
      return ok(log.state());
    } catch (cause) {
      return err(await this.#fail(cause, "load"));
    }
  }

  /** One call at a time; the writes of a call share one sync. */
  write(writes: readonly StorageWrite[]): Promise<Result<void, StorageFault>> {
    const writing = this.#write(writes);
    this.#writing = writing;
    return writing;
  }

  async #write(
    writes: readonly StorageWrite[],
  ): Promise<Result<void, StorageFault>> {
    if (this.#fault) return err(this.#fault);
    try {
      await this.#sealing;
      if (this.#length >= this.#segmentBytes) await this.#startSegment();
      const logged: LoggedWrite[] = [];
      for (const write of writes) logged.push(await this.#logged(write));
      const bytes = Buffer.concat(logged.map(encodeWrite));
      await this.#file?.write(bytes);
      await this.#file?.sync();
      this.#length += bytes.length;
      this.#seal();
      this.#note(logged);
      const hasSnapshot = logged.some(({ type }) => type === "snapshot");
      if (hasSnapshot) await this.#removeCovered();
      return ok(undefined);
    } catch (cause) {
      return err(await this.#fail(cause, "write"));
    }
  }

  /** Waits for a write under way, so that the folder can be opened again. */
  async close(): Promise<void> {
    await this.#writing;
    this.#fault ??= {
      type: "write_failed",
      operation: "write",
      code: "CLOSED",
      detail: "storage is closed",
    };
    await this.#sealing.catch(() => undefined);
    await this.#file?.close().catch(() => undefined);
    this.#file = undefined;
  }

  get #currentPath(): string {
    return `${this.#folder}/${segmentName(this.#segments.at(-1)?.sequence ?? 1)}`;
  }

  /** An empty folder becomes a new member; the identity is written last. */
  async #openIdentity(): Promise<string> {
    const folder = this.#folder;
    const fileSystem = this.#fileSystem;
    await fileSystem.makeFolder(folder);
    await removeTemporaries(fileSystem, folder);
    const names = await fileSystem.list(folder);
    const migrations = this.#migrations;
    if (names.includes(IDENTITY_NAME)) {
      return await readIdentity(fileSystem, { folder, migrations });
    }
    if (!(await this.#isUnused(names))) {
      throw corrupt(IDENTITY_NAME, 0, "file is missing");
    }
    await this.#createSegment(1, EMPTY_CHECKPOINT);
    const identity = newIdentity();
    await writeIdentity(fileSystem, { folder, identity, migrations });
    await fileSystem.syncFolder(dirname(folder));
    return identity;
  }

  /** Whether setting up the folder was at most begun. */
  async #isUnused(names: readonly string[]): Promise<boolean> {
    if (names.some(isSnapshotName)) return false;
    const sequences = segmentSequences(names);
    if (sequences.length === 0) return true;
    if (sequences.length > 1 || sequences[0] !== 1) return false;
    const path = `${this.#folder}/${segmentName(1)}`;
    const file = await this.#fileSystem.read(path);
    return readSegment(file, { sequence: 1, next: "none" }).isEmpty;
  }

  async #logged(write: StorageWrite): Promise<LoggedWrite> {
    if (write.type !== "snapshot") return write;
    const folder = this.#folder;
    const { snapshot, keepLog } = write;
    await writeSnapshot(this.#fileSystem, { folder, snapshot });
    const { index, term, membership } = snapshot;
    return { type: "snapshot", index, term, membership, keepLog };
  }

  #note(logged: readonly LoggedWrite[]): void {
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

  /** Not synced by itself: a lost seal only leaves the tail undecided. */
  #seal(): void {
    this.#trustedLength = this.#length;
    const seal = encodeSeal(this.#length, false);
    this.#length += seal.length;
    this.#sealing = this.#writeSeal(seal);
    // The failure is reported by the next write, which waits for this one.
    this.#sealing.catch(() => undefined);
  }

  async #writeSeal(seal: Uint8Array): Promise<void> {
    await this.#file?.write(seal);
    this.#trustedLength = this.#length;
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

  async #startSegment(): Promise<void> {
    const sequence = (this.#segments.at(-1)?.sequence ?? 0) + 1;
    const length = await this.#createSegment(sequence, this.#checkpoint);
    await this.#file?.write(encodeSeal(this.#length, true));
    await this.#file?.sync();
    await this.#file?.close();
    this.#segments.push({ sequence, maxIndex: 0 });
    this.#length = length;
    this.#trustedLength = length;
    this.#file = await this.#fileSystem.append(this.#currentPath);
  }

  /** Removes segments and snapshots that the newest snapshot replaces. */
  async #removeCovered(): Promise<void> {
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
   * Refuses all further writes. The unsynced tail is cut off where the disk
   * still allows it: after a failed sync the operating system may show data
   * that the disk does not hold.
   */
  async #fail(cause: unknown, operation: string): Promise<StorageFault> {
    this.#fault ??= faultOf(cause, operation);
    if (operation === "write" && this.#segments.length > 0) {
      await this.#fileSystem
        .truncate(this.#currentPath, this.#trustedLength)
        .catch(() => undefined);
    }
    await this.#file?.close().catch(() => undefined);
    this.#file = undefined;
    return this.#fault;
  }
}
