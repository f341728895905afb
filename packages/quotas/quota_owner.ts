import type { View } from "#model";
import {
  EMPTY_QUOTA_TABLE,
  movedTokens,
  type QuotaBounds,
  type QuotaTable,
  VOTE_MARGIN_MS,
  VOTE_MS,
} from "./limits.ts";
import type { QuotaAsk, QuotaGrant, TenantGrant, Votes } from "./messages.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Share of the votes from which an owner's refusal counts as over the quota. */
const MIN_JUDGING_SHARE = 0.5;
/** Time after its last message at which an entry is forgotten. */
const FORGET_MS = 60_000;

/** An entry that asks, with the incarnation of its process. */
export interface Asker {
  readonly id: string;
  readonly incarnation: number;
}

interface Voter {
  incarnation: number;
  /** Sequence of its latest message. */
  sequence: number;
  heardAt: number;
  votes: Votes | undefined;
  /** When its votes end. */
  until: number;
}

interface OwnedShard {
  /** Ids of the entries whose votes count. */
  voters: ReadonlySet<string>;
  share: number;
  readonly buckets: Map<string, TokenBucket>;
}

/**
 * Grants tokens of the tenants whose shards other entries let this one own. Each
 * entry votes for one owner of a shard at a time, and an owner grants a tenant's rate
 * in proportion to the entries that vote for it: the owners of a moment, whatever
 * their views, have one whole quota together. Times are in milliseconds.
 *
 * Load pattern: a tenant's surge at a few entries, and owners that are lost, frozen or
 * cut off from a part of the entries while it lasts.
 */
export class QuotaOwner {
  readonly #incarnation: number;
  readonly #bounds: QuotaBounds;
  readonly #voters = new Map<string, Voter>();
  readonly #shards = new Map<number, OwnedShard>();
  #table: QuotaTable = EMPTY_QUOTA_TABLE;
  #entries = 1;
  #members: ReadonlySet<string> = new Set();
  #nextCheckAt = 0;

  constructor(options: { incarnation: number; bounds: QuotaBounds }) {
    this.#incarnation = options.incarnation;
    this.#bounds = options.bounds;
  }

  /** Sets the quotas, the view, and the number of entries that may vote. */
  configure(
    table: QuotaTable,
    at: { view: View; entries: number; now: number },
  ): void {
    this.#members = new Set(at.view.entries.map(({ id }) => id));
    const divided = table.shardCount !== this.#table.shardCount;
    this.#table = table;
    this.#entries = at.entries;
    if (divided) this.#shards.clear();
    for (const [number, { buckets }] of this.#shards) {
      for (const [name, bucket] of buckets) {
        const limit = table.limits.get(name);
        if (limit) bucket.setLimit(limit, at.now);
        else buckets.delete(name);
      }
      this.#addBuckets(number, at.now);
    }
    this.#update(at.now);
  }

  /** Answers an entry; undefined if a later message of it was read before. */
  receive(from: Asker, ask: QuotaAsk, now: number): QuotaGrant | undefined {
    this.#endVotes(now);
    const known = this.#voters.get(from.id);
    if (known && isOlder(from, ask, known)) return undefined;
    const votes = this.#countable(ask, now);
    const until = (ask.stamp?.ms ?? 0) + VOTE_MS;
    const { sequence } = ask;
    const { incarnation } = from;
    this.#voters.set(from.id, {
      incarnation,
      sequence,
      heardAt: now,
      votes,
      until,
    });
    if (!isEqual(known?.votes, votes)) this.#update(now);
    return {
      sequence,
      grants: ask.asks.map(([tenant, wanted]) =>
        this.#grant(tenant, wanted, now),
      ),
      stamp: { incarnation: this.#incarnation, ms: Math.floor(now) },
    };
  }

  /**
   * Ends votes that were not renewed, and takes the number of entries, from which those
   * that have left drop out later; to be called every `VOTE_MARGIN_MS`.
   */
  tick(at: { entries: number; now: number }): void {
    this.#endVotes(at.now);
    if (at.entries === this.#entries) return;
    this.#entries = at.entries;
    this.#update(at.now);
  }

  /** Share of the votes for a shard that this entry has. */
  share(shard: number): number {
    return this.#shards.get(shard)?.share ?? 0;
  }

  #grant(tenant: string, wanted: number, now: number): TenantGrant {
    const limit = this.#table.limits.get(tenant);
    const shard = limit && this.#shards.get(limit.shard);
    const bucket = shard?.buckets.get(tenant);
    if (!shard || !bucket) return [tenant, 0, 0];
    const tokens = bucket.take(wanted, now);
    if (tokens === wanted) return [tenant, tokens, 0];
    const isJudge = shard.share >= MIN_JUDGING_SHARE;
    return [tenant, tokens, isJudge ? bucket.retryAfterMs(now) : 0];
  }

  /** The votes of a message, unless its stamp is another process's or too old. */
  #countable({ votes, stamp }: QuotaAsk, now: number): Votes | undefined {
    if (!votes || stamp?.incarnation !== this.#incarnation) return undefined;
    const isCurrent = stamp.ms <= now && now < stamp.ms + VOTE_MS;
    return isCurrent ? votes : undefined;
  }

  #endVotes(now: number): void {
    if (now < this.#nextCheckAt) return;
    this.#nextCheckAt = now + VOTE_MARGIN_MS;
    let hasEnded = false;
    for (const [id, voter] of this.#voters) {
      if (voter.votes && voter.until <= now) {
        voter.votes = undefined;
        hasEnded = true;
      }
      if (now - voter.heardAt > FORGET_MS) this.#voters.delete(id);
    }
    if (hasEnded) this.#update(now);
  }

  /** Counts the votes, and gives the buckets their shares. */
  #update(now: number): void {
    const { votersOf, entries } = this.#countVotes();
    for (const number of new Set([
      ...this.#shards.keys(),
      ...votersOf.keys(),
    ])) {
      const voters = votersOf.get(number);
      if (!voters) {
        // The level of a bucket without a share is 0.
        this.#shards.delete(number);
        continue;
      }
      const shard = this.#shards.get(number) ?? this.#createShard(number, now);
      let added = 0;
      for (const id of voters) if (!shard.voters.has(id)) added++;
      shard.voters = voters;
      shard.share = voters.size / entries;
      const tokens = (movedTokens(this.#bounds) * added) / entries;
      for (const bucket of shard.buckets.values()) {
        bucket.setShare(shard.share, { tokens, now });
      }
    }
  }

  #countVotes() {
    const votersOf = new Map<number, Set<string>>();
    let entries = this.#entries;
    for (const [id, { votes }] of this.#voters) {
      if (votes?.shardCount !== this.#table.shardCount) continue;
      if (!this.#members.has(id)) continue;
      // A voter may know of entries that this one does not.
      entries = Math.max(entries, votes.entries);
      for (const shard of votes.shards) {
        if (shard >= votes.shardCount) continue;
        const voters = votersOf.get(shard) ?? new Set();
        votersOf.set(shard, voters);
        voters.add(id);
      }
    }
    return { votersOf, entries };
  }

  #createShard(number: number, now: number): OwnedShard {
    const shard = { voters: new Set<string>(), share: 0, buckets: new Map() };
    this.#shards.set(number, shard);
    this.#addBuckets(number, now);
    return shard;
  }

  #addBuckets(number: number, now: number): void {
    const shard = this.#shards.get(number);
    if (!shard) return;
    for (const limit of this.#table.limits.values()) {
      if (limit.shard !== number || shard.buckets.has(limit.name)) continue;
      const bucket = new TokenBucket(limit, now);
      const tokens = movedTokens(this.#bounds) * shard.share;
      bucket.setShare(shard.share, { tokens, now });
      shard.buckets.set(limit.name, bucket);
    }
  }
}

function isOlder(from: Asker, ask: QuotaAsk, known: Voter): boolean {
  if (from.incarnation !== known.incarnation)
    return from.incarnation < known.incarnation;
  return ask.sequence <= known.sequence;
}

function isEqual(a: Votes | undefined, b: Votes | undefined): boolean {
  if (!a || !b) return a === b;
  return (
    a.shardCount === b.shardCount &&
    a.entries === b.entries &&
    a.shards.length === b.shards.length &&
    a.shards.every((shard, i) => shard === b.shards[i])
  );
}
