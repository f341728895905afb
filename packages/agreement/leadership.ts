import type { HostId } from "#model";
import type { PeerStatus } from "./effects.ts";
import {
  ELECTION_TIMEOUT_MS,
  HEARTBEAT_MS,
  MAX_BATCH_BYTES,
  type MemberState,
} from "./member_state.ts";
import { type MemberKey, majorityOf, planChange } from "./members.ts";
import type {
  AppendReply,
  ProposalBody,
  ProposeRefused,
  SnapshotChunkReply,
} from "./messages.ts";
import { PeerProgress } from "./peer_progress.ts";

/** Reads that a majority confirmed, to be answered once applied. */
export interface ConfirmedRead {
  readonly from: MemberKey;
  readonly ids: readonly string[];
  readonly index: number;
}

interface PendingRead {
  readonly from: MemberKey;
  readonly ids: readonly string[];
  /** Assigned with the first round after the request. */
  round?: number;
  index?: number;
}

/** What a member does and knows while it leads a term. */
export class Leadership {
  readonly #state: MemberState;
  readonly #peers = new Map<MemberKey, PeerProgress>();
  readonly #since: number;
  /** The first entry of this term; nothing is certain before it commits. */
  readonly #firstIndex: number;
  #reads: PendingRead[] = [];
  #round = 0;
  #nextHeartbeat: number;

  constructor(state: MemberState, now: number) {
    this.#state = state;
    this.#since = now;
    this.#nextHeartbeat = now;
    this.#firstIndex = state.log.lastIndex + 1;
    this.#followMembership(now);
    const { voters } = state.log.membership;
    // The first entry of a log names the founders, so that a member that joins
    // later learns the whole history of memberships from the log.
    const membership =
      state.log.lastIndex === 0 ? { voters, learners: [] } : undefined;
    state.appendEntries([
      { index: this.#firstIndex, term: state.term, membership },
    ]);
  }

  get committedInTerm(): boolean {
    return this.#state.commit >= this.#firstIndex;
  }

  /** Appends a proposal, or tells why it is refused. */
  propose(
    request: { id: string; body: ProposalBody },
    context: { announced: ReadonlyMap<HostId, string>; now: number },
  ): ProposeRefused["fault"] | undefined {
    const { log, term, commit } = this.#state;
    const { id, body } = request;
    const { announced, now } = context;
    const index = log.lastIndex + 1;
    if (body.type === "command") {
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
    this.#followMembership(now);
    return undefined;
  }

  read(from: MemberKey, ids: readonly string[]): void {
    this.#reads.push({ from, ids });
  }

  appendReply(reply: AppendReply, now: number): void {
    const peer = this.#peers.get(reply.from);
    if (!peer) return;
    peer.heard(reply.round, now);
    if (reply.accepted) peer.accepted(reply.match);
    else if (peer.refused(reply.refused, reply.match)) {
      this.#sendAppend(reply.from, peer);
    }
  }

  chunkReply(reply: SnapshotChunkReply, now: number): void {
    const peer = this.#peers.get(reply.from);
    if (!peer) return;
    peer.heard(reply.round, now);
    if (peer.chunkReceived(reply.index, reply.offset)) {
      this.#sendChunk(reply.from, peer);
    }
  }

  /** Whether a majority answered within one election timeout. */
  hasMajority(now: number): boolean {
    const { membership } = this.#state.log;
    const heard = membership.voters
      .map((member) =>
        member === this.#state.self
          ? now
          : (this.#peers.get(member)?.heardAt ?? this.#since),
      )
      .sort((a, b) => b - a);
    const majorityAt = heard[majorityOf(membership) - 1] ?? this.#since;
    return now - majorityAt < ELECTION_TIMEOUT_MS;
  }

  /** Commits and sends what the peers lack; returns the confirmed reads. */
  flush(now: number): ConfirmedRead[] {
    this.#advanceCommit();
    this.#startRound(now);
    for (const [member, peer] of this.#peers) this.#replicate(member, peer);
    return this.#takeConfirmedReads();
  }

  /** Whether this member has left the committed membership. */
  get isRemoved(): boolean {
    const { log, commit, self } = this.#state;
    if (log.membershipIndex > commit) return false;
    return !log.membership.voters.includes(self);
  }

  /** Tells the members the last commit index before leaving. */
  farewell(): void {
    this.#round++;
    for (const [member, peer] of this.#peers) this.#sendAppend(member, peer);
  }

  peers(now: number): PeerStatus[] {
    return [...this.#peers].map(([member, { match }]) => ({
      member,
      match,
      live: this.#isLive(member, now),
    }));
  }

  #matchOf(member: MemberKey): number {
    if (member === this.#state.self) return this.#state.persisted;
    return this.#peers.get(member)?.match ?? 0;
  }

  #isLive(member: MemberKey, now: number): boolean {
    if (member === this.#state.self) return true;
    const heardAt = this.#peers.get(member)?.heardAt;
    return heardAt !== undefined && now - heardAt < ELECTION_TIMEOUT_MS;
  }

  #followMembership(now: number): void {
    const members = new Set(this.#state.others());
    for (const member of this.#peers.keys()) {
      if (!members.has(member)) this.#peers.delete(member);
    }
    for (const member of members) {
      if (this.#peers.has(member)) continue;
      const next = this.#state.log.lastIndex + 1;
      this.#peers.set(member, new PeerProgress(next));
      this.#nextHeartbeat = now;
    }
  }

  #advanceCommit(): void {
    const { log, term } = this.#state;
    const { voters } = log.membership;
    const matches = voters
      .map((member) => this.#matchOf(member))
      .sort((a, b) => b - a);
    const index = matches[majorityOf(log.membership) - 1] ?? 0;
    // An entry of an earlier term on a majority may still be replaced; only an
    // entry of the leader's own term commits what is before it.
    if (index <= this.#state.commit || log.term(index) !== term) return;
    this.#state.commit = index;
    this.#nextHeartbeat = Math.min(this.#nextHeartbeat, this.#since);
  }

  /** A heartbeat; sent at once for reads and for a new commit index. */
  #startRound(now: number): void {
    const fresh = this.#reads.filter((read) => read.round === undefined);
    const reads = this.committedInTerm ? fresh : [];
    if (reads.length === 0 && now < this.#nextHeartbeat) return;
    const isRegular = now >= this.#nextHeartbeat;
    this.#nextHeartbeat = now + HEARTBEAT_MS;
    this.#round++;
    for (const read of reads) {
      read.round = this.#round;
      read.index = this.#state.commit;
    }
    for (const [member, peer] of this.#peers) {
      if (isRegular) peer.checkLoss(now);
      this.#replicate(member, peer);
      if (peer.sentRound === this.#round) continue;
      if (peer.transfer) this.#sendChunk(member, peer);
      else this.#sendAppend(member, peer);
    }
  }

  #takeConfirmedReads(): ConfirmedRead[] {
    const { membership } = this.#state.log;
    const rounds = membership.voters
      .map((member) =>
        member === this.#state.self
          ? this.#round
          : (this.#peers.get(member)?.round ?? 0),
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

  #replicate(member: MemberKey, peer: PeerProgress): void {
    const { log } = this.#state;
    while (peer.mayStream && peer.next <= log.lastIndex) {
      if (peer.next <= log.baseIndex) {
        this.#startTransfer(member, peer);
        return;
      }
      this.#sendAppend(member, peer);
    }
  }

  #sendAppend(member: MemberKey, peer: PeerProgress): void {
    const { log, commit } = this.#state;
    const previousTerm = log.term(peer.next - 1);
    if (previousTerm === undefined) {
      this.#startTransfer(member, peer);
      return;
    }
    const previousIndex = peer.next - 1;
    const entries = peer.mayStream
      ? log.range(peer.next, log.lastIndex, MAX_BATCH_BYTES)
      : [];
    peer.sent(entries.length, this.#round);
    this.#state.send(member, "agreement.append", {
      previousIndex,
      previousTerm,
      entries,
      commit,
      round: this.#round,
    });
  }

  #startTransfer(member: MemberKey, peer: PeerProgress): void {
    const { snapshot } = this.#state;
    if (!snapshot) return;
    peer.startTransfer(snapshot);
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
