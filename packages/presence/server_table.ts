import {
  type BackendServer,
  backendServerKey,
  type Clock,
  type HostId,
  hasSameAddress,
} from "#model";
import { AddressProofs } from "./address_proofs.ts";
import { AheadOfClock } from "./ahead_of_clock.ts";
import type { Effects } from "./effects.ts";
import { FirstServices } from "./first_services.ts";
import {
  remainingWarmUpMs,
  type ServerRecord,
  type Tombstone,
} from "./messages.ts";
import { isPossibleRecord } from "./plausibility.ts";

/**
 * Merges the owners' lists: a server can have a record in several of them. Its
 * current record is the newest one whose lease has not expired and whose
 * incarnation has not left. Servers are identified by `backendServerKey`.
 */
export class ServerTable {
  /** Records of each server by the id of the list that they are in. */
  readonly #records = new Map<string, Map<string, ServerRecord>>();
  readonly #tombstones = new Map<string, Tombstone>();
  readonly #current = new Map<
    string,
    {
      record: ServerRecord;
      server: BackendServer;
      coldUntil: number | undefined;
    }
  >();
  readonly #keysByService = new Map<string, Set<string>>();
  readonly #servicesById = new Map<string, Set<string>>();
  /** No current record expires before this; avoids most expiry scans. */
  #earliestExpiry = Number.POSITIVE_INFINITY;
  /** Present where records may name no server that can exist. */
  readonly #untrusted: Pick<Clock, "wallTime"> | undefined;

  readonly proofs = new AddressProofs();
  readonly firstServices = new FirstServices();
  /** Servers of which several addresses are announced. */
  readonly #contested = new Set<string>();
  readonly #ahead: AheadOfClock | undefined;

  constructor(untrusted?: Pick<Clock, "wallTime">) {
    this.#untrusted = untrusted;
    this.#ahead = untrusted && new AheadOfClock(untrusted);
  }

  /** Number of servers with a current record. */
  get size(): number {
    return this.#current.size;
  }

  get tombstoneCount(): number {
    return this.#tombstones.size;
  }

  sizeOf(service: string): number {
    return this.#keysByService.get(service)?.size ?? 0;
  }

  current(key: string): ServerRecord | undefined {
    return this.#current.get(key)?.record;
  }

  /**
   * The current record with a valid lease. Until the next scan for expired leases
   * the newest record may have expired, and another list has an older one.
   */
  #live(key: string, now: number): ServerRecord | undefined {
    const record = this.current(key);
    return record && record.expiresAt <= now
      ? this.#selectNewest(key, now)
      : record;
  }

  tombstone(key: string): Tombstone | undefined {
    return this.#tombstones.get(key);
  }

  /** The services that have a server of this id. */
  servicesOf(id: string): readonly string[] {
    return [...(this.#servicesById.get(id) ?? [])];
  }

  /** The current records of a service's servers, sorted by id. */
  servers(service: string, now: number): BackendServer[] {
    const servers: BackendServer[] = [];
    for (const key of this.#keysByService.get(service) ?? []) {
      const record = this.#live(key, now);
      if (!record) continue;
      if (this.#isCopy(record.server, now)) continue;
      const startedMsAgo = Math.max(0, Math.round(now - record.startedAt));
      const warmUpRemainingMs = remainingWarmUpMs(record, now);
      servers.push({
        ...record.server,
        startedMsAgo,
        ...((warmUpRemainingMs !== undefined ||
          record.server.warmUpRemainingMs !== undefined) && {
          warmUpRemainingMs,
        }),
      });
    }
    return servers.sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  #isCopy(server: BackendServer, now: number): boolean {
    if (!this.#untrusted) return false;
    const { id } = server;
    return this.firstServices.isCopy(server, (service) => {
      const key = backendServerKey({ service, id });
      return this.#live(key, now)?.server;
    });
  }

  services(): string[] {
    return [...this.#keysByService.keys()];
  }

  /** Sets a server's record in one list; takes effect with `refresh`. */
  put(listId: string, record: ServerRecord): void {
    const key = backendServerKey(record.server);
    const records = this.#records.get(key);
    if (records) records.set(listId, record);
    else this.#records.set(key, new Map([[listId, record]]));
  }

  /** Removes a server's record in one list; takes effect with `refresh`. */
  remove(listId: string, key: string): void {
    const records = this.#records.get(key);
    records?.delete(listId);
    if (records?.size === 0) this.#records.delete(key);
  }

  /** Stores a tombstone; false if this leave is known, or ahead of the clock. */
  addTombstone(tombstone: Tombstone): boolean {
    if (this.#ahead?.keepLeave(tombstone)) return false;
    const key = backendServerKey(tombstone);
    const known = this.#tombstones.get(key);
    if (known && known.incarnation >= tombstone.incarnation) return false;
    this.#tombstones.set(key, tombstone);
    return true;
  }

  /** Selects a server's current record again and reports what has changed. */
  refresh(key: string, { now, effects }: { now: number; effects: Effects }) {
    const before = this.#current.get(key);
    this.#checkStarts(key, now);
    this.#requestProofs(key, { now, effects });
    const record = this.#selectNewest(key, now);
    if (before && record === before.record && record.server === before.server)
      return;
    if (this.#untrusted && record) this.firstServices.note(record.server, now);
    const former = before && { ...before };
    if (record) this.noteExpiry(record.expiresAt);
    if (before && record)
      Object.assign(before, {
        record,
        server: record.server,
        coldUntil: record.coldUntil,
      });
    else if (record) this.#set(key, record);
    else if (before) {
      this.#delete(key, before.server);
      // Records that were left out as copies of this one may count now.
      if (this.#untrusted)
        for (const service of this.servicesOf(before.server.id))
          effects.changed(service);
    }
    this.#reportChange(key, { former, now, effects });
  }

  /** Must be called with the expiry time of every record that is renewed. */
  noteExpiry(expiresAt: number): void {
    if (expiresAt < this.#earliestExpiry) this.#earliestExpiry = expiresAt;
  }

  /** Removes expired records and tombstones. */
  expire(now: number, effects: Effects): void {
    for (const key of this.#contested) this.refresh(key, { now, effects });
    for (const key of this.#ahead?.due(now) ?? []) {
      this.refresh(key, { now, effects });
    }
    if (now >= this.#earliestExpiry) this.#expireLeases(now, effects);
    for (const [key, { keptUntil }] of this.#tombstones) {
      if (keptUntil <= now) this.#tombstones.delete(key);
    }
  }

  #expireLeases(now: number, effects: Effects): void {
    this.#earliestExpiry = Number.POSITIVE_INFINITY;
    for (const [key, { record }] of this.#current) {
      if (record.expiresAt <= now) this.refresh(key, { now, effects });
      else this.noteExpiry(record.expiresAt);
    }
  }

  /** Takes the leaves that count by now, and notes the records that do not yet. */
  #checkStarts(key: string, now: number): void {
    if (!this.#ahead) return;
    for (const leave of this.#ahead.takeDueLeaves(key, now)) {
      this.addTombstone(leave);
    }
    this.#ahead.noteRecords(key, this.#records.get(key)?.values() ?? []);
  }

  /** Checks the addresses of a server that has several of them. */
  #requestProofs(
    key: string,
    context: { now: number; effects: Effects },
  ): void {
    if (!this.#untrusted) return;
    const candidates = this.#candidates(key, context.now);
    if (!isContested(candidates)) {
      this.#contested.delete(key);
      return;
    }
    this.#contested.add(key);
    for (const { server } of candidates) this.proofs.request(server, context);
  }

  /**
   * The newest record, of the addresses at which the server answers if several are
   * announced. Until that is known, the address that is in use stays; also where
   * neither answers, unless the newest record has a later start.
   */
  #selectNewest(key: string, now: number): ServerRecord | undefined {
    const candidates = this.#candidates(key, now);
    if (!this.#untrusted || !isContested(candidates)) return newest(candidates);
    const identities = candidates.map(({ server }) => this.proofs.last(server));
    const proven = candidates.filter((_, i) => identities[i] === "same");
    if (proven.length > 0) return newest(proven);
    const used = this.#current.get(key)?.record;
    if (used && identities.includes(undefined)) {
      const atAddress = candidates.filter(({ server }) =>
        hasSameAddress(server, used.server),
      );
      if (atAddress.length > 0) return newest(atAddress);
    }
    const possible = candidates.filter((_, i) => identities[i] !== "other");
    const latest = newest(possible.length > 0 ? possible : candidates);
    // A server keeps its address for as long as it runs.
    const sameRun = possible.filter(
      ({ server }) =>
        used &&
        server.incarnation === latest?.server.incarnation &&
        hasSameAddress(server, used.server),
    );
    return newest(sameRun) ?? latest;
  }

  /** The records that may be the current one. */
  #candidates(key: string, now: number): ServerRecord[] {
    const left = this.#tombstones.get(key)?.incarnation ?? -1;
    return [...(this.#records.get(key)?.values() ?? [])].filter(
      ({ server, expiresAt }) =>
        expiresAt > now &&
        server.incarnation > left &&
        this.#isPossible(server),
    );
  }

  #isPossible(server: BackendServer): boolean {
    const untrusted = this.#untrusted;
    return !untrusted || isPossibleRecord(server, untrusted.wallTime());
  }

  #set(key: string, record: ServerRecord): void {
    const { service, id } = record.server;
    const { server, coldUntil } = record;
    this.#current.set(key, { record, server, coldUntil });
    addToSet(this.#keysByService, { name: service, value: key });
    addToSet(this.#servicesById, { name: id, value: service });
  }

  #delete(key: string, { service, id }: BackendServer): void {
    this.#current.delete(key);
    removeFromSet(this.#keysByService, { name: service, value: key });
    removeFromSet(this.#servicesById, { name: id, value: service });
  }

  #reportChange(
    key: string,
    options: {
      former:
        | { server: BackendServer; coldUntil: number | undefined }
        | undefined;
      now: number;
      effects: Effects;
    },
  ): void {
    const { former, now, effects } = options;
    const before = former?.server;
    const current = this.#current.get(key);
    const after = current?.server;
    const service = (after ?? before)?.service;
    if (service === undefined) return;
    const isSame =
      before && after && sameContent(before, after) && former && current
        ? sameWarmUp(former, current, now)
        : false;
    if (isSame && before && after) {
      if (before.inFlight !== after.inFlight) effects.loadChanged(service);
      return;
    }
    effects.changed(service);
    if (!before) return;
    if (after && after.incarnation === before.incarnation) return;
    const left = this.#tombstones.get(key)?.incarnation ?? -1;
    if (left >= before.incarnation) effects.gone(before, "left");
    else effects.gone(before, after ? "restarted" : "expired");
  }
}

/**
 * Difference up to which two ends of a warm-up are the same; announcements arrive
 * with varying delays.
 */
const WARM_UP_TOLERANCE_MS = 500;

/** Whether two statements of how long a server is cold say the same now. */
export function sameWarmUp(
  a: Pick<ServerRecord, "coldUntil">,
  b: Pick<ServerRecord, "coldUntil">,
  now: number,
): boolean {
  const [first, second] = [a, b].map(({ coldUntil = now }) =>
    Math.max(now, coldUntil),
  );
  return Math.abs((first ?? 0) - (second ?? 0)) <= WARM_UP_TOLERANCE_MS;
}

/** Whether two records are equal apart from sequence, load and age. */
export function sameContent(a: BackendServer, b: BackendServer): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.state === b.state &&
    a.address.host === b.address.host &&
    a.address.port === b.address.port &&
    a.dataCentre === b.dataCentre &&
    a.slots === b.slots &&
    a.connections === b.connections
  );
}

function newest(records: readonly ServerRecord[]): ServerRecord | undefined {
  let newest: ServerRecord | undefined;
  for (const record of records) {
    if (!newest || isNewer(record, newest)) newest = record;
  }
  return newest;
}

/** Whether the records have several addresses. */
function isContested(records: readonly ServerRecord[]): boolean {
  const [first, ...others] = records;
  return (
    first !== undefined &&
    others.some(({ server }) => !hasSameAddress(server, first.server))
  );
}

function isNewer(a: ServerRecord, b: ServerRecord): boolean {
  if (a.server.incarnation !== b.server.incarnation) {
    return a.server.incarnation > b.server.incarnation;
  }
  if (a.server.sequence !== b.server.sequence) {
    return a.server.sequence > b.server.sequence;
  }
  return a.expiresAt > b.expiresAt;
}

function addToSet(
  sets: Map<string, Set<string>>,
  { name, value }: { name: string; value: string },
): void {
  const set = sets.get(name);
  if (set) set.add(value);
  else sets.set(name, new Set([value]));
}

function removeFromSet(
  sets: Map<string, Set<string>>,
  { name, value }: { name: string; value: string },
): void {
  const set = sets.get(name);
  set?.delete(value);
  if (set?.size === 0) sets.delete(name);
}

/** Identifies the list of one incarnation of an owner. */
export function listId(owner: HostId, incarnation: number): string {
  return `${owner}@${incarnation}`;
}
