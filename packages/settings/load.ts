import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import { err, ok, type Result } from "neverthrow";
import { type DocumentFault, parseText, type SourceMap } from "#document";
import { type Address, formatAddress } from "#model";
import { CONTROL_SCHEMA, ENTRY_SCHEMA } from "./schema.ts";
import type { ControlSettings, EntrySettings } from "./settings.ts";

/** Reads and validates the settings file of an entry. */
export async function loadEntrySettings(
  path: string,
): Promise<Result<EntrySettings, DocumentFault[]>> {
  const text = await readText(path);
  return text.andThen((content) => parseEntrySettings(path, content));
}

/** Reads and validates the settings file of a control host. */
export async function loadControlSettings(
  path: string,
): Promise<Result<ControlSettings, DocumentFault[]>> {
  const text = await readText(path);
  return text.andThen((content) => parseControlSettings(path, content));
}

async function readText(
  path: string,
): Promise<Result<string, DocumentFault[]>> {
  try {
    return ok(await readFile(path, "utf8"));
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    const place = { file: path, line: 1, key: "" };
    const expected = "a readable file";
    return err([{ type: "unreadable_file", ...place, expected, found }]);
  }
}

/** Parses and validates the text of an entry's settings file. */
export function parseEntrySettings(
  path: string,
  text: string,
): Result<EntrySettings, DocumentFault[]> {
  const parsed = parseText({ file: path, text }, ENTRY_SCHEMA);
  if (parsed.isErr()) return err(parsed.error);
  const { value, source } = parsed.value;
  const faults = checkDistinctAddresses(source, [
    { key: ["http"], address: value.http },
    { key: ["peer"], address: value.peer },
    { key: ["metrics"], address: value.metrics },
    ...(value.handover ? [{ key: ["handover"], address: value.handover }] : []),
  ]);
  if (faults.length > 0) return err(faults);
  const { limits } = value;
  return ok({
    id: value.id,
    cluster: value.cluster,
    dataCentre: value.data_centre,
    http: value.http,
    peer: value.peer,
    metrics: value.metrics,
    ...(value.handover && { handover: value.handover }),
    control: value.control,
    limits: {
      headerMaxBytes: limits.header_max_bytes,
      bodyMaxBytes: limits.body_max_bytes,
      responseBodyMaxBytes: limits.response_body_max_bytes,
      headerTimeoutMs: limits.header_timeout_ms,
      bodyTimeoutMs: limits.body_timeout_ms,
      idleConnectionMs: limits.idle_connection_ms,
      connectionsMax: limits.connections_max,
      queueMaxCalls: limits.queue_max_calls,
    },
  });
}

/** Parses and validates the text of a control host's settings file. */
export function parseControlSettings(
  path: string,
  text: string,
): Result<ControlSettings, DocumentFault[]> {
  const parsed = parseText({ file: path, text }, CONTROL_SCHEMA);
  if (parsed.isErr()) return err(parsed.error);
  const { value, source } = parsed.value;
  const faults = [
    ...checkDistinctAddresses(source, [
      { key: ["http"], address: value.http },
      { key: ["peer"], address: value.peer },
    ]),
    ...checkMembers(source, value),
  ];
  if (faults.length > 0) return err(faults);
  const { limits } = value;
  return ok({
    id: value.id,
    cluster: value.cluster,
    dataCentre: value.data_centre,
    dataFolder: resolve(dirname(path), value.data_folder),
    http: value.http,
    peer: value.peer,
    members: value.members.map(({ id, host, port }) => ({
      id,
      peer: { host, port },
    })),
    systemCredentialSha256: value.system_credential_sha256,
    limits: {
      headerMaxBytes: limits.header_max_bytes,
      bodyMaxBytes: limits.body_max_bytes,
      requestTimeoutMs: limits.request_timeout_ms,
      connectionsMax: limits.connections_max,
    },
  });
}

/** An address and its key in the settings. */
type KeyedAddress = {
  readonly key: readonly PropertyKey[];
  readonly address: Address;
};

function checkDistinctAddresses(
  source: SourceMap,
  addresses: readonly KeyedAddress[],
): DocumentFault[] {
  const firstKeys = new Map<string, string>();
  const faults: DocumentFault[] = [];
  for (const { key, address } of addresses) {
    const found = formatAddress(address);
    const firstKey = firstKeys.get(found);
    firstKeys.set(found, firstKey ?? key.join("."));
    if (firstKey === undefined) continue;
    const expected = `another address than that of ${firstKey}`;
    faults.push(source.fault("invalid_value", key, { expected, found }));
  }
  return faults;
}

interface MemberInput {
  readonly id: string;
  readonly peer: Address;
  readonly members: readonly (Address & { readonly id: string })[];
}

function checkMembers(source: SourceMap, value: MemberInput): DocumentFault[] {
  const { members, id, peer } = value;
  const addresses = members.map((address, index) => {
    return { key: ["members", index], address };
  });
  const faults = checkDistinctAddresses(source, addresses);
  members.forEach((member, index) => {
    if (members.findIndex((other) => other.id === member.id) < index) {
      const details = {
        expected: "an id that is listed once",
        found: member.id,
      };
      faults.push(
        source.fault("invalid_value", ["members", index, "id"], details),
      );
    }
    if (member.id === id && formatAddress(member) !== formatAddress(peer)) {
      const expected = `the peer address of this host, ${formatAddress(peer)}`;
      const details = { expected, found: formatAddress(member) };
      faults.push(source.fault("invalid_value", ["members", index], details));
    }
  });
  return faults;
}
