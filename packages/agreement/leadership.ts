import type { HostId } from "#model";
import type { PeerStatus } from "./effects.ts";
import type { LogEntry } from "./entry_log.ts";
import {
  ELECTION_TIMEOUT_MS,
  HEARTBEAT_MS,
  MAX_BATCH_BYTES,
  type MemberState,
} from "./member_state.ts";
import { hostOf, type MemberKey, majorityOf, planChange } from "./members.ts";
import type {
  AppendEntriesReply,
  ProposalBody,
  ProposalRefusal,
  SnapshotChunkReply,
} from "./messages.ts";
import { PeerProgress } from "./peer_progress.ts";

/**
 * Reads for which a majority confirmed that this member still leads. The
 * requesting member answers them once it has applied the index.
 */
export interface ConfirmedRead {
  readonly from: MemberKey;
  readonly ids: readonly string[];
  readonly index: number;
}

interface PendingRead {
  readonly from: MemberKey;
  readonly ids: readonly string[];
  /** The first heartbeat round that started after the request. */
  round?: number;
  /** The commit index when that round started. */
  index?: number;
}

/**
 * Whether a command may follow the log of the leader; gives the entries of the log
 * after an index.
 */
export type CommandCheck = (
  command: Uint8Array,
  entriesAfter: (index: number) => readonly LogEntry[],
) => boolean;

interface ProposalContext {
  readonly announced: ReadonlyMap<HostId, string>;
  readonly now: number;
  readonly admits: CommandCheck;
}

/** The leader role of a member, for one term. */
export class Leadership {
  readonly #state: MemberState;
  readonly #peers = new Map<MemberKey, PeerProgress>();
  readonly #electedAt: number;
  /**
   * Index of the first entry of this term. Until it is committed, the leader
   * does not know which earlier entries are, and so serves no reads.
   */
  readonly #firstIndexOfTerm: number;
  #reads: PendingRead[] = [];
  #round = 0;
  #nextHeartbeatAt: number;
  /** When chunks of snapshots that are on their way may be sent again. */
  #nextChunksAt = Number.NEGATIVE_INFINITY;

  constructor(state: MemberState, now: number) {
    this.#state = state;
    this.#electedAt = now;
    this.#nextHeartbeatAt = now;
    this.#firstIndexOfTerm = state.log.lastIndex + 1;
    this.#updatePeers(now);
    const { voters } = state.log.membership;
    // The first entry of a log holds the founding membership, so that a member
    // that joins later gets all memberships from the log.
    const membership =
      state.log.lastIndex === 0 ? { voters, learners: [] } : undefined;
    state.appendEntries([
      { index: this.#firstIndexOfTerm, term: state.term, membership },
    ]);
  }

  get committedInTerm(): boolean {
    return this.#state.commit >= this.#firstIndexOfTerm;
  }

  /** Appends a proposal to the log, or returns why it is refused. */
  propose(
    request: { id: string; body: ProposalBody },
    context: ProposalContext,
  ): ProposalRefusal["fault"] | undefined {
    const { log, term, commit } = this.#state;
    const { id, body } = request;
    const { announced, now } = context;
    const index = log.lastIndex + 1;
    if (body.type === "command") {
      const entriesAfter = (applied: number) =>
        log.range(applied + 1, log.lastIndex);
      if (!context.admits(body.bytes, entriesAfter)) {
        return { type: "not_admitted" };
      }
      this.#state.appendEntries([{ index, term, id, command: body.bytes }]);
      return undefined;
    }
    const plan = planChange(body.change, {
      membership: log.membership,
      membershipIndex: log.membershipIndex,
      commit,
      committedInTerm: this.committedInTerm,
      announced,
      match: (member) => this.#matchOf(member),
      live: (member) => this.#isLive(member, now),
    });
    if ("type" in plan) return plan;
    this.#state.appendEntries([{ index, term, id, membership: plan }]);
    this.#updatePeers(now);
    return undefined;
  }

  addRead(from: MemberKey, ids: readonly string[]): void {
    this.#reads.push({ from, ids });
  }

  handleAppendReply(reply: AppendEntriesReply, now: number): void {
    const peer = this.#peers.get(reply.from);
    if (!peer) return;
    peer.recordReply(reply.round, now);
    if (reply.accepted) peer.handleAccepted(reply.match);
    else if (peer.handleRejected(reply.refused, reply.match)) {
      this.#sendAppend(reply.from, peer);
    }
  }

  /** Notes that the last connection to a host was closed. */
  handleDisconnect(host: HostId): void {
    for (const [member, peer] of this.#peers) {
      if (hostOf(member) === host) peer.isDisconnected = true;
    }
  }

  handleChunkReply(reply: SnapshotChunkReply, now: number): void {
    const peer = this.#peers.get(reply.from);
    if (!peer) return;
    peer.recordReply(reply.round, now);
    if (peer.recordChunkOffset(reply.index, reply.offset)) {
      this.#sendChunk(reply.from, peer);
    }
  }

  /** Whether a majority replied within the election timeout. */
  hasMajority(now: number): boolean {
    const { membership } = this.#state.log;
    const replyTimes = membership.voters
      .map((member) =>
        member === this.#state.self
          ? now
          : (this.#peers.get(member)?.repliedAt ?? this.#electedAt),
      )
      .sort((a, b) => b - a);
    const majorityAt =
      replyTimes[majorityOf(membership) - 1] ?? this.#electedAt;
    return now - majorityAt < this.#state.electionTimeoutMs(now);
  }

  /**
   * Advances the commit index and sends the peers the entries that they lack.
   * Returns the reads that were confirmed.
   */
  flush(now: number): ConfirmedRead[] {
    this.#advanceCommit();
    this.#dismissRemoved();
    this.#sendHeartbeatIfDue(now);
    for (const [member, peer] of this.#peers)
      this.#sendMissingEntries(member, peer);
    return this.#takeConfirmedReads();
  }

  /** Whether a committed change has removed this member from the voters. */
  get isRemoved(): boolean {
    const { log, commit, self } = this.#state;
    if (log.membershipIndex > commit) return false;
    return !log.membership.voters.includes(self);
  }

  /** Sends the peers the final commit index before this leader steps down. */
  sendFinalCommit(): void {
    this.#round++;
    for (const [member, peer] of this.#peers) this.#sendAppend(member, peer);
  }

  peers(now: number): PeerStatus[] {
    return [...this.#peers]
      .filter(([, { removalIndex }]) => removalIndex === undefined)
      .map(([member, { match }]) => ({
        member,
        match,
        live: this.#isLive(member, now),
      }));
  }

  #matchOf(member: MemberKey): number {
    if (member === this.#state.self) return this.#state.persistedIndex;
    return this.#peers.get(member)?.match ?? 0;
  }

  #isLive(member: MemberKey, now: number): boolean {
    if (member === this.#state.self) return true;
    const peer = this.#peers.get(member);
    if (peer?.repliedAt === undefined || peer.isDisconnected) return false;
    return now - peer.repliedAt < ELECTION_TIMEOUT_MS;
  }

  #updatePeers(now: number): void {
    const { log } = this.#state;
    const members = new Set(this.#state.otherMembers());
    for (const [member, peer] of this.#peers) {
      if (!members.has(member)) peer.removalIndex ??= log.membershipIndex;
    }
    for (const member of members) {
      const peer = this.#peers.get(member);
      if (peer && peer.removalIndex === undefined) continue;
      const next = log.lastIndex + 1;
      this.#peers.set(member, new PeerProgress(next));
      this.#nextHeartbeatAt = now;
    }
  }

  /**
   * Sends members whose removal is committed the commit index once more, and nothing after
   * that. A removed member that is not told hears from no leader, asks for votes, and is
   * added again.
   */
  #dismissRemoved(): void {
    const { commit } = this.#state;
    for (const [member, peer] of this.#peers) {
      if (peer.removalIndex === undefined || commit < peer.removalIndex)
        continue;
      this.#sendMissingEntries(member, peer);
      this.#sendAppend(member, peer);
      this.#peers.delete(member);
    }
  }

  #advanceCommit(): void {
    const { log, term } = this.#state;
    const { voters } = log.membership;
    const matches = voters
      .map((member) => this.#matchOf(member))
      .sort((a, b) => b - a);
    const index = matches[majorityOf(log.membership) - 1] ?? 0;
    // An entry of an earlier term may still be replaced although a majority has
    // it. Only an entry of the leader's own term commits those before it.
    if (index <= this.#state.commit || log.term(index) !== term) return;
    this.#state.commit = index;
    this.#nextHeartbeatAt = Math.min(this.#nextHeartbeatAt, this.#electedAt);
  }

  /**
   * Sends a heartbeat to all peers if it is due: at each interval, and at once
   * for new reads and after the commit index advances.
   */
  #sendHeartbeatIfDue(now: number): void {
    const unassigned = this.#reads.filter((read) => read.round === undefined);
    const reads = this.committedInTerm ? unassigned : [];
    if (reads.length === 0 && now < this.#nextHeartbeatAt) return;
    const isIntervalOver = now >= this.#nextHeartbeatAt;
    // Chunks are sent again at intervals, and not for each read between them.
    const areChunksDue = now >= this.#nextChunksAt;
    if (areChunksDue) this.#nextChunksAt = now + HEARTBEAT_MS;
    this.#nextHeartbeatAt = now + HEARTBEAT_MS;
    this.#round++;
    for (const read of reads) {
      read.round = this.#round;
      read.index = this.#state.commit;
    }
    for (const [member, peer] of this.#peers) {
      if (isIntervalOver) peer.probeIfSilent(now);
      this.#sendMissingEntries(member, peer);
      if (peer.sentRound === this.#round) continue;
      if (!peer.transfer) this.#sendAppend(member, peer);
      else if (areChunksDue) this.#sendChunk(member, peer);
    }
  }

  #takeConfirmedReads(): ConfirmedRead[] {
    const { membership } = this.#state.log;
    const rounds = membership.voters
      .map((member) =>
        member === this.#state.self
          ? this.#round
          : (this.#peers.get(member)?.repliedRound ?? 0),
      )
      .sort((a, b) => b - a);
    const confirmed = rounds[majorityOf(membership) - 1] ?? 0;
    const ready: ConfirmedRead[] = [];
    const waiting: PendingRead[] = [];
    for (const read of this.#reads) {
      const { from, ids, index = 0, round } = read;
      if (round !== undefined && round <= confirmed) {
        ready.push({ from, ids, index });
      } else waiting.push(read);
    }
    this.#reads = waiting;
    return ready;
  }

  #sendMissingEntries(member: MemberKey, peer: PeerProgress): void {
    const { log } = this.#state;
    while (peer.canSendEntries && peer.nextIndex <= log.lastIndex) {
      if (peer.nextIndex <= log.baseIndex) {
        this.#startSnapshotTransfer(member, peer);
        return;
      }
      this.#sendAppend(member, peer);
    }
  }

  #sendAppend(member: MemberKey, peer: PeerProgress): void {
    const { log, commit } = this.#state;
    const previousTerm = log.term(peer.nextIndex - 1);
    if (previousTerm === undefined) {
      this.#startSnapshotTransfer(member, peer);
      return;
    }
    const previousIndex = peer.nextIndex - 1;
    const entries = peer.canSendEntries
      ? log.range(peer.nextIndex, log.lastIndex, MAX_BATCH_BYTES)
      : [];
    peer.recordSent(entries.length, this.#round);
    this.#state.send(member, "agreement.append", {
      previousIndex,
      previousTerm,
      entries,
      commit,
      round: this.#round,
    });
  }

  #startSnapshotTransfer(member: MemberKey, peer: PeerProgress): void {
    const { snapshot } = this.#state;
    if (!snapshot) return;
    peer.startSnapshotTransfer(snapshot);
    this.#sendChunk(member, peer);
  }

  #sendChunk(member: MemberKey, peer: PeerProgress): void {
    const { transfer } = peer;
    if (!transfer) return;
    const { snapshot, offset } = transfer;
    const end = offset + this.#state.limits.chunkBytes;
    peer.sentRound = this.#round;
    this.#state.send(member, "agreement.chunk", {
      index: snapshot.index,
      snapshotTerm: snapshot.term,
      membership: snapshot.membership,
      offset,
      total: snapshot.bytes.length,
      bytes: snapshot.bytes.subarray(offset, end),
      round: this.#round,
    });
  }
}
