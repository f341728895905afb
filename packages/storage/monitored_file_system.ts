import type { DiskMonitor } from "./disk_monitor.ts";
import type { AppendFile, FileSystem } from "./file_system.ts";

/** Reports to a `DiskMonitor` which changes of the files fail. */
export class MonitoredFileSystem implements FileSystem {
  readonly #files: FileSystem;
  readonly #monitor: DiskMonitor;

  constructor(files: FileSystem, monitor: DiskMonitor) {
    this.#files = files;
    this.#monitor = monitor;
  }

  createFolder(path: string): Promise<void> {
    const running = this.#files.createFolder(path);
    return this.#watch(running, { operation: "createFolder", path });
  }

  list(path: string): Promise<string[]> {
    return this.#files.list(path);
  }

  read(path: string): Promise<Buffer> {
    return this.#files.read(path);
  }

  async openForAppend(path: string): Promise<AppendFile> {
    const opening = this.#files.openForAppend(path);
    const file = await this.#watch(opening, { operation: "open", path });
    // A sync shows that the disk takes writes only if it had some to sync.
    let unsyncedBytes = 0;
    return {
      write: async (content) => {
        const bytes = content.length;
        const running = file.write(content);
        await this.#watch(running, { operation: "write", path, bytes });
        unsyncedBytes += bytes;
      },
      sync: async () => {
        const bytes = unsyncedBytes;
        await this.#watch(file.sync(), { operation: "sync", path, bytes });
        if (bytes > 0) this.#monitor.recordSynced();
        unsyncedBytes -= bytes;
      },
      close: () => file.close(),
    };
  }

  truncate(path: string, length: number): Promise<void> {
    const running = this.#files.truncate(path, length);
    return this.#watch(running, { operation: "truncate", path });
  }

  rename(from: string, to: string): Promise<void> {
    const running = this.#files.rename(from, to);
    return this.#watch(running, { operation: "rename", path: to });
  }

  remove(path: string): Promise<void> {
    const running = this.#files.remove(path);
    return this.#watch(running, { operation: "remove", path });
  }

  syncFolder(path: string): Promise<void> {
    const running = this.#files.syncFolder(path);
    return this.#watch(running, { operation: "syncFolder", path });
  }

  /** Reports the failure of an operation that is running, and passes it on. */
  async #watch<T>(
    running: Promise<T>,
    attempt: { operation: string; path: string; bytes?: number },
  ): Promise<T> {
    try {
      return await running;
    } catch (cause) {
      const { bytes = 0 } = attempt;
      this.#monitor.recordFailure({ ...attempt, bytes, cause });
      throw cause;
    }
  }
}
