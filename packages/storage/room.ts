import {
  type FileSystem,
  replaceFile,
  TEMPORARY_FILE_SUFFIX,
} from "./file_system.ts";

const PROBE_NAME = `room${TEMPORARY_FILE_SUFFIX}`;

/**
 * Whether a file of some bytes can be written and synced in a folder. The file is
 * removed again; if that fails too, the next start does it.
 */
export async function hasRoom(
  fileSystem: FileSystem,
  options: { folder: string; bytes: number },
): Promise<boolean> {
  const { folder, bytes } = options;
  const path = `${folder}/${PROBE_NAME}`;
  try {
    await fileSystem.createFolder(folder);
    const parts = [new Uint8Array(bytes)];
    await replaceFile(fileSystem, { folder, name: PROBE_NAME, parts });
    await fileSystem.remove(path);
    return true;
  } catch {
    const temporary = `${path}${TEMPORARY_FILE_SUFFIX}`;
    for (const left of [path, temporary]) {
      await fileSystem.remove(left).catch(() => undefined);
    }
    return false;
  }
}
