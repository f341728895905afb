import {
  type BackendServer,
  backendServerKey,
  type HostId,
  type Randomness,
} from "#model";
import type { Effects } from "./effects.ts";
import { splitIntoMessages } from "./message_parts.ts";
import {
  coldUntilOf,
  encodeLeave,
  encodePut,
  type Operation,
  type ServerRecord,
  type SummaryMessage,
  type Tombstone,
} from "./messages.ts";
import { OwnerList } from "./owner_list.ts";
import { listId } from "./server_table.ts";
import { CHANGE_BATCH_MS, LEASE_MS } from "./timings.ts";

interface Context {
  readonly now: number;
  readonly effects: Effects;
}

/** Changes this entry's list and sends its changes and summaries to others. */
export class Publisher {
  readonly list: OwnerList;
  readonly #randomness: Randomness;
  #pendingChanges: {
    readonly operation: Operation;
    readonly queuedAt: number;
  }[] = [];
  #nextSummaryAt: number | undefined;
  #queuedSummaries = new Map<
    HostId,
    { summary: SummaryMessage; queuedAt: number }[]
  >();
  #queuedSince: number | undefined;

  constructor(options: {
    id: HostId;
    incarnation: number;
    randomness: Randomness;
  }) {
    this.list = new OwnerList(options.id, options.incarnation);
    this.list.round = 0;
    this.#randomness = options.randomness;
  }

  get records(): ReadonlyMap<string, ServerRecord> {
    return this.list.records;
  }

  get listId(): string {
    return listId(this.list.owner, this.list.incarnation);
  }

  /** Adds or replaces a record; keeps the lease of `replaced` if given. */
  addRecord(server: BackendServer, now: number, replaced?: ServerRecord): void {
    const record = {
      server,
      expiresAt: replaced?.expiresAt ?? now + LEASE_MS,
      startedAt: replaced?.startedAt ?? now - server.startedMsAgo,
      coldUntil: replaced ? replaced.coldUntil : coldUntilOf(server, now),
    };
    const key = this.#applyChange(encodePut(record, now), now);
    // Replaces the record decoded from the operation, whose times are rounded.
    this.list.records.set(key, record);
  }

  /** Renews an unchanged record; others learn of it from the next summary. */
  renewLease(
    record: ServerRecord,
    { server, now }: { server: BackendServer; now: number },
  ) {
    record.server = server;
    record.expiresAt = now + LEASE_MS;
    record.startedAt = now - server.startedMsAgo;
    record.coldUntil = coldUntilOf(server, now);
  }

  addTombstone(tombstone: Tombstone, now: number): void {
    this.#applyChange(encodeLeave(tombstone, now), now);
  }

  /** Removes the records whose lease has expired and returns their keys. */
  expire(now: number): string[] {
    const expired = [...this.list.records.values()]
      .filter(({ expiresAt }) => expiresAt <= now)
      .map(({ server }) => server);
    for (const { service, id } of expired)
      this.#applyChange([1, service, id], now);
    return expired.map(backendServerKey);
  }

  sendPendingChanges(to: readonly HostId[], { now, effects }: Context): void {
    if (this.#pendingChanges.length === 0) return;
    const { owner, incarnation, version } = this.list;
    const operations = this.#pendingChanges.map(({ operation, queuedAt }) =>
      withWaitAdded(operation, now - queuedAt),
    );
    let from = version - operations.length;
    this.#pendingChanges = [];
    for (const batch of splitIntoMessages(operations)) {
      const payload = [owner, incarnation, from, batch] as const;
      effects.send(to, { kind: "presence_changes", payload });
      from += batch.length;
    }
  }

  /** Sends the pending changes and a summary before the next one is due. */
  sendSummaryNow(to: readonly HostId[], context: Context): void {
    this.sendPendingChanges(to, context);
    this.list.round++;
    const payload = [this.list.encodeSummary(context.now)];
    context.effects.send(to, { kind: "presence_summaries", payload });
  }

  /** Sends a newly connected peer a summary; it requests what it lacks. */
  sendSummaryTo(to: HostId, { now, effects }: Context): void {
    // Its version includes pending changes, which a new peer cannot have yet.
    const payload = [this.list.encodeSummary(now)];
    effects.send([to], { kind: "presence_summaries", payload });
  }

  /** Queues a summary, to be sent together with others. */
  queueSummary(
    summary: SummaryMessage,
    { to, now }: { to: readonly HostId[]; now: number },
  ): void {
    this.#queuedSince ??= now;
    for (const id of to) {
      const queue = this.#queuedSummaries.get(id);
      if (queue) queue.push({ summary, queuedAt: now });
      else this.#queuedSummaries.set(id, [{ summary, queuedAt: now }]);
    }
  }

  /** Sends the changes and summaries that are due. */
  tick(
    schedule: {
      changeTargets: readonly HostId[];
      summaryTargets: (
        round: number,
        list: { hasServers: boolean },
      ) => readonly HostId[];
      summaryIntervalMs: number;
      relayDelayMs: number;
    },
    context: Context,
  ): void {
    const { now } = context;
    // A random offset: entries that start together must not send in step.
    this.#nextSummaryAt ??=
      now + this.#randomness.next() * schedule.summaryIntervalMs;
    const summaryDue = now >= this.#nextSummaryAt;
    const oldestChangeAt = this.#pendingChanges[0]?.queuedAt ?? now;
    if (summaryDue || now - oldestChangeAt >= CHANGE_BATCH_MS) {
      this.sendPendingChanges(schedule.changeTargets, context);
    }
    if (summaryDue) {
      this.#nextSummaryAt = Math.max(
        this.#nextSummaryAt + schedule.summaryIntervalMs,
        now,
      );
      this.list.round++;
      const hasServers = this.list.records.size > 0;
      const to = schedule.summaryTargets(this.list.round, { hasServers });
      this.queueSummary(this.list.encodeSummary(now), { to, now });
    }
    const queuedMs = now - (this.#queuedSince ?? now);
    if (summaryDue || queuedMs >= schedule.relayDelayMs)
      this.#sendQueuedSummaries(context);
  }

  #sendQueuedSummaries({ now, effects }: Context): void {
    for (const [id, queue] of this.#queuedSummaries) {
      const payload = queue.map(({ summary, queuedAt }) =>
        withHoldAdded(summary, Math.ceil(now - queuedAt)),
      );
      effects.send([id], { kind: "presence_summaries", payload });
    }
    this.#queuedSummaries.clear();
    this.#queuedSince = undefined;
  }

  #applyChange(operation: Operation, now: number): string {
    this.#pendingChanges.push({ operation, queuedAt: now });
    this.list.version++;
    return this.list.apply(operation, now);
  }
}

/** Adds the time that an operation has waited to the ages in it. */
function withWaitAdded(operation: Operation, waitedMs: number): Operation {
  if (operation[0] !== 0) return operation;
  const [startedMsAgo, ageMs] = [operation[12], operation[13]];
  const aged = operation
    .with(12, Math.round(startedMsAgo + waitedMs))
    .with(13, Math.ceil(ageMs + waitedMs));
  const warmUpMs = operation[14];
  if (warmUpMs === undefined) return aged as unknown as Operation;
  const leftMs = Math.max(0, Math.ceil(warmUpMs - waitedMs));
  return aged.with(14, leftMs) as unknown as Operation;
}

function withHoldAdded(
  summary: SummaryMessage,
  waitedMs: number,
): SummaryMessage {
  const [owner, incarnation, version, round, load, stopping, records, heldMs] =
    summary;
  const position = [owner, incarnation, version, round] as const;
  return [...position, load, stopping, records, heldMs + waitedMs];
}
