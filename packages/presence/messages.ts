import type { BackendServer, BackendServerState, HostId } from "#model";
import { LEASE_MS } from "./timings.ts";

/**
 * Messages are arrays and not maps: field names would be most of the bytes.
 * Every entry owns the list of the servers that announce themselves to it.
 * Each change of the list raises its version, each summary its round.
 */
export interface PresenceMessages {
  /** Changes of a list, in order. */
  readonly presence_changes: ChangesMessage;
  /** That lists are unchanged, and the age and load of each record. */
  readonly presence_summaries: readonly SummaryMessage[];
  /** The newest positions known to the sender, which asks for newer ones. */
  readonly presence_ask: readonly Position[];
  /** Leaves that the receiver's list contradicts. */
  readonly presence_leaves: readonly LeaveOperation[];
  /** One part of a whole list. */
  readonly presence_state: StateMessage;
}

/** How much of an owner's list is known. */
export type Position = readonly [
  owner: HostId,
  incarnation: number,
  version: number,
  round: number,
];

/** Operation `i` of the message leads to version `from + i + 1`. */
export type ChangesMessage = readonly [
  owner: HostId,
  incarnation: number,
  from: number,
  operations: readonly Operation[],
];

export type SummaryMessage = readonly [
  ...Position,
  /** Load of the entry itself, in percent of what it can serve. */
  load: number,
  stopping: boolean,
  /** One byte for each record in the order of the list, see `packRecord`. */
  records: Uint8Array,
  /** Time for which a relay has kept it, in milliseconds. */
  heldMs: number,
];

export type StateMessage = readonly [
  ...Position,
  load: number,
  stopping: boolean,
  part: number,
  parts: number,
  operations: readonly Operation[],
];

export type Operation = Put | Drop | LeaveOperation;

export type Put = readonly [
  type: 0,
  service: string,
  id: string,
  host: string,
  port: number,
  dataCentre: string,
  incarnation: number,
  sequence: number,
  state: 0 | 1,
  slots: number,
  connections: number,
  inFlight: number,
  startedMsAgo: number,
  ageMs: number,
];

/** The record's lease has ended at its owner. */
export type Drop = readonly [type: 1, service: string, id: string];

/** The server has left in this incarnation and those before it. */
export type LeaveOperation = readonly [
  type: 2,
  service: string,
  id: string,
  incarnation: number,
  /** How much longer the leave is remembered, in milliseconds. */
  keepMs: number,
];

/**
 * Records in one message. With the longest names a record has some 700 bytes,
 * and a frame of more than 1 MiB closes the connection.
 */
export const RECORDS_PER_MESSAGE = 1_000;

/** A server's record at one entry, shared by the list and the view. */
export interface Copy {
  server: BackendServer;
  /** Time on this entry's clock at which the lease ends. */
  expires: number;
  /** Time on this entry's clock at which the incarnation started. */
  startedAt: number;
}

/** A server that has left. */
export interface Tombstone {
  readonly service: string;
  readonly id: string;
  readonly incarnation: number;
  /** Time on this entry's clock until which it is remembered. */
  readonly until: number;
}

export function encodePut(copy: Copy, now: number): Put {
  const { server } = copy;
  return [
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
    Math.max(0, Math.round(now - copy.startedAt)),
    Math.max(0, Math.ceil(LEASE_MS - (copy.expires - now))),
  ];
}

export function decodePut(put: Put, now: number): Copy {
  const [, service, id, host, port, dataCentre, ...rest] = put;
  const [incarnation, sequence, unhealthy, slots, connections, ...tail] = rest;
  const [inFlight, startedMsAgo, ageMs] = tail;
  const state: BackendServerState = unhealthy === 0 ? "ready" : "unhealthy";
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
  };
  return {
    server,
    expires: now + LEASE_MS - Math.max(0, ageMs),
    startedAt: now - startedMsAgo,
  };
}

export function encodeLeave(tomb: Tombstone, now: number): LeaveOperation {
  const { service, id, incarnation } = tomb;
  return [2, service, id, incarnation, Math.ceil(tomb.until - now)];
}
