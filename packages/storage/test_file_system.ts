import type { SeededRandomness } from "#model";
import {
  type AppendFile,
  type FileSystem,
  NodeFileSystem,
} from "./file_system.ts";

interface MemoryFile {
  data: Buffer;
  syncedLength: number;
}

/** Decides whether an operation fails; returns an error code if it does. */
export type FailureRule = (
  operation: keyof FileSystem | "write" | "sync",
  path: string,
) => string | undefined;

/**
 * Real files without waiting for the disk: on a busy disk a sync can take
 * longer than an election timeout, which would make a test depend on it.
 */
export class UnsyncedFileSystem extends NodeFileSystem {
  override async append(path: string): Promise<AppendFile> {
    const file = await super.append(path);
    return {
      write: (bytes) => file.write(bytes),
      sync: async () => undefined,
      close: () => file.close(),
    };
  }

  override async syncFolder(): Promise<void> {}
}

/** Files in memory that lose what was not synced at a crash. */
export class MemoryFileSystem implements FileSystem {
  fails: FailureRule = () => undefined;
  #files = new Map<string, MemoryFile>();
  /** The names that are durable. */
  #durable = new Map<string, MemoryFile>();

  async makeFolder(path: string): Promise<void> {
    this.#check("makeFolder", path);
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

  async append(path: string): Promise<AppendFile> {
    this.#check("append", path);
    const empty = { data: Buffer.alloc(0), syncedLength: 0 };
    const file = this.#files.get(path) ?? empty;
    this.#files.set(path, file);
    return {
      write: async (bytes) => {
        const code = this.fails("write", path);
        // A full disk still takes a part of the bytes.
        const taken = code ? bytes.subarray(0, bytes.length >> 1) : bytes;
        file.data = Buffer.concat([file.data, taken]);
        if (code) throw failure(code);
      },
      sync: async () => {
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
    this.#durable = new Map(this.#files);
  }

  /**
   * Keeps a random part of what was not synced, and either all or none of the
   * names that were changed since the folder was synced.
   */
  crash(random: SeededRandomness): void {
    if (random.next() < 0.5) this.#files = new Map(this.#durable);
    for (const file of this.#files.values()) {
      const unsynced = file.data.length - file.syncedLength;
      const kept = file.syncedLength + random.below(unsynced + 1);
      file.data = Buffer.from(file.data.subarray(0, kept));
      file.syncedLength = kept;
    }
    this.fails = () => undefined;
  }

  /** Replaces a file's content, as a fault of the disk does. */
  change(path: string, content: (data: Buffer) => Buffer): void {
    const data = content(Buffer.from(this.#file(path).data));
    this.#files.set(path, { data, syncedLength: data.length });
  }

  /** The same files, to be damaged independently. */
  copy(): MemoryFileSystem {
    const copy = new MemoryFileSystem();
    for (const [path, { data }] of this.#files) {
      const file = { data: Buffer.from(data), syncedLength: data.length };
      copy.#files.set(path, file);
    }
    copy.#durable = new Map(copy.#files);
    return copy;
  }

  #file(path: string): MemoryFile {
    const file = this.#files.get(path);
    if (!file) throw failure("ENOENT");
    return file;
  }

  #check(operation: Parameters<FailureRule>[0], path: string): void {
    const code = this.fails(operation, path);
    if (code) throw failure(code);
  }
}

function failure(code: string): Error {
  return Object.assign(new Error(code), { code });
}
