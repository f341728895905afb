import type { SeededRandomness } from "#model";
import {
  type AppendFile,
  type FileSystem,
  NodeFileSystem,
} from "./file_system.ts";

interface MemoryFile {
  data: Buffer;
  syncedLength: number;
  /** From here on a failed sync lost bytes, which reads still return. */
  lostFrom?: number;
  lostTo?: number;
}

/** Returns the error code with which an operation fails, if it does. */
export type FailureRule = (
  operation: keyof FileSystem | "write" | "sync",
  path: string,
) => string | undefined;

/**
 * Real files that are never synced: on a busy disk a sync can take longer than
 * an election timeout, which would make tests depend on the load of the disk.
 */
export class UnsyncedFileSystem extends NodeFileSystem {
  override async openForAppend(path: string): Promise<AppendFile> {
    const file = await super.openForAppend(path);
    return {
      write: (bytes) => file.write(bytes),
      sync: async () => undefined,
      close: () => file.close(),
    };
  }

  override async syncFolder(): Promise<void> {}
}

/** An in-memory file system that simulates failures, crashes and damage. */
export class MemoryFileSystem implements FileSystem {
  failureRule: FailureRule = () => undefined;
  /** Bytes that all files together may have; a write above it is cut short. */
  capacity = Number.POSITIVE_INFINITY;
  /**
   * Whether the bytes of a failed sync never reach the disk, although the cache
   * returns them and a later sync succeeds.
   */
  losesFailedSyncs = false;
  #files = new Map<string, MemoryFile>();
  /** The files by the names that they keep after a crash. */
  #durableNames = new Map<string, MemoryFile>();

  /** Bytes of all files. */
  get usedBytes(): number {
    let used = 0;
    for (const { data } of new Set(this.#files.values())) used += data.length;
    return used;
  }

  async createFolder(path: string): Promise<void> {
    this.#check("createFolder", path);
  }

  async list(path: string): Promise<string[]> {
    this.#check("list", path);
    const names = [...this.#files.keys()];
    return names.map((name) => name.slice(path.length + 1));
  }

  async read(path: string): Promise<Buffer> {
    this.#check("read", path);
    return Buffer.from(this.#file(path).data);
  }

  async openForAppend(path: string): Promise<AppendFile> {
    this.#check("openForAppend", path);
    const empty: MemoryFile = { data: Buffer.alloc(0), syncedLength: 0 };
    const file = this.#files.get(path) ?? empty;
    this.#files.set(path, file);
    return {
      write: async (bytes) => {
        const free = Math.max(0, this.capacity - this.usedBytes);
        const failed = this.failureRule("write", path);
        const code = failed ?? (bytes.length > free ? "ENOSPC" : undefined);
        // A full disk may still write some of the bytes.
        const written = failed ? bytes.length >> 1 : bytes.length;
        const taken = bytes.subarray(0, Math.min(free, written));
        file.data = Buffer.concat([file.data, taken]);
        if (code) throw failure(code);
      },
      sync: async () => {
        if (this.failureRule("sync", path) && this.losesFailedSyncs) {
          file.lostFrom ??= file.syncedLength;
          file.lostTo = file.data.length;
        }
        this.#check("sync", path);
        file.syncedLength = file.data.length;
      },
      close: async () => undefined,
    };
  }

  async truncate(path: string, length: number): Promise<void> {
    this.#check("truncate", path);
    const file = this.#file(path);
    file.data = file.data.subarray(0, length);
    file.syncedLength = Math.min(file.syncedLength, length);
    file.lostTo = Math.min(file.lostTo ?? 0, length);
  }

  async rename(from: string, to: string): Promise<void> {
    this.#check("rename", to);
    this.#files.set(to, this.#file(from));
    this.#files.delete(from);
  }

  async remove(path: string): Promise<void> {
    this.#check("remove", path);
    this.#files.delete(path);
  }

  async syncFolder(path: string): Promise<void> {
    this.#check("syncFolder", path);
    this.#durableNames = new Map(this.#files);
  }

  /**
   * Simulates a crash: keeps a random part of the unsynced bytes of each file,
   * and either all or none of the name changes since the folder was synced.
   */
  crash(random: SeededRandomness): void {
    if (random.next() < 0.5) this.#files = new Map(this.#durableNames);
    for (const file of this.#files.values()) {
      const unsynced = file.data.length - file.syncedLength;
      const kept = file.syncedLength + random.below(unsynced + 1);
      file.data = Buffer.from(file.data.subarray(0, kept));
      const lostTo = Math.min(file.lostTo ?? 0, kept);
      file.data.fill(0, file.lostFrom ?? kept, lostTo);
      file.syncedLength = kept;
    }
    this.failureRule = () => undefined;
  }

  /** Replaces a file's content, to simulate a disk fault. */
  replaceContent(path: string, content: (data: Buffer) => Buffer): void {
    const data = content(Buffer.from(this.#file(path).data));
    this.#files.set(path, { data, syncedLength: data.length });
  }

  /** Returns an independent copy, with all files synced. */
  copy(): MemoryFileSystem {
    const copy = new MemoryFileSystem();
    for (const [path, { data }] of this.#files) {
      const file = { data: Buffer.from(data), syncedLength: data.length };
      copy.#files.set(path, file);
    }
    copy.#durableNames = new Map(copy.#files);
    return copy;
  }

  #file(path: string): MemoryFile {
    const file = this.#files.get(path);
    if (!file) throw failure("ENOENT");
    return file;
  }

  #check(operation: Parameters<FailureRule>[0], path: string): void {
    const code = this.failureRule(operation, path);
    if (code) throw failure(code);
  }
}

function failure(code: string): Error {
  return Object.assign(new Error(code), { code });
}
