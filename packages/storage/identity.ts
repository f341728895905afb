import { randomBytes } from "node:crypto";
import { decodeCommand, encodeCommand } from "./codec.ts";
import { corrupt, StorageError } from "./faults.ts";
import { type FileSystem, replaceFile } from "./file_system.ts";
import { encodeRecord, RECORD_KINDS, readRecord } from "./records.ts";

export const IDENTITY_NAME = "identity";

/** Format of a folder before any migration. */
const FIRST_FORMAT = 1;

/** A step from one folder format to the next. */
export interface Migration {
  /** The format after the step; the numbers are consecutive from 2 on. */
  readonly to: number;
  /** May be cut off by a crash and is then run again from the start. */
  readonly run: (fileSystem: FileSystem, folder: string) => Promise<void>;
}

export const MIGRATIONS: readonly Migration[] = [];

interface IdentityFile {
  readonly format: number;
  readonly identity: string;
}

/** A new identity, which no other folder has. */
export function newIdentity(): string {
  return randomBytes(8).toString("hex");
}

/** Makes the folder a member; the last step of setting it up. */
export async function writeIdentity(
  fileSystem: FileSystem,
  options: {
    folder: string;
    identity: string;
    migrations: readonly Migration[];
  },
): Promise<void> {
  const { folder, identity, migrations } = options;
  const format = migrations.at(-1)?.to ?? FIRST_FORMAT;
  await writeFile(fileSystem, { folder, content: { format, identity } });
}

/** Reads the identity and brings the folder to the newest format. */
export async function readIdentity(
  fileSystem: FileSystem,
  options: { folder: string; migrations: readonly Migration[] },
): Promise<string> {
  const { folder, migrations } = options;
  const bytes = await fileSystem.read(`${folder}/${IDENTITY_NAME}`);
  const record = readRecord(bytes, 0);
  if (record?.kind !== RECORD_KINDS.header || record.end !== bytes.length) {
    throw corrupt(IDENTITY_NAME, 0, "content is damaged");
  }
  const { format, identity } = decodeCommand(record.content) as IdentityFile;
  if (format > (migrations.at(-1)?.to ?? FIRST_FORMAT)) {
    const fault = { file: IDENTITY_NAME, version: format };
    throw new StorageError({ type: "unsupported_format", ...fault });
  }
  for (const { to, run } of migrations) {
    if (to <= format) continue;
    await run(fileSystem, folder);
    const content = { format: to, identity };
    await writeFile(fileSystem, { folder, content });
  }
  return identity;
}

async function writeFile(
  fileSystem: FileSystem,
  { folder, content }: { folder: string; content: IdentityFile },
): Promise<void> {
  const record = encodeRecord(RECORD_KINDS.header, encodeCommand(content));
  const parts = [record];
  await replaceFile(fileSystem, { folder, name: IDENTITY_NAME, parts });
}
