import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { DocumentFault } from "#document";
import { type Entry, hash32 } from "#model";
import type { PutReply } from "./commands.ts";
import type { StoredItem } from "./items.ts";

/** Version of the snapshot format that this build writes. */
export const SNAPSHOT_FORMAT = 2;

/** Why a snapshot cannot be restored. */
export type SnapshotFault =
  | { readonly type: "snapshot_malformed"; readonly detail: string }
  | { readonly type: "snapshot_checksum_wrong" }
  | { readonly type: "snapshot_format_unknown"; readonly format: number }
  | {
      readonly type: "snapshot_document_invalid";
      readonly faults: readonly DocumentFault[];
    };

/** Converts the state of one format to the next format. */
export type Migration = (state: unknown) => unknown;

/**
 * Migrations by the format that they read: key 1 converts format 1 to 2. A new
 * document schema that rejects formerly accepted texts needs a migration too,
 * because snapshots contain the texts.
 */
export const MIGRATIONS: Readonly<Record<number, Migration>> = {
  // Format 2 added configuration items, leaving servers and control hosts.
  1: (state) => ({
    ...(state as object),
    items: [],
    leaving: [],
    controls: [],
  }),
};

const number = z.number();
const address = z.object({ host: z.string(), port: number });
const entry: z.ZodType<Entry> = z.object({
  id: z.string(),
  incarnation: number,
  dataCentre: z.string(),
  http: address,
  peer: address,
  handover: address.optional(),
  processorShare: number.optional(),
  state: z.enum(["ready", "stopping"]),
});
const view = z.object({
  epoch: number,
  entries: z.array(entry),
  began: number,
});
const reply = z.custom<PutReply>(
  (value) =>
    typeof value === "object" &&
    value !== null &&
    "type" in value &&
    typeof value.type === "string",
);
const heldItem = z
  .custom<StoredItem>(
    (value) =>
      typeof value === "object" &&
      value !== null &&
      "type" in value &&
      (value.type === "item" || value.type === "removed"),
  )
  .transform(withInfiniteNumbers);
const STATE_SCHEMA = z.object({
  version: number,
  documentRevision: number,
  now: number,
  sections: z.array(
    z.object({
      section: z.string(),
      revision: number,
      documentRevision: number,
      text: z.string(),
      team: z.string(),
      changeId: z.string(),
      at: number,
    }),
  ),
  answers: z.array(
    z.object({ key: z.string(), content: z.string(), at: number, reply }),
  ),
  view,
  formerViews: z.array(view.extend({ ended: number })),
  stops: z.array(
    z.object({
      stop: z.string(),
      phase: z.enum(["pending", "draining", "done", "overdue"]),
      since: number,
      version: number,
      definition: z.string(),
    }),
  ),
  items: z.array(heldItem),
  leaving: z.array(
    z.object({ id: z.string(), incarnation: number, at: number }),
  ),
  controls: z.array(z.object({ id: z.string(), peer: address })),
});

/**
 * Restores the infinite versions and durations that builds up to 74709bf took, for
 * which JSON has null. Otherwise a host that restored a snapshot compares versions
 * differently from one that applied the log. No other field of an item is null.
 */
function withInfiniteNumbers(held: StoredItem): StoredItem {
  return JSON.parse(JSON.stringify(held), (_key, value) =>
    value === null ? Number.POSITIVE_INFINITY : value,
  );
}

/** The whole state of the registry, as a snapshot stores it. */
export type RegistryState = z.infer<typeof STATE_SCHEMA>;

const ENVELOPE_SCHEMA = z.object({
  format: z.int(),
  checksum: z.int(),
  state: z.string(),
});

/** Encodes a state as UTF-8 JSON with its format and checksum. */
export function encodeSnapshot(state: RegistryState): Uint8Array {
  const text = JSON.stringify(state);
  const checksum = hash32(text);
  const envelope = { format: SNAPSHOT_FORMAT, checksum, state: text };
  return new TextEncoder().encode(JSON.stringify(envelope));
}

/** Decodes a snapshot of this format or of an older one. */
export function decodeSnapshot(
  bytes: Uint8Array,
  options: {
    readonly format?: number;
    readonly migrations?: Readonly<Record<number, Migration>>;
  } = {},
): Result<RegistryState, SnapshotFault> {
  const { format = SNAPSHOT_FORMAT, migrations = MIGRATIONS } = options;
  const envelope = ENVELOPE_SCHEMA.safeParse(parseJson(bytes));
  if (!envelope.success) {
    const detail = z.prettifyError(envelope.error);
    return err({ type: "snapshot_malformed", detail });
  }
  const { checksum, state: text } = envelope.data;
  if (hash32(text) !== checksum) {
    return err({ type: "snapshot_checksum_wrong" });
  }
  let state: unknown = JSON.parse(text);
  for (let from = envelope.data.format; from !== format; from++) {
    const migration = migrations[from];
    if (from > format || migration === undefined) {
      const { format: found } = envelope.data;
      return err({ type: "snapshot_format_unknown", format: found });
    }
    state = migration(state);
  }
  const checked = STATE_SCHEMA.safeParse(state);
  if (checked.success) return ok(checked.data);
  const detail = z.prettifyError(checked.error);
  return err({ type: "snapshot_malformed", detail });
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
  } catch {
    return undefined;
  }
}
