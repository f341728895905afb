import { type Entry, largeHosts, rendezvousOrder, type View } from "#model";
import { VOTE_INTERVAL_MS, VOTE_MARGIN_MS, VOTE_MS } from "./limits.ts";
import type { QuotaAsk, QuotaGrant, TenantAsk, Votes } from "./messages.ts";

/** The owner of a shard and its standbys. */
const CANDIDATES = 3;
/**
 * Time for an owner to answer; a standby is asked after it, which has few votes for a
 * moment. After 40 ms, owners on hosts of 0.27 core whose processor was taken for
 * some 100 ms were passed over, and requests of all tenants refused.
 */
const ANSWER_TIMEOUT_MS = 250;
/** Time for which an owner that did not answer is passed over. */
const SKIP_MS = 1_000;
/** Age of an owner's last answer up to which a vote is moved to it. */
const FRESH_MS = 1_000;
/**
 * Entries that may have owned a shard before this process started, above which they are
 * not all asked at the start.
 */
const MAX_FORMER_OWNERS = 24;
/** Time until an entry that has not answered is asked again at the start. */
const START_INTERVAL_MS = 100;
/** Time for which an answer may still come, for what it tells about votes. */
const MAX_ANSWER_MS = 5_000;

/** The requests that a message asks for, by tenant. */
export type AskedTenants = ReadonlyMap<
  string,
  { wanted: number; waiting: number }
>;

interface Question {
  readonly at: number;
  readonly tenants: AskedTenants;
  readonly votes: Votes | undefined;
}

interface Lock {
  /** Time until which the owner may count the vote. */
  until: number;
  /** Sequence of the first message that withdraws it. */
  withdrawnIn?: number | undefined;
}

/** Another entry as an owner of shards. */
interface OwnerLink {
  readonly id: string;
  sequence: number;
  stamp: QuotaAsk["stamp"];
  /** When its latest answer came. */
  answeredAt: number;
  /** Highest sequence that it has answered. */
  answered: number;
  /** Highest sequence whose answer was found missing. */
  missed: number;
  sentAt: number;
  skippedUntil: number;
  readonly questions: Map<number, Question>;
  /** Votes that it may count, by `voteKey`. */
  readonly locks: Map<number, Lock>;
}

/**
 * Chooses the owner of each shard, and gives it this entry's vote. A vote is given to
 * another owner only when the former one has confirmed that it does not count it any
 * more, or when the time for which it may do so has passed. That time counts from a
 * stamp of the owner's own clock, so that messages that arrive late add nothing to it.
 */
export class OwnerLinks {
  readonly #links = new Map<string, OwnerLink>();
  readonly #startedAt: number;
  #candidates: readonly (readonly string[])[] = [];
  /**
   * Entries that may count a vote of the process before this one; undefined if they
   * are too many to be asked.
   */
  #formerOwners: readonly string[] | undefined;

  constructor({ startedAt }: { startedAt: number }) {
    this.#startedAt = startedAt;
  }

  get shardCount(): number {
    return this.#candidates.length;
  }

  /** Sets the shards and the entries that may own them, now and by former views. */
  configure(
    view: View,
    shardCount: number,
    formerViews: readonly View[] = [],
  ): void {
    const eligible = eligibleOwners(view);
    const former = new Set(
      [view, ...formerViews].flatMap(eligibleOwners).map(({ id }) => id),
    );
    this.#formerOwners =
      former.size <= MAX_FORMER_OWNERS ? [...former] : undefined;
    this.#candidates = Array.from({ length: shardCount }, (_, shard) =>
      rendezvousOrder(`quota ${shard}/${shardCount}`, eligible)
        .slice(0, CANDIDATES)
        .map(({ id }) => id),
    );
  }

  /** The entry to ask for tokens of a shard; undefined if none answers. */
  target(shard: number, now: number): string | undefined {
    const holder = this.#holder(shard, now);
    if (holder && holder.skippedUntil <= now) return holder.id;
    return this.#preferred(shard, now);
  }

  /** Whether this entry's vote for a shard is at that owner. */
  votesFor(id: string, shard: number, now: number): boolean {
    return this.#holder(shard, now)?.id === id;
  }

  /** The owners to which a message is due, because of votes alone. */
  due(now: number): string[] {
    const due = new Set<string>();
    const keepAlive = (link: OwnerLink) => {
      if (now - link.sentAt >= VOTE_INTERVAL_MS) due.add(link.id);
    };
    const isDivided = this.#isDivided(now);
    for (let shard = 0; shard < this.shardCount; shard++) {
      const preferred = this.#preferred(shard, now);
      if (preferred !== undefined) keepAlive(this.#link(preferred));
      const holder = this.#holder(shard, now);
      if (holder && holder.skippedUntil <= now) keepAlive(holder);
      const choice = this.#choice(shard, now);
      if (holder && holder.id !== choice) {
        const lock = holder.locks.get(voteKey(this.shardCount, shard));
        const mayWithdraw = holder.skippedUntil <= now;
        if (mayWithdraw && lock?.withdrawnIn === undefined) due.add(holder.id);
      } else if (!holder && !isDivided && choice !== undefined) {
        if (this.#isFresh(this.#link(choice), now)) due.add(choice);
      }
    }
    for (const link of this.#links.values()) {
      if (isDivided && this.#hasVotesToWithdraw(link, now)) due.add(link.id);
    }
    if (this.shardCount > 0 && this.#isStarting(now)) {
      for (const id of this.#formerOwners ?? []) {
        const link = this.#link(id);
        const isAsked = now - link.sentAt < START_INTERVAL_MS;
        if (!hasAnswered(link) && !isAsked && link.skippedUntil <= now)
          due.add(id);
      }
    }
    return [...due];
  }

  /** Creates the next message to an owner. */
  ask(
    id: string,
    content: {
      tenants: AskedTenants;
      /** Number of entries over which rates are divided; no votes if undefined. */
      votingEntries: number | undefined;
    },
    now: number,
  ): QuotaAsk {
    const { tenants, votingEntries } = content;
    const link = this.#link(id);
    const sequence = ++link.sequence;
    const votes = this.#votes(link, { votingEntries, now });
    link.sentAt = now;
    link.questions.set(sequence, { at: now, tenants, votes });
    for (const [key, lock] of link.locks) {
      const isKept = votes?.shards.some(
        (shard) => voteKey(votes.shardCount, shard) === key,
      );
      lock.withdrawnIn = isKept ? undefined : (lock.withdrawnIn ?? sequence);
    }
    const asks: TenantAsk[] = [];
    for (const [name, { wanted }] of tenants) asks.push([name, wanted]);
    return { sequence, asks, votes, stamp: link.stamp };
  }

  /** Records an answer; returns the question, unless it was answered before. */
  answered(id: string, grant: QuotaGrant, now: number): Question | undefined {
    const link = this.#link(id);
    const question = link.questions.get(grant.sequence);
    const known = link.stamp?.incarnation ?? 0;
    if (!question || grant.stamp.incarnation < known) return undefined;
    link.questions.delete(grant.sequence);
    // A new process counts no votes for the one before it, which has ended.
    if (grant.stamp.incarnation > known) link.locks.clear();
    for (const [key, { withdrawnIn }] of link.locks) {
      if (withdrawnIn !== undefined && withdrawnIn <= grant.sequence)
        link.locks.delete(key);
    }
    if (grant.sequence < link.answered) return question;
    link.answered = grant.sequence;
    link.stamp = grant.stamp;
    link.answeredAt = now;
    link.skippedUntil = 0;
    return question;
  }

  /** Passes an owner over that cannot be reached. */
  skip(id: string, now: number): void {
    this.#link(id).skippedUntil = now + SKIP_MS;
  }

  /** Passes over the owners that have not answered in time; returns their ids. */
  checkAnswers(now: number): string[] {
    const silent: string[] = [];
    for (const link of this.#links.values()) {
      let isLate = false;
      for (const [sequence, { at }] of link.questions) {
        if (now - at > MAX_ANSWER_MS) link.questions.delete(sequence);
        else if (
          sequence > Math.max(link.missed, link.answered) &&
          now - at >= ANSWER_TIMEOUT_MS
        )
          isLate = true;
      }
      if (isLate && link.skippedUntil <= now) {
        // What it was asked before is not held against it again.
        link.missed = link.sequence;
        link.skippedUntil = now + SKIP_MS;
        silent.push(link.id);
      }
    }
    return silent;
  }

  /** Number of shards for which an owner may count this entry's vote. */
  votedShards(now: number): number {
    let voted = 0;
    for (let shard = 0; shard < this.shardCount; shard++) {
      if (this.#holder(shard, now)) voted += 1;
    }
    return voted;
  }

  /** Whether an answer is awaited. */
  get isWaiting(): boolean {
    for (const { questions } of this.#links.values()) {
      if (questions.size > 0) return true;
    }
    return false;
  }

  /** Whether votes of a former division into shards must be withdrawn first. */
  #hasVotesToWithdraw(link: OwnerLink, now: number): boolean {
    if (link.skippedUntil > now) return false;
    for (const [key, { until, withdrawnIn }] of link.locks) {
      if (isOfDivision(key, this.shardCount) || until <= now) continue;
      if (withdrawnIn === undefined) return true;
    }
    return false;
  }

  #votes(
    link: OwnerLink,
    at: { votingEntries: number | undefined; now: number },
  ): Votes | undefined {
    const { votingEntries: entries, now } = at;
    const until = link.answeredAt + VOTE_MS;
    if (entries === undefined || !link.stamp || until <= now) return undefined;
    const { shardCount } = this;
    const shards: number[] = [];
    if (this.#isDivided(now)) return { shardCount, shards, entries };
    for (let shard = 0; shard < shardCount; shard++) {
      if (this.#choice(shard, now) !== link.id) continue;
      const holder = this.#holder(shard, now);
      if (holder && holder !== link) continue;
      shards.push(shard);
      const key = voteKey(shardCount, shard);
      link.locks.set(key, { until: until + VOTE_MARGIN_MS });
    }
    return { shardCount, shards, entries };
  }

  /** The owner that should have this entry's vote for a shard. */
  #choice(shard: number, now: number): string | undefined {
    const holder = this.#holder(shard, now);
    const preferred = this.#preferred(shard, now);
    if (!holder || holder.skippedUntil > now) return preferred;
    if (preferred === undefined) return holder.id;
    return this.#isFresh(this.#link(preferred), now) ? preferred : holder.id;
  }

  /** The first candidate that answers, else the first one not passed over. */
  #preferred(shard: number, now: number): string | undefined {
    const usable = this.#candidates[shard]?.filter(
      (id) => this.#link(id).skippedUntil <= now,
    );
    return usable?.[0];
  }

  /** The owner that may count this entry's vote for a shard. */
  #holder(shard: number, now: number): OwnerLink | undefined {
    const key = voteKey(this.shardCount, shard);
    for (const link of this.#links.values()) {
      const lock = link.locks.get(key);
      if (lock && lock.until > now) return link;
    }
    return undefined;
  }

  /**
   * Whether an owner may count votes for other tenants than those of a shard: of a
   * former division into shards, or of the process before this one, which has just
   * started and does not know how that one voted.
   */
  #isDivided(now: number): boolean {
    if (this.#isStarting(now)) return true;
    for (const { locks } of this.#links.values()) {
      for (const [key, { until }] of locks) {
        if (until <= now) locks.delete(key);
        else if (!isOfDivision(key, this.shardCount)) return true;
      }
    }
    return false;
  }

  /**
   * Whether an owner may count a vote of the process before this one. An owner that has
   * answered this process no longer does, and others end it after a time.
   */
  #isStarting(now: number): boolean {
    if (now >= this.#startedAt + VOTE_MS + VOTE_MARGIN_MS) return false;
    const asked = this.#formerOwners;
    return !asked?.every((id) => hasAnswered(this.#link(id)));
  }

  #isFresh({ stamp, answeredAt }: OwnerLink, now: number): boolean {
    return stamp !== undefined && now - answeredAt < FRESH_MS;
  }

  #link(id: string): OwnerLink {
    const known = this.#links.get(id);
    if (known) return known;
    const link: OwnerLink = {
      id,
      sequence: 0,
      stamp: undefined,
      answeredAt: Number.NEGATIVE_INFINITY,
      answered: 0,
      missed: 0,
      sentAt: Number.NEGATIVE_INFINITY,
      skippedUntil: 0,
      questions: new Map(),
      locks: new Map(),
    };
    this.#links.set(id, link);
    return link;
  }
}

/** The entries of a view that may own shards. */
function eligibleOwners({ entries }: View): readonly Entry[] {
  const ready = entries.filter(({ state }) => state === "ready");
  const running = ready.length > 0 ? ready : entries;
  return largeHosts(running) ?? running;
}

function hasAnswered({ stamp }: OwnerLink): boolean {
  return stamp !== undefined;
}

/** Larger than any number of shards. */
const MAX_SHARDS = 1_024;

/** Identifies a vote over all divisions into shards. */
function voteKey(shardCount: number, shard: number): number {
  return shardCount * MAX_SHARDS + shard;
}

function isOfDivision(key: number, shardCount: number): boolean {
  return Math.floor(key / MAX_SHARDS) === shardCount;
}
