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
  RECORDS_PER_MESSAGE,
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
  #held = new Map<HostId, { summary: SummaryMessage; at: number }[]>();
  #heldSince: number | undefined;

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
    for (let sent = 0; sent < operations.length; sent += RECORDS_PER_MESSAGE) {
      const some = operations.slice(sent, sent + RECORDS_PER_MESSAGE);
      const payload = [owner, incarnation, from + sent, some] as const;
      effects.send(to, { kind: "presence_changes", payload });
    }
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

  /** Keeps a summary to be forwarded together with others. */
  forward(
    summary: SummaryMessage,
    { to, now }: { to: readonly HostId[]; now: number },
  ): void {
    this.#heldSince ??= now;
    for (const id of to) {
      const held = this.#held.get(id);
      if (held) held.push({ summary, at: now });
      else this.#held.set(id, [{ summary, at: now }]);
    }
  }

  tick(
    targets: {
      changes: readonly HostId[];
      summary: (round: number) => readonly HostId[];
      everyMs: number;
      holdMs: number;
    },
    context: Context,
  ): void {
    const { now } = context;
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
      const to = targets.summary(this.list.round);
      this.forward(this.list.summary(now), { to, now });
    }
    const held = now - (this.#heldSince ?? now);
    if (due || held >= targets.holdMs) this.#release(context);
  }

  #release({ now, effects }: Context): void {
    for (const [id, held] of this.#held) {
      const payload = held.map(({ summary, at }) =>
        heldFor(summary, Math.ceil(now - at)),
      );
      effects.send([id], { kind: "presence_summaries", payload });
    }
    this.#held.clear();
    this.#heldSince = undefined;
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

function heldFor(summary: SummaryMessage, ms: number): SummaryMessage {
  const [owner, incarnation, version, round, load, stopping, records, held] =
    summary;
  const position = [owner, incarnation, version, round] as const;
  return [...position, load, stopping, records, held + ms];
}
