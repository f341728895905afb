import {
  type BackendServer,
  backendServerKey,
  type HostId,
  type Randomness,
} from "#model";
import type { Effects } from "./effects.ts";
import {
  type Copy,
  encodeLeave,
  encodePut,
  type Operation,
  type SummaryMessage,
  type Tombstone,
} from "./messages.ts";
import { OwnerList } from "./owner_list.ts";
import { listName } from "./server_table.ts";
import { BATCH_MS, LEASE_MS } from "./timings.ts";

interface Context {
  readonly now: number;
  readonly effects: Effects;
}

/** This entry's own list, and the sending of its changes and summaries. */
export class Publisher {
  readonly list: OwnerList;
  readonly #randomness: Randomness;
  #pending: { readonly operation: Operation; readonly at: number }[] = [];
  #nextSummary: number | undefined;
  #forwards = new Map<HostId, SummaryMessage[]>();

  constructor(options: {
    id: HostId;
    incarnation: number;
    randomness: Randomness;
  }) {
    this.list = new OwnerList(options.id, options.incarnation);
    this.list.round = 0;
    this.#randomness = options.randomness;
  }

  get copies(): ReadonlyMap<string, Copy> {
    return this.list.copies;
  }

  get name(): string {
    return listName(this.list.owner, this.list.incarnation);
  }

  /** Adds or replaces a record; keeps the lease of `held` if it is given. */
  put(server: BackendServer, now: number, held?: Copy): void {
    const copy = {
      server,
      expires: held?.expires ?? now + LEASE_MS,
      startedAt: held?.startedAt ?? now - server.startedMsAgo,
    };
    const key = this.#change(encodePut(copy, now), now);
    // Keeps the exact times: those of the operation are rounded.
    this.list.copies.set(key, copy);
  }

  /** Renews a record that is otherwise unchanged; the summary tells others. */
  renew(copy: Copy, { server, now }: { server: BackendServer; now: number }) {
    copy.server = server;
    copy.expires = now + LEASE_MS;
    copy.startedAt = now - server.startedMsAgo;
  }

  bury(tomb: Tombstone, now: number): void {
    this.#change(encodeLeave(tomb, now), now);
  }

  /** Drops the records whose lease has ended and returns their keys. */
  expire(now: number): string[] {
    const ended = [...this.list.copies.values()]
      .filter(({ expires }) => expires <= now)
      .map(({ server }) => server);
    for (const { service, id } of ended) this.#change([1, service, id], now);
    return ended.map(backendServerKey);
  }

  /** Sends the pending changes. */
  flush(to: readonly HostId[], { now, effects }: Context): void {
    if (this.#pending.length === 0) return;
    const { owner, incarnation, version } = this.list;
    const operations = this.#pending.map(({ operation, at }) =>
      aged(operation, now - at),
    );
    const from = version - operations.length;
    this.#pending = [];
    const payload = [owner, incarnation, from, operations] as const;
    effects.send(to, { kind: "presence_changes", payload });
  }

  /** Sends a summary out of turn. */
  summarise(to: readonly HostId[], context: Context): void {
    this.flush(to, context);
    this.list.round++;
    const payload = [this.list.summary(context.now)];
    context.effects.send(to, { kind: "presence_summaries", payload });
  }

  /** Tells a new connection what there is; it asks for what it lacks. */
  greet(to: HostId, { now, effects }: Context): void {
    // Without a connection before, it cannot have got the pending changes.
    const payload = [this.list.summary(now)];
    effects.send([to], { kind: "presence_summaries", payload });
  }

  /** Keeps a summary to be forwarded with others at the next tick. */
  forward(summary: SummaryMessage, to: readonly HostId[]): void {
    for (const id of to) {
      const held = this.#forwards.get(id);
      if (held) held.push(summary);
      else this.#forwards.set(id, [summary]);
    }
  }

  tick(
    targets: {
      changes: readonly HostId[];
      summary: (round: number) => readonly HostId[];
      everyMs: number;
    },
    context: Context,
  ): void {
    const { now, effects } = context;
    // Entries that start together must not send in step.
    this.#nextSummary ??= now + this.#randomness.next() * targets.everyMs;
    const due = now >= this.#nextSummary;
    const since = this.#pending[0]?.at ?? now;
    if (due || now - since >= BATCH_MS) {
      this.flush(targets.changes, context);
    }
    if (due) {
      this.#nextSummary = Math.max(this.#nextSummary + targets.everyMs, now);
      this.list.round++;
      const summary = this.list.summary(now);
      this.forward(summary, targets.summary(this.list.round));
    }
    for (const [id, payload] of this.#forwards) {
      effects.send([id], { kind: "presence_summaries", payload });
    }
    this.#forwards.clear();
  }

  #change(operation: Operation, now: number): string {
    this.#pending.push({ operation, at: now });
    this.list.version++;
    return this.list.apply(operation, now);
  }
}

/** The operation with the time that it has waited added to its ages. */
function aged(operation: Operation, ms: number): Operation {
  if (operation[0] !== 0) return operation;
  const [started, age] = [operation[12], operation[13]];
  return operation
    .with(12, Math.round(started + ms))
    .with(13, Math.ceil(age + ms)) as unknown as Operation;
}
