import { constants } from "node:fs";
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
  truncate,
} from "node:fs/promises";

/** A file open for appending. */
export interface AppendFile {
  write(bytes: Uint8Array): Promise<void>;
  /** Resolves once all written bytes are durable. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The file operations that storage uses; each promise rejects on failure. */
export interface FileSystem {
  createFolder(path: string): Promise<void>;
  /** Names of the files in a folder. */
  list(path: string): Promise<string[]>;
  read(path: string): Promise<Buffer>;
  /** Opens a file for appending and creates it if it is missing. */
  openForAppend(path: string): Promise<AppendFile>;
  truncate(path: string, length: number): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Makes the creation, renaming and removal of files durable. */
  syncFolder(path: string): Promise<void>;
}

/** The operating system's file system. */
export class NodeFileSystem implements FileSystem {
  async createFolder(path: string): Promise<void> {
    await mkdir(path, { recursive: true });
  }

  list(path: string): Promise<string[]> {
    return readdir(path);
  }

  read(path: string): Promise<Buffer> {
    return readFile(path);
  }

  async openForAppend(path: string): Promise<AppendFile> {
    return new NodeAppendFile(await open(path, "a"));
  }

  truncate(path: string, length: number): Promise<void> {
    return truncate(path, length);
  }

  rename(from: string, to: string): Promise<void> {
    return rename(from, to);
  }

  remove(path: string): Promise<void> {
    return rm(path, { force: true });
  }

  async syncFolder(path: string): Promise<void> {
    const handle = await open(path, constants.O_RDONLY);
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

class NodeAppendFile implements AppendFile {
  readonly #handle: FileHandle;

  constructor(handle: FileHandle) {
    this.#handle = handle;
  }

  async write(bytes: Uint8Array): Promise<void> {
    let offset = 0;
    while (offset < bytes.length) {
      const { bytesWritten } = await this.#handle.write(bytes, offset);
      offset += bytesWritten;
    }
  }

  sync(): Promise<void> {
    return this.#handle.datasync();
  }

  close(): Promise<void> {
    return this.#handle.close();
  }
}

/**
 * Replaces a file atomically: after a crash it has the old or the new content.
 */
export async function replaceFile(
  fileSystem: FileSystem,
  options: { folder: string; name: string; parts: readonly Uint8Array[] },
): Promise<void> {
  const path = `${options.folder}/${options.name}`;
  const temporary = `${path}${TEMPORARY_FILE_SUFFIX}`;
  await fileSystem.remove(temporary);
  const file = await fileSystem.openForAppend(temporary);
  try {
    for (const part of options.parts) await file.write(part);
    await file.sync();
  } finally {
    await file.close();
  }
  await fileSystem.rename(temporary, path);
  await fileSystem.syncFolder(options.folder);
}

export const TEMPORARY_FILE_SUFFIX = ".tmp";
