import * as z from "zod";
import {
  type BackendServer,
  type BackendServerState,
  type HostId,
  MAX_WARM_UP_MS,
} from "#model";
import { LEASE_MS } from "./timings.ts";

/**
 * Payloads by message kind. They are arrays because field names would make up
 * most of the bytes. Every entry owns the list of the servers that announce
 * themselves to it and replicates it to the others. Each change of the list
 * increments its version, each summary its round.
 */
export interface PresenceMessages {
  /** Consecutive changes of one list. */
  readonly presence_changes: ChangesMessage;
  /** Current version of lists, with the age and load of each record. */
  readonly presence_summaries: readonly SummaryMessage[];
  /** Request for the lists that are newer than the sender's positions. */
  readonly presence_ask: readonly Position[];
  /** Leaves of servers that the receiver's list still contains. */
  readonly presence_leaves: readonly LeaveOperation[];
  /** One part of a whole list. */
  readonly presence_state: StateMessage;
}

/** Up to which version and round an owner's list is known. */
export type Position = readonly [
  owner: HostId,
  incarnation: number,
  version: number,
  round: number,
];

/** Operation `i` changes the list from version `from + i` to the next. */
export type ChangesMessage = readonly [
  owner: HostId,
  incarnation: number,
  from: number,
  operations: readonly Operation[],
];

/** The state of an owner's list without its content; renews all leases. */
export type SummaryMessage = readonly [
  ...Position,
  /** Load of the entry itself, in percent of its capacity. */
  load: number,
  stopping: boolean,
  /** One byte per record, in the order of the list; see `packRecord`. */
  records: Uint8Array,
  /** Time for which relays have held the summary back, in milliseconds. */
  heldMs: number,
];

/** One of `parts` messages that together contain a whole list. */
export type StateMessage = readonly [
  ...Position,
  load: number,
  stopping: boolean,
  part: number,
  parts: number,
  operations: readonly Operation[],
];

/** One change of a list. */
export type Operation = PutOperation | DropOperation | LeaveOperation;

/** Adds a record or replaces the server's previous one. */
export type PutOperation = readonly [
  type: 0,
  service: string,
  id: string,
  host: string,
  port: number,
  dataCentre: string,
  incarnation: number,
  sequence: number,
  /** 0 for "ready", 1 for "unhealthy". */
  state: 0 | 1,
  slots: number,
  connections: number,
  inFlight: number,
  startedMsAgo: number,
  /** Time since the announcement, in milliseconds. */
  ageMs: number,
  /** Time for which the server stays cold, in milliseconds; absent if it is not. */
  warmUpRemainingMs?: number,
];

/** Removes a record whose lease has expired at its owner. */
export type DropOperation = readonly [type: 1, service: string, id: string];

/** The server has left; covers this incarnation and all earlier ones. */
export type LeaveOperation = readonly [
  type: 2,
  service: string,
  id: string,
  incarnation: number,
  /** How much longer the tombstone is kept, in milliseconds. */
  keepMs: number,
];

/** Most calls that a server may claim to run at a time. */
const MAX_SLOTS = 100_000;
const MAX_PORT = 65_535;
const COUNT = z.int().nonnegative();
const NAME = z.string().min(1).max(256);

/** A record with which a server can be called, checked and compared. */
const PUT = z.tuple(
  [
    z.literal(0),
    NAME,
    // Calls name their server in a header.
    z.string().regex(/^[\x21-\x7e]{1,256}$/),
    z.string().regex(/^[A-Za-z0-9:.-]{1,253}$/),
    z.int().min(1).max(MAX_PORT),
    NAME,
    COUNT,
    COUNT,
    z.literal([0, 1]),
    z.int().min(1).max(MAX_SLOTS),
    COUNT,
    z.number().nonnegative(),
    z.number().nonnegative(),
    z.number(),
  ],
  z.unknown(),
);

/** Names of the fields of a record in its operation, for log lines. */
const PUT_FIELDS = [
  ...["type", "service", "id", "host", "port", "dataCentre"],
  ...["incarnation", "sequence", "state", "slots", "connections"],
  ...["inFlight", "startedMsAgo", "ageMs"],
];

/**
 * A server's record at one entry. The replicated list and the merged
 * `ServerTable` share the same object.
 */
export interface ServerRecord {
  server: BackendServer;
  /** Time on this entry's clock at which the lease expires, in milliseconds. */
  expiresAt: number;
  /** Start of the incarnation on this entry's clock, in milliseconds. */
  startedAt: number;
  /** Time until which the server is cold, if it is, on this entry's clock. */
  coldUntil?: number | undefined;
  /**
   * Present if the record names no server to use. It keeps its place in the list, as
   * summaries tell of records by their place.
   */
  readonly unusable?: { readonly put: PutOperation; readonly problem: string };
}

/** Marks a server that has left, so that older records cannot restore it. */
export interface Tombstone {
  readonly service: string;
  readonly id: string;
  readonly incarnation: number;
  /** Time on this entry's clock until which it is kept, in milliseconds. */
  readonly keptUntil: number;
}

export function encodePut(record: ServerRecord, now: number): PutOperation {
  if (record.unusable) return record.unusable.put;
  const { server } = record;
  const warmUpMs = remainingWarmUpMs(record, now);
  const put: PutOperation = [
    0,
    server.service,
    server.id,
    server.address.host,
    server.address.port,
    server.dataCentre,
    server.incarnation,
    server.sequence,
    server.state === "ready" ? 0 : 1,
    server.slots,
    server.connections,
    server.inFlight,
    Math.max(0, Math.round(now - record.startedAt)),
    Math.max(0, Math.ceil(LEASE_MS - (record.expiresAt - now))),
  ];
  return warmUpMs === undefined
    ? put
    : ([...put, warmUpMs] as unknown as PutOperation);
}

/** Time for which a server is still cold, in milliseconds; undefined if it is not. */
export function remainingWarmUpMs(
  { coldUntil }: Pick<ServerRecord, "coldUntil">,
  now: number,
): number | undefined {
  const remainingMs = Math.ceil((coldUntil ?? now) - now);
  return remainingMs > 0 ? remainingMs : undefined;
}

/** Time until which a server is cold that announces itself now. */
export function coldUntilOf(
  { warmUpRemainingMs = 0 }: Pick<BackendServer, "warmUpRemainingMs">,
  now: number,
): number | undefined {
  return warmUpRemainingMs > 0 ? now + warmUpRemainingMs : undefined;
}

/**
 * Decodes a record of another process, which may run a build that accepted more than
 * this one does.
 */
export function decodePut(put: PutOperation, now: number): ServerRecord {
  const decoded = PUT.safeParse(put);
  if (!decoded.success) return unusableRecord(put, decoded.error, now);
  const [, service, id, host, port, dataCentre, ...afterDataCentre] =
    decoded.data;
  const [
    incarnation,
    sequence,
    stateCode,
    slots,
    connections,
    ...afterConnections
  ] = afterDataCentre;
  const [inFlight, startedMsAgo, ageMs, ...later] = afterConnections;
  const warmUpRemainingMs = decodeWarmUp(later[0]);
  const state: BackendServerState = stateCode === 0 ? "ready" : "unhealthy";
  const server: BackendServer = {
    id,
    service,
    address: { host, port },
    dataCentre,
    incarnation,
    sequence,
    state,
    slots,
    connections,
    inFlight,
    startedMsAgo,
    ...(warmUpRemainingMs > 0 && { warmUpRemainingMs }),
  };
  return {
    server,
    coldUntil: coldUntilOf(server, now),
    expiresAt: now + LEASE_MS - Math.max(0, ageMs),
    startedAt: now - startedMsAgo,
  };
}

/** What is not such a time counts as absent: the server is used without it. */
function decodeWarmUp(value: unknown): number {
  const isTime = typeof value === "number" && value > 0;
  return isTime ? Math.min(value, MAX_WARM_UP_MS) : 0;
}

function unusableRecord(
  put: PutOperation,
  error: z.ZodError,
  now: number,
): ServerRecord {
  const [, service, id, , , , incarnation] = put;
  const problem = error.issues
    .map(({ path, message }) => `${PUT_FIELDS[Number(path[0])]}: ${message}`)
    .join("; ");
  const unusable = { put, problem };
  const server: BackendServer = {
    id,
    service,
    address: { host: "", port: 0 },
    dataCentre: "",
    // Decides, as at the list's owner, which leaves remove the record.
    incarnation,
    sequence: 0,
    state: "unhealthy",
    slots: 1,
    connections: 0,
    inFlight: 0,
    startedMsAgo: 0,
  };
  return { server, expiresAt: now, startedAt: now, unusable };
}

export function encodeLeave(tombstone: Tombstone, now: number): LeaveOperation {
  const { service, id, incarnation } = tombstone;
  return [2, service, id, incarnation, Math.ceil(tombstone.keptUntil - now)];
}
