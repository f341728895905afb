import {
  type HostRoute,
  MAX_ROUTE_TIMEOUT_MS,
  type RequestLimits,
  type Tenant,
} from "#model";

/** A service as an item configures it. */
export interface ServiceItem {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that each server accepts, over all entries. */
  readonly connectionsPerServer: number;
  /** Requests a second that a cold server takes from all entries together. */
  readonly coldRequestsPerS?: number;
}

export type ItemContent =
  | { readonly kind: "route"; readonly route: HostRoute }
  | { readonly kind: "service"; readonly service: ServiceItem }
  | { readonly kind: "limits"; readonly limits: RequestLimits }
  | { readonly kind: "tenant"; readonly tenant: Tenant }
  /** No server of the data centre that names the item gets requests. */
  | { readonly kind: "evacuation" };

export type ItemKind = ItemContent["kind"];

/** Identifies a configuration item. */
export interface ItemKey {
  readonly kind: ItemKind;
  readonly name: string;
}

/** A configuration item, versioned independently of the other items. */
export interface Item extends ItemKey {
  readonly version: number;
  readonly content: ItemContent;
  /** The operator's original text, returned unchanged when it is read. */
  readonly source: string;
}

export interface ItemRemoval extends ItemKey {
  readonly version: number;
}

/** Sets and removes items. Each takes effect if its version is the highest. */
export interface PutItems {
  readonly type: "put_items";
  readonly upserts: readonly Item[];
  readonly removals: readonly ItemRemoval[];
  readonly at: number;
}

/** A reason for which a whole `PutItems` command is refused. */
export interface ItemFault extends ItemKey {
  readonly expected: string;
  readonly found: string | number;
}

/** A current item, or the key and version of a removed one. */
export type StoredItem =
  | { readonly type: "item"; readonly item: Item }
  | {
      readonly type: "removed";
      readonly removal: ItemRemoval;
      /** Whether an item with this key was set before. */
      readonly wasSet?: boolean;
    };

/**
 * Most removals that are remembered, so that a late duplicate of an older
 * change does not restore an item. The oldest are dropped first.
 */
const MAX_REMOVALS = 20_000;

/**
 * Configuration items by kind and name. The highest version wins, whether it
 * sets or removes the item, so commands may arrive repeatedly and in any order.
 */
export class ItemTable {
  #stored = new Map<string, StoredItem>();

  /** The current items, sorted by kind and name. */
  items(): Item[] {
    return [...this.#stored.values()]
      .flatMap((held) => (held.type === "item" ? held.item : []))
      .sort((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1));
  }

  /** Whether a tenant was ever set, though all may have been removed. */
  get hasHadTenants(): boolean {
    return [...this.#stored.values()].some(isFormerOrCurrentTenant);
  }

  /** A current item, or what is remembered of a removed one. */
  stored(key: ItemKey): StoredItem | undefined {
    return this.#stored.get(keyOf(key));
  }

  /** All items and removals for a snapshot, in the order of arrival. */
  all(): StoredItem[] {
    return [...this.#stored.values()];
  }

  restore(items: readonly StoredItem[]): void {
    this.#stored = new Map(items.map((item) => [storedKey(item), item]));
  }

  /** Reasons to refuse a command; empty if it may be applied. */
  check({ upserts, removals }: PutItems): ItemFault[] {
    const newerUpserts = upserts.filter((item) => this.#isNewer(item));
    const removedKeys = new Set(
      removals.filter((removal) => this.#isNewer(removal)).map(keyOf),
    );
    const services = new Set(
      [...this.items(), ...upserts]
        .filter(
          (item) => item.kind === "service" && !removedKeys.has(keyOf(item)),
        )
        .map(({ name }) => name),
    );
    const replacedKeys = new Set(newerUpserts.map(keyOf));
    const unchangedItems = this.items().filter(
      (item) => !replacedKeys.has(keyOf(item)) && !removedKeys.has(keyOf(item)),
    );
    return [
      ...upserts.flatMap(contentFaults),
      ...[...unchangedItems, ...newerUpserts].flatMap((item) =>
        referenceFaults(item, services),
      ),
    ];
  }

  /**
   * Routes of a change that lead to a service which the change brings too, but
   * which was dropped with a higher version: they would be in force without it.
   * Not a part of `check`, on which all builds that apply the log have to agree.
   */
  droppedTargets({ upserts }: Pick<PutItems, "upserts">): ItemFault[] {
    const dropped = new Set(
      upserts
        .filter((item) => item.kind === "service" && !this.#isNewer(item))
        .filter((item) => this.#stored.get(keyOf(item))?.type === "removed")
        .map(({ name }) => name),
    );
    if (dropped.size === 0) return [];
    const configured = new Set(
      upserts.flatMap(targetsOf).filter((service) => !dropped.has(service)),
    );
    return upserts
      .filter((item) => this.#isNewer(item))
      .flatMap((item) => referenceFaults(item, configured));
  }

  /** The items as they would be after a change that passed the check. */
  with(change: Pick<PutItems, "upserts" | "removals">): ItemTable {
    const copy = this.copy();
    copy.apply({ type: "put_items", ...change, at: 0 });
    return copy;
  }

  copy(): ItemTable {
    const copy = new ItemTable();
    copy.restore(this.all());
    return copy;
  }

  /** Applies a command that passed the check; false if nothing changed. */
  apply({ upserts, removals }: PutItems): boolean {
    const changes: StoredItem[] = [
      ...upserts.map((item) => ({ type: "item", item }) as const),
      ...removals.map((removal) => ({ type: "removed", removal }) as const),
    ];
    let changed = false;
    for (const change of changes) {
      if (
        !this.#isNewer(change.type === "item" ? change.item : change.removal)
      ) {
        continue;
      }
      const key = storedKey(change);
      const wasSet = wasEverSet(this.#stored.get(key));
      this.#stored.delete(key);
      const stored =
        change.type === "removed" && wasSet ? { ...change, wasSet } : change;
      this.#stored.set(key, stored);
      changed = true;
    }
    this.#dropOldestRemovals();
    return changed;
  }

  #isNewer(change: ItemKey & { readonly version: number }): boolean {
    const stored = this.#stored.get(keyOf(change));
    if (!stored) return true;
    const { version } = stored.type === "item" ? stored.item : stored.removal;
    return change.version > version;
  }

  #dropOldestRemovals(): void {
    const removed = [...this.#stored].filter(
      ([, stored]) =>
        stored.type !== "item" && !isFormerOrCurrentTenant(stored),
    );
    const excess = removed.length - MAX_REMOVALS;
    for (const [key] of removed.slice(0, Math.max(0, excess))) {
      this.#stored.delete(key);
    }
  }
}

function wasEverSet(stored: StoredItem | undefined): boolean {
  return stored?.type === "item" || stored?.wasSet === true;
}

/**
 * Whether requests need keys because of a stored item. The removal of a tenant that
 * was never set asks for none, and one that was set is never forgotten.
 */
function isFormerOrCurrentTenant(stored: StoredItem): boolean {
  const { kind } = stored.type === "item" ? stored.item : stored.removal;
  return kind === "tenant" && wasEverSet(stored);
}

function keyOf({ kind, name }: ItemKey): string {
  return `${kind}/${name}`;
}

function storedKey(held: StoredItem): string {
  return keyOf(held.type === "item" ? held.item : held.removal);
}

function contentFaults(item: Item): ItemFault[] {
  const { kind, name, content } = item;
  if (content.kind !== "route") return [];
  const { pathPrefix, timeoutMs, attempts, targets } = content.route;
  const faults: ItemFault[] = [];
  const addFault = (expected: string, found: string | number) =>
    faults.push({ kind, name, expected, found });
  if (!pathPrefix.startsWith("/")) {
    addFault("a path prefix that begins with a slash", pathPrefix);
  }
  if (!(timeoutMs > 0 && timeoutMs <= MAX_ROUTE_TIMEOUT_MS)) {
    addFault(`a timeout of at most ${MAX_ROUTE_TIMEOUT_MS} ms`, timeoutMs);
  }
  if (attempts < 1) addFault("at least one attempt", attempts);
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  const lowest = Math.min(...targets.map(({ weight }) => weight));
  if (lowest < 0) addFault("weights of 0 or more", lowest);
  else if (!(total > 0)) addFault("weights that add up to more than 0", total);
  return faults;
}

function targetsOf({ content }: Item): string[] {
  if (content.kind !== "route") return [];
  return content.route.targets.map(({ service }) => service);
}

function referenceFaults(
  { kind, name, content }: Item,
  services: ReadonlySet<string>,
): ItemFault[] {
  if (content.kind !== "route") return [];
  return content.route.targets
    .filter(({ service }) => !services.has(service))
    .map(({ service }) => ({
      kind,
      name,
      expected: "a service that is configured",
      found: service,
    }));
}
