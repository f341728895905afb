import type { HostId, Randomness } from "#model";
import { ClusterBootstrap } from "./cluster_bootstrap.ts";
import type { ConsensusStatus, Effect, MemberRole, Notice } from "./effects.ts";
import { Election } from "./election.ts";
import { type CommandCheck, Leadership } from "./leadership.ts";
import { LogReceiver } from "./log_receiver.ts";
import {
  type ConsensusLimits,
  DEFAULT_CONSENSUS_LIMITS,
  MAX_COMMAND_BYTES,
  MemberState,
} from "./member_state.ts";
import { hostOf, type MemberChange } from "./members.ts";
import type {
  ConsensusMessage,
  ForwardedProposal,
  MessageHeader,
} from "./messages.ts";
import { PendingRequests } from "./pending_requests.ts";
import type { StoredState } from "./ports.ts";
import { RecentIds } from "./recent_ids.ts";

/**
 * How long a handled proposal is remembered to detect duplicates; far longer
 * than a message can be in transit.
 */
const PROPOSAL_DEDUP_MS = 30_000;

type StepDownReason = Extract<Notice, { type: "stepped_down" }>["reason"];

/**
 * The consensus state machine of one member; it does no I/O itself. Inputs
 * change its state; `flush` returns the effects of all inputs since the
 * previous flush, so that the inputs of one turn of the event loop share a
 * write, a sync and a message to each peer.
 *
 * The caller must carry out effects in order, one batch after the other, and no
 * effect before all writes that precede it are synced.
 */
export class ConsensusCore {
  readonly #state: MemberState;
  readonly #bootstrap: ClusterBootstrap;
  readonly #election: Election;
  readonly #logReceiver: LogReceiver;
  readonly #pendingRequests: PendingRequests;
  readonly #admits: CommandCheck;
  #leadership: Leadership | undefined;
  /** Forwarded proposals that this member has appended or refused. */
  readonly #handledProposals: RecentIds;
  readonly #termAtStart: number;
  #bytesSinceSnapshot = 0;
  #isSnapshotPending = false;

  constructor(options: {
    host: HostId;
    founders: readonly HostId[];
    /**
     * Further control hosts that a member with an empty data folder queries.
     */
    peers?: readonly HostId[];
    /** The seeds of a system whose hosts are told its first start. */
    seeds?: readonly HostId[];
    stored: StoredState;
    randomness: Randomness;
    limits?: Partial<ConsensusLimits>;
    /** Whether this member may log a command as the leader; default: always. */
    admits?: CommandCheck;
    now: number;
  }) {
    const { host, founders, stored, randomness, now } = options;
    const limits = { ...DEFAULT_CONSENSUS_LIMITS, ...options.limits };
    this.#state = new MemberState({ host, stored, randomness, limits });
    this.#bootstrap = new ClusterBootstrap(this.#state, {
      hosts: founders,
      peers: options.peers ?? [],
      seeds: options.seeds ?? [],
    });
    this.#bootstrap.bindFounder();
    this.#election = new Election(this.#state, now);
    this.#logReceiver = new LogReceiver(this.#state);
    this.#pendingRequests = new PendingRequests(this.#state);
    this.#admits = options.admits ?? (() => true);
    this.#termAtStart = stored.term;
    this.#handledProposals = new RecentIds(PROPOSAL_DEDUP_MS, now);
  }

  /** Proposes a command; settled by an `apply` or `failed` effect. */
  propose(id: string, bytes: Uint8Array, now: number): void {
    if (bytes.length > MAX_COMMAND_BYTES) {
      const fault = { type: "command_too_large", bytes: bytes.length } as const;
      this.#state.emit({ type: "failed", id, fault });
      return;
    }
    this.#pendingRequests.addProposal(id, { type: "command", bytes }, now);
  }

  /** Proposes a membership change; settled by an `apply` or `failed` effect. */
  changeMembers(id: string, change: MemberChange, now: number): void {
    this.#pendingRequests.addProposal(id, { type: "change", change }, now);
  }

  /**
   * Requests a linearizable read index; settled by a `read` or `failed` effect.
   */
  read(id: string, now: number): void {
    this.#pendingRequests.addRead(id, now);
  }

  /** Records how late this member was with its own work, in milliseconds. */
  recordDelay(delayMs: number, now: number): void {
    this.#state.delay.record(delayMs, now);
  }

  /** Runs elections and timeouts; to be called about ten times a second. */
  tick(now: number): void {
    this.#bootstrap.tick(now);
    if (this.#state.phase !== "formed") return;
    this.#stepDownWithoutMajority(now);
    if (!this.#leadership) this.#election.tick(now);
    this.#becomeLeaderIfElected(now);
  }

  /** Handles a message that arrived from a host. */
  receive(from: HostId, message: ConsensusMessage, now: number): void {
    if (hostOf(message.payload.from) !== from) return;
    if (this.#handleBootstrapMessage(message, now)) return;
    const header = message.payload as MessageHeader;
    if (!this.#acceptsCluster(message.kind, header)) return;
    this.#bootstrap.markFormed();
    const isPreVote = message.kind === "agreement.pre_vote";
    if (header.term > this.#state.term && !isPreVote) {
      this.#stepDown("higher_term", header.term);
    }
    this.#dispatch(message, now);
    this.#becomeLeaderIfElected(now);
  }

  /**
   * Reports that a `send` effect failed for lack of a connection. A forwarded
   * proposal is then sent again later; other messages need no reaction.
   */
  handleSendFailure(message: ConsensusMessage, now: number): void {
    if (message.kind !== "agreement.propose") return;
    this.#pendingRequests.retryProposal(message.payload.id, now);
  }

  /** Reports that the last connection to a host was closed by either side. */
  handleDisconnect(host: HostId, now: number): void {
    this.#leadership?.handleDisconnect(host);
    const { leader, vote, self } = this.#state;
    // A candidate that has won may have stopped before its first message.
    const lost = leader ?? vote;
    if (lost === undefined || lost === self || hostOf(lost) !== host) return;
    this.#state.leader = undefined;
    this.#pendingRequests.handleLeaderChange();
    this.#election.handleLeaderLost(lost, now);
  }

  /** Reports that the log is synced up to and including this entry. */
  handlePersisted(index: number, term: number): void {
    // The entry may have been replaced since it was written.
    if (this.#state.log.term(index) !== term) return;
    this.#state.persistedIndex = Math.max(this.#state.persistedIndex, index);
  }

  /** Takes the state machine's state that a `snapshot` effect requested. */
  handleSnapshot(
    effect: Extract<Effect, { type: "snapshot" }>,
    bytes: Uint8Array,
  ): void {
    this.#isSnapshotPending = false;
    const { index, term, membership } = effect;
    const state = this.#state;
    if (index <= (state.snapshot?.index ?? 0)) return;
    const snapshot = { index, term, membership, bytes };
    state.snapshot = snapshot;
    state.persist({ type: "snapshot", snapshot, keepLog: true });
    const { keptEntries, keptBytes } = state.limits;
    const kept = { entries: keptEntries, bytes: keptBytes };
    state.log.compact(state.log.indexBeforeTail(index, kept));
  }

  /** Returns the effects of all inputs since the last call, writes first. */
  flush(now: number): Effect[] {
    this.#dispatchRequests(now);
    this.#flushLeader(now);
    this.#applyCommitted();
    if (this.#leadership?.isRemoved) {
      this.#leadership.sendFinalCommit();
      this.#stepDown("removed", this.#state.term);
    }
    this.#requestSnapshotIfDue();
    this.#pendingRequests.settle(now);
    return this.#state.takeEffects();
  }

  status(now: number): ConsensusStatus {
    const state = this.#state;
    const announced = this.#bootstrap.announced(now);
    return {
      self: state.self,
      phase: state.phase,
      role: this.#role,
      term: state.term,
      leader: state.leader,
      commit: state.commit,
      applied: state.applied,
      lastIndex: state.log.lastIndex,
      snapshotIndex: state.snapshot?.index ?? 0,
      membership: state.log.membership,
      membershipIndex: state.log.membershipIndex,
      committedInTerm: this.#leadership?.committedInTerm ?? false,
      announced: [...announced].map(
        ([host, identity]) => `${host}/${identity}`,
      ),
      peers: this.#leadership?.peers(now) ?? [],
    };
  }

  get #role(): MemberRole {
    if (this.#leadership) return "leader";
    if (this.#election.isCandidate) return "candidate";
    return this.#state.isVoter ? "follower" : "learner";
  }

  #handleBootstrapMessage(message: ConsensusMessage, now: number): boolean {
    const { payload } = message;
    if ("to" in payload && payload.to !== this.#state.self) return true;
    switch (message.kind) {
      case "agreement.inquiry":
        this.#bootstrap.handleInquiry(message.payload, now);
        return true;
      case "agreement.inquiry_reply":
        this.#bootstrap.handleInquiryReply(message.payload, now);
        return true;
      case "agreement.found":
        this.#bootstrap.handleBindRequest(message.payload);
        return true;
      case "agreement.found_reply":
        this.#bootstrap.handleBindReply(message.payload);
        return true;
      default:
        return false;
    }
  }

  /**
   * Whether a message is from this member's cluster. A member with an empty
   * data folder joins the cluster of the first leader that sends to it, and
   * ignores all other members.
   */
  #acceptsCluster(
    kind: ConsensusMessage["kind"],
    header: MessageHeader,
  ): boolean {
    const { founding } = this.#state;
    if (founding) return founding.cluster === header.cluster;
    const isLeader = kind === "agreement.append" || kind === "agreement.chunk";
    if (!isLeader) return false;
    this.#bootstrap.joinCluster(header.cluster, header.from);
    return true;
  }

  #dispatch(message: ConsensusMessage, now: number): void {
    const { term } = this.#state;
    const isStale = (message.payload as MessageHeader).term < term;
    switch (message.kind) {
      case "agreement.pre_vote":
        this.#bootstrap.handleVoteRequest(message.payload.from, now);
        this.#election.handlePreVoteRequest(message.payload, {
          isLeader: this.#leadership !== undefined,
          now,
        });
        return;
      case "agreement.vote":
        this.#election.handleVoteRequest(message.payload, now);
        return;
      case "agreement.pre_vote_reply":
        // A voter that was away has an older term, which no pre-vote raises.
        this.#election.handleVoteReply(message, now);
        return;
      case "agreement.vote_reply":
        if (!isStale) this.#election.handleVoteReply(message, now);
        return;
      case "agreement.append":
      case "agreement.chunk":
        this.#handleLeaderMessage(message, now);
        return;
      case "agreement.append_reply":
        if (!isStale) this.#leadership?.handleAppendReply(message.payload, now);
        return;
      case "agreement.chunk_reply":
        if (!isStale) this.#leadership?.handleChunkReply(message.payload, now);
        return;
      case "agreement.propose":
        this.#handleProposal(message.payload, now);
        return;
      case "agreement.propose_refused":
        this.#pendingRequests.handleRefusal(message.payload);
        return;
      case "agreement.announced":
        this.#bootstrap.recordAnnouncement(message.payload.member, now);
        return;
      case "agreement.read":
        if (isStale) return;
        this.#leadership?.addRead(message.payload.from, message.payload.ids);
        return;
      case "agreement.read_reply":
        this.#pendingRequests.handleReadIndex(
          message.payload.ids,
          message.payload.index,
        );
        return;
    }
  }

  #handleLeaderMessage(
    message: Extract<
      ConsensusMessage,
      { kind: "agreement.append" | "agreement.chunk" }
    >,
    now: number,
  ): void {
    const { from, term, round } = message.payload;
    if (term < this.#state.term) {
      // The term in the header of the reply makes the former leader step down.
      const refusal = { round, accepted: false, match: 0, refused: 0 };
      this.#state.send(from, "agreement.append_reply", refusal);
      return;
    }
    if (this.#state.leader !== from) {
      this.#state.leader = from;
      this.#pendingRequests.handleLeaderChange();
    }
    this.#election.recordLeaderContact(now);
    if (message.kind === "agreement.append") {
      this.#logReceiver.handleAppend(message.payload);
      return;
    }
    const { applied } = this.#state;
    this.#logReceiver.handleChunk(message.payload);
    if (this.#state.applied !== applied)
      this.#pendingRequests.handleSnapshotInstalled();
  }

  #handleProposal(
    { from, id, body, term }: ForwardedProposal,
    now: number,
  ): void {
    // A proposal may arrive twice. A refusal tells the sender that the proposal
    // has no effect, so a copy of an accepted one must not be refused.
    const proposalKey = `${term} ${id}`;
    if (this.#handledProposals.has(proposalKey)) return;
    // In a term from before a restart, this member may have been the leader and
    // accepted a copy.
    if (term <= this.#termAtStart) return;
    this.#handledProposals.add(proposalKey, now);
    const isLeader = this.#leadership && term === this.#state.term;
    const fault = isLeader
      ? this.#leadership?.propose(
          { id, body },
          {
            announced: this.#bootstrap.announced(now),
            now,
            admits: this.#admits,
          },
        )
      : ({ type: "not_leader" } as const);
    if (!fault) return;
    const refusal = { id, fault, proposedTerm: term };
    this.#state.send(from, "agreement.propose_refused", refusal);
  }

  /** Passes the requests made at this member to the current leader. */
  #dispatchRequests(now: number): void {
    const { leader, self } = this.#state;
    if (leader === undefined) return;
    const reads = this.#pendingRequests.takeReads(now);
    const proposals = this.#pendingRequests.takeProposals(now);
    if (!this.#leadership) {
      for (const proposal of proposals) {
        this.#state.send(leader, "agreement.propose", proposal);
      }
      if (reads.length > 0) {
        this.#state.send(leader, "agreement.read", { ids: reads });
      }
      return;
    }
    for (const proposal of proposals) {
      const announced = this.#bootstrap.announced(now);
      const fault = this.#leadership.propose(proposal, {
        announced,
        now,
        admits: this.#admits,
      });
      if (!fault) continue;
      const { id } = proposal;
      const proposedTerm = this.#state.term;
      this.#pendingRequests.handleRefusal({ id, fault, proposedTerm });
    }
    if (reads.length > 0) this.#leadership.addRead(self, reads);
  }

  #flushLeader(now: number): void {
    if (!this.#leadership) return;
    for (const { from, ids, index } of this.#leadership.flush(now)) {
      if (from === this.#state.self)
        this.#pendingRequests.handleReadIndex(ids, index);
      else this.#state.send(from, "agreement.read_reply", { ids, index });
    }
  }

  #applyCommitted(): void {
    const state = this.#state;
    if (state.commit <= state.applied) return;
    const entries = state.log.range(state.applied + 1, state.commit);
    state.applied = state.commit;
    for (const { command } of entries) {
      this.#bytesSinceSnapshot += command?.length ?? 0;
    }
    state.emit({ type: "apply", entries });
    this.#pendingRequests.handleApplied(entries);
  }

  #requestSnapshotIfDue(): void {
    const { applied, snapshot, log, limits } = this.#state;
    if (this.#isSnapshotPending) return;
    const isDue =
      applied - (snapshot?.index ?? 0) >= limits.snapshotEveryEntries ||
      this.#bytesSinceSnapshot >= limits.snapshotEveryBytes;
    const term = log.term(applied);
    if (!isDue || term === undefined) return;
    this.#isSnapshotPending = true;
    this.#bytesSinceSnapshot = 0;
    const membership = log.membershipAt(applied);
    this.#state.emit({ type: "snapshot", index: applied, term, membership });
  }

  #becomeLeaderIfElected(now: number): void {
    if (!this.#election.takeWin()) return;
    this.#state.leader = this.#state.self;
    this.#leadership = new Leadership(this.#state, now);
    this.#pendingRequests.handleLeaderChange();
    this.#state.emitNotice({ type: "elected", term: this.#state.term });
  }

  #stepDownWithoutMajority(now: number): void {
    if (!this.#leadership || this.#leadership.hasMajority(now)) return;
    this.#stepDown("no_majority", this.#state.term);
    this.#election.resetTimeout(now);
  }

  #stepDown(reason: StepDownReason, term: number): void {
    const state = this.#state;
    if (this.#leadership) {
      state.emitNotice({ type: "stepped_down", term: state.term, reason });
    }
    this.#leadership = undefined;
    this.#election.cancel();
    state.leader = undefined;
    this.#pendingRequests.handleLeaderChange();
    if (term > state.term) state.persistVote(term, undefined);
  }
}
