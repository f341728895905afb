import { type BackendServer, backendServerKey, type HostId } from "#model";
import type { Effects } from "./effects.ts";
import type { Copy, Tombstone } from "./messages.ts";

/**
 * The merged view: of each server's copies in the owners' lists, the newest
 * one that has not ended and whose incarnation has not left.
 */
export class ServerTable {
  readonly #copies = new Map<string, Map<string, Copy>>();
  readonly #tombstones = new Map<string, Tombstone>();
  readonly #best = new Map<string, { copy: Copy; server: BackendServer }>();
  readonly #services = new Map<string, Set<string>>();
  readonly #ids = new Map<string, Set<string>>();
  /** No lease in the view ends before. Saves most searches for ended ones. */
  #earliest = Number.POSITIVE_INFINITY;

  /** Servers in the view. */
  get size(): number {
    return this.#best.size;
  }

  get tombstoneCount(): number {
    return this.#tombstones.size;
  }

  sizeOf(service: string): number {
    return this.#services.get(service)?.size ?? 0;
  }

  best(key: string): Copy | undefined {
    return this.#best.get(key)?.copy;
  }

  tombstone(key: string): Tombstone | undefined {
    return this.#tombstones.get(key);
  }

  /** The services that have a server of this id. */
  servicesOf(id: string): readonly string[] {
    return [...(this.#ids.get(id) ?? [])];
  }

  /** Servers that may get work or probes, in the order of their ids. */
  servers(service: string, now: number): BackendServer[] {
    const servers: BackendServer[] = [];
    for (const key of this.#services.get(service) ?? []) {
      const copy = this.#best.get(key)?.copy;
      if (!copy || copy.expires <= now) continue;
      const startedMsAgo = Math.max(0, Math.round(now - copy.startedAt));
      servers.push({ ...copy.server, startedMsAgo });
    }
    return servers.sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  services(): string[] {
    return [...this.#services.keys()];
  }

  put(list: string, copy: Copy): void {
    const key = backendServerKey(copy.server);
    const copies = this.#copies.get(key);
    if (copies) copies.set(list, copy);
    else this.#copies.set(key, new Map([[list, copy]]));
  }

  remove(list: string, key: string): void {
    const copies = this.#copies.get(key);
    copies?.delete(list);
    if (copies?.size === 0) this.#copies.delete(key);
  }

  /** Remembers a leave; false if it is already known. */
  bury(tomb: Tombstone): boolean {
    const key = backendServerKey(tomb);
    const known = this.#tombstones.get(key);
    if (known && known.incarnation >= tomb.incarnation) return false;
    this.#tombstones.set(key, tomb);
    return true;
  }

  /** Chooses the best copy of a server again and reports what differs. */
  refresh(key: string, { now, effects }: { now: number; effects: Effects }) {
    const before = this.#best.get(key);
    const copy = this.#choose(key, now);
    if (before && copy === before.copy && copy.server === before.server) return;
    const former = before?.server;
    if (copy) this.noteEnd(copy.expires);
    if (before && copy) Object.assign(before, { copy, server: copy.server });
    else if (copy) this.#set(key, copy);
    else if (before) this.#delete(key, before.server);
    this.#report(key, { before: former, effects });
  }

  /** Called for each end of a lease in the view. */
  noteEnd(expires: number): void {
    if (expires < this.#earliest) this.#earliest = expires;
  }

  /** Ends the leases and forgets the leaves that are due. */
  expire(now: number, effects: Effects): void {
    if (now >= this.#earliest) this.#endLeases(now, effects);
    for (const [key, { until }] of this.#tombstones) {
      if (until <= now) this.#tombstones.delete(key);
    }
  }

  #endLeases(now: number, effects: Effects): void {
    this.#earliest = Number.POSITIVE_INFINITY;
    for (const [key, { copy }] of this.#best) {
      if (copy.expires <= now) this.refresh(key, { now, effects });
      else this.noteEnd(copy.expires);
    }
  }

  #choose(key: string, now: number): Copy | undefined {
    const left = this.#tombstones.get(key)?.incarnation ?? -1;
    let best: Copy | undefined;
    for (const copy of this.#copies.get(key)?.values() ?? []) {
      if (copy.expires <= now || copy.server.incarnation <= left) continue;
      if (!best || isNewer(copy, best)) best = copy;
    }
    return best;
  }

  #set(key: string, copy: Copy): void {
    const { service, id } = copy.server;
    this.#best.set(key, { copy, server: copy.server });
    add(this.#services, { name: service, value: key });
    add(this.#ids, { name: id, value: service });
  }

  #delete(key: string, { service, id }: BackendServer): void {
    this.#best.delete(key);
    remove(this.#services, { name: service, value: key });
    remove(this.#ids, { name: id, value: service });
  }

  #report(
    key: string,
    options: { before: BackendServer | undefined; effects: Effects },
  ): void {
    const { before, effects } = options;
    const after = this.#best.get(key)?.server;
    const service = (after ?? before)?.service;
    if (service === undefined) return;
    if (before && after && sameContent(before, after)) {
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

/** Whether the records differ in nothing but sequence, load and age. */
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

function isNewer(a: Copy, b: Copy): boolean {
  if (a.server.incarnation !== b.server.incarnation) {
    return a.server.incarnation > b.server.incarnation;
  }
  if (a.server.sequence !== b.server.sequence) {
    return a.server.sequence > b.server.sequence;
  }
  return a.expires > b.expires;
}

function add(
  sets: Map<string, Set<string>>,
  { name, value }: { name: string; value: string },
): void {
  const set = sets.get(name);
  if (set) set.add(value);
  else sets.set(name, new Set([value]));
}

function remove(
  sets: Map<string, Set<string>>,
  { name, value }: { name: string; value: string },
): void {
  const set = sets.get(name);
  set?.delete(value);
  if (set?.size === 0) sets.delete(name);
}

/** The name of an owner's list in the table. */
export function listName(owner: HostId, incarnation: number): string {
  return `${owner}@${incarnation}`;
}
