import { type BackendServer, backendServerKey, type HostId } from "#model";
import type { Effects } from "./effects.ts";
import {
  type Copy,
  decodePut,
  encodeLeave,
  type LeaveOperation,
  type Operation,
  type Put,
  type Tombstone,
} from "./messages.ts";
import type { Publisher } from "./publisher.ts";
import { type ServerTable, sameContent } from "./server_table.ts";

interface Context {
  readonly now: number;
  readonly effects: Effects;
}

/** Keeps the own list and the view in step, and the list free of conflicts. */
export class OwnServers {
  readonly publisher: Publisher;
  readonly #table: ServerTable;
  readonly #changeTargets: () => readonly HostId[];
  readonly #connected: ReadonlySet<HostId>;

  constructor(options: {
    publisher: Publisher;
    table: ServerTable;
    changeTargets: () => readonly HostId[];
    connected: ReadonlySet<HostId>;
  }) {
    this.publisher = options.publisher;
    this.#table = options.table;
    this.#changeTargets = options.changeTargets;
    this.#connected = options.connected;
  }

  /** Takes an announcement that has passed the checks. */
  accept(
    server: BackendServer,
    context: { key: string; now: number; effects: Effects },
  ): void {
    const { key, now } = context;
    const own = this.publisher.copies.get(key);
    const repeated =
      own?.server.incarnation === server.incarnation &&
      own.server.sequence === server.sequence;
    // A repeated announcement may be an old duplicate: it renews nothing.
    if (own && repeated && own.expires > now) return;
    // Another entry's news of this server is overridden only by a change.
    const isBest = own !== undefined && this.#table.best(key) === own;
    if (isBest && sameContent(own.server, server)) {
      this.publisher.renew(own, { server, now });
    } else {
      this.publisher.put(server, now);
    }
    this.sync(key, context);
  }

  /** Puts a leave into the own list and sends it at once. */
  tell(tomb: Tombstone, context: { now: number; effects: Effects }): void {
    this.publisher.bury(tomb, context.now);
    this.#table.bury(tomb);
    this.sync(backendServerKey(tomb), context);
    this.publisher.flush(this.#changeTargets(), context);
  }

  /** Brings the view up to date with the own list. */
  sync(key: string, context: { now: number; effects: Effects }): void {
    const copy = this.publisher.copies.get(key);
    if (copy) this.#table.put(this.publisher.name, copy);
    else this.#table.remove(this.publisher.name, key);
    this.#table.refresh(key, context);
  }

  /** Corrects the own list, or the owner's, after news of servers. */
  learn(
    news: { owner: HostId; operations: readonly Operation[] },
    context: Context,
  ): void {
    const contradicted: LeaveOperation[] = [];
    for (const operation of news.operations) {
      const key = backendServerKey({ service: operation[1], id: operation[2] });
      const own = this.publisher.copies.get(key);
      const tomb = this.#table.tombstone(key);
      if (operation[0] === 0 && tomb && tomb.incarnation >= operation[6]) {
        contradicted.push(encodeLeave(tomb, context.now));
      }
      if (own && tomb && tomb.incarnation >= own.server.incarnation) {
        this.tell(tomb, context);
      } else if (own && operation[0] === 0) {
        this.#reassert(own, operation, context);
      }
    }
    if (contradicted.length === 0 || !this.#connected.has(news.owner)) return;
    context.effects.send([news.owner], {
      kind: "presence_leaves",
      payload: contradicted,
    });
  }

  /** Overrides an announcement that had been overtaken on its way. */
  #reassert(own: Copy, theirs: Put, context: Context): void {
    const key = backendServerKey(own.server);
    if (this.#table.best(key) !== own) return;
    const { server } = decodePut(theirs, context.now);
    if (sameContent(own.server, server)) return;
    this.publisher.put(own.server, context.now, own);
    this.sync(key, context);
  }

  /** Drops the records whose lease has ended. */
  expire(context: Context): void {
    for (const key of this.publisher.expire(context.now))
      this.sync(key, context);
  }
}
