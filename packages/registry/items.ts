import {
  type HostRoute,
  MAX_ROUTE_TIMEOUT_MS,
  type RequestLimits,
} from "#model";

/** What an item says of a service. */
export interface ServiceItem {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that each server accepts, over all entries. */
  readonly connectionsPerServer: number;
}

export type ItemContent =
  | { readonly kind: "route"; readonly route: HostRoute }
  | { readonly kind: "service"; readonly service: ServiceItem }
  | { readonly kind: "limits"; readonly limits: RequestLimits };

export type ItemKind = ItemContent["kind"];

/** Names one configuration item. */
export interface ItemKey {
  readonly kind: ItemKind;
  readonly name: string;
}

/** A configuration item that has a version of its own. */
export interface Item extends ItemKey {
  readonly version: number;
  readonly content: ItemContent;
  /** The operator's own text of the item, to be read back unchanged. */
  readonly source: string;
}

export interface ItemRemoval extends ItemKey {
  readonly version: number;
}

/** Sets and removes items; each takes effect if its version is the highest. */
export interface PutItems {
  readonly type: "put_items";
  readonly upserts: readonly Item[];
  readonly removals: readonly ItemRemoval[];
  readonly at: number;
}

/** Why a call is refused as a whole. */
export interface ItemFault extends ItemKey {
  readonly expected: string;
  readonly found: string | number;
}

/** An item that stands, or the version under which it was removed. */
export type HeldItem =
  | { readonly type: "item"; readonly item: Item }
  | { readonly type: "removed"; readonly removal: ItemRemoval };

/**
 * Removed names that are remembered, so that a late copy of an older change
 * does not bring one back. The oldest are forgotten first.
 */
const MAX_REMOVALS = 20_000;

/**
 * Configuration items by name. The highest version of a name wins, whether it
 * sets the item or removes it, so that calls may arrive repeated and in any
 * order.
 */
export class ItemTable {
  #held = new Map<string, HeldItem>();

  /** The items that stand, in the order of their names. */
  items(): Item[] {
    return [...this.#held.values()]
      .flatMap((held) => (held.type === "item" ? held.item : []))
      .sort((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1));
  }

  /** Everything that a snapshot keeps, in the order of arrival. */
  all(): HeldItem[] {
    return [...this.#held.values()];
  }

  restore(held: readonly HeldItem[]): void {
    this.#held = new Map(held.map((each) => [heldKey(each), each]));
  }

  /** Reasons for which the call is refused; none if it may be applied. */
  check({ upserts, removals }: PutItems): ItemFault[] {
    const effective = upserts.filter((item) => this.#isNewer(item));
    const removed = new Set(
      removals.filter((removal) => this.#isNewer(removal)).map(keyOf),
    );
    const services = new Set(
      [...this.items(), ...upserts]
        .filter((item) => item.kind === "service" && !removed.has(keyOf(item)))
        .map(({ name }) => name),
    );
    const replaced = new Set(effective.map(keyOf));
    const kept = this.items().filter(
      (item) => !replaced.has(keyOf(item)) && !removed.has(keyOf(item)),
    );
    return [
      ...upserts.flatMap(contentFaults),
      ...[...kept, ...effective].flatMap((item) =>
        referenceFaults(item, services),
      ),
    ];
  }

  /** Applies a call that has passed the check; false if nothing changed. */
  apply({ upserts, removals }: PutItems): boolean {
    const news: HeldItem[] = [
      ...upserts.map((item) => ({ type: "item", item }) as const),
      ...removals.map((removal) => ({ type: "removed", removal }) as const),
    ];
    let changed = false;
    for (const held of news) {
      if (!this.#isNewer(held.type === "item" ? held.item : held.removal)) {
        continue;
      }
      const key = heldKey(held);
      this.#held.delete(key);
      this.#held.set(key, held);
      changed = true;
    }
    this.#forgetRemovals();
    return changed;
  }

  #isNewer(change: ItemKey & { readonly version: number }): boolean {
    const held = this.#held.get(keyOf(change));
    if (!held) return true;
    const { version } = held.type === "item" ? held.item : held.removal;
    return change.version > version;
  }

  #forgetRemovals(): void {
    const removed = [...this.#held].filter(([, { type }]) => type !== "item");
    const excess = removed.length - MAX_REMOVALS;
    for (const [key] of removed.slice(0, Math.max(0, excess))) {
      this.#held.delete(key);
    }
  }
}

function keyOf({ kind, name }: ItemKey): string {
  return `${kind}/${name}`;
}

function heldKey(held: HeldItem): string {
  return keyOf(held.type === "item" ? held.item : held.removal);
}

function contentFaults(item: Item): ItemFault[] {
  const { kind, name, content } = item;
  if (content.kind !== "route") return [];
  const { pathPrefix, timeoutMs, attempts, targets } = content.route;
  const faults: ItemFault[] = [];
  const refuse = (expected: string, found: string | number) =>
    faults.push({ kind, name, expected, found });
  if (!pathPrefix.startsWith("/")) {
    refuse("a path prefix that begins with a slash", pathPrefix);
  }
  if (!(timeoutMs > 0 && timeoutMs <= MAX_ROUTE_TIMEOUT_MS)) {
    refuse(`a timeout of at most ${MAX_ROUTE_TIMEOUT_MS} ms`, timeoutMs);
  }
  if (attempts < 1) refuse("at least one attempt", attempts);
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  const lowest = Math.min(...targets.map(({ weight }) => weight));
  if (lowest < 0) refuse("weights of 0 or more", lowest);
  else if (!(total > 0)) refuse("weights that add up to more than 0", total);
  return faults;
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
