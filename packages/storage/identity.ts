import { randomBytes } from "node:crypto";
import { decodeCbor, encodeCbor } from "./codec.ts";
import { corruptionError, StorageError } from "./faults.ts";
import { type FileSystem, replaceFile } from "./file_system.ts";
import { encodeRecord, RECORD_KINDS, readRecord } from "./records.ts";

export const IDENTITY_FILE_NAME = "identity";

/** Format version of a data folder before any migration. */
const INITIAL_FORMAT_VERSION = 1;

/** Converts a data folder from one format version to the next. */
export interface Migration {
  /** Format version after the migration; versions are consecutive from 2 on. */
  readonly to: number;
  /** Must be repeatable: a migration that a crash interrupts is run again. */
  readonly run: (fileSystem: FileSystem, folder: string) => Promise<void>;
}

export const MIGRATIONS: readonly Migration[] = [];

interface IdentityContent {
  readonly format: number;
  readonly identity: string;
}

/** Creates a random identity that no other data folder has. */
export function newIdentity(): string {
  return randomBytes(8).toString("hex");
}

/** Writes the identity file; this completes the setup of a data folder. */
export async function writeIdentity(
  fileSystem: FileSystem,
  options: {
    folder: string;
    identity: string;
    migrations: readonly Migration[];
  },
): Promise<void> {
  const { folder, identity, migrations } = options;
  const format = migrations.at(-1)?.to ?? INITIAL_FORMAT_VERSION;
  await writeIdentityFile(fileSystem, {
    folder,
    content: { format, identity },
  });
}

/** Reads the identity, and migrates the folder to the newest format. */
export async function readIdentity(
  fileSystem: FileSystem,
  options: { folder: string; migrations: readonly Migration[] },
): Promise<string> {
  const { folder, migrations } = options;
  const bytes = await fileSystem.read(`${folder}/${IDENTITY_FILE_NAME}`);
  const record = readRecord(bytes, 0);
  if (record?.kind !== RECORD_KINDS.header || record.end !== bytes.length) {
    throw corruptionError(IDENTITY_FILE_NAME, 0, "content is damaged");
  }
  const { format, identity } = decodeCbor(record.content) as IdentityContent;
  if (format > (migrations.at(-1)?.to ?? INITIAL_FORMAT_VERSION)) {
    const fault = { file: IDENTITY_FILE_NAME, version: format };
    throw new StorageError({ type: "unsupported_format", ...fault });
  }
  for (const { to, run } of migrations) {
    if (to <= format) continue;
    await run(fileSystem, folder);
    const content = { format: to, identity };
    await writeIdentityFile(fileSystem, { folder, content });
  }
  return identity;
}

async function writeIdentityFile(
  fileSystem: FileSystem,
  { folder, content }: { folder: string; content: IdentityContent },
): Promise<void> {
  const record = encodeRecord(RECORD_KINDS.header, encodeCbor(content));
  const parts = [record];
  await replaceFile(fileSystem, { folder, name: IDENTITY_FILE_NAME, parts });
}
