import type { HostId, Randomness } from "#model";
import type { AgreementStatus, Effect, Notice, Role } from "./effects.ts";
import { Election } from "./election.ts";
import { Founders } from "./founders.ts";
import { Leadership } from "./leadership.ts";
import {
  type AgreementLimits,
  DEFAULT_LIMITS,
  MAX_COMMAND_BYTES,
  MemberState,
} from "./member_state.ts";
import { hostOf, type MemberChange } from "./members.ts";
import type { AgreementMessage, Header, Propose } from "./messages.ts";
import type { StoredState } from "./ports.ts";
import { RecentIds } from "./recent_ids.ts";
import { Replication } from "./replication.ts";
import { Requests } from "./requests.ts";

/** Far longer than a message can be under way. */
const ANSWERED_KEPT_MS = 30_000;

type StepDownReason = Extract<Notice, { type: "stepped_down" }>["reason"];

/**
 * The consensus core of one member. Inputs change its state; `flush` returns
 * the effects of all inputs since the last one, so that the inputs of one turn
 * of the event loop share a write, a sync and a message to each peer.
 *
 * The adapter carries effects out in order and one batch after the other: no
 * effect before all writes that precede it are synced.
 */
export class Agreement {
  readonly #state: MemberState;
  readonly #founders: Founders;
  readonly #election: Election;
  readonly #replication: Replication;
  readonly #requests: Requests;
  #leadership: Leadership | undefined;
  /** Forwarded proposals that were appended or refused here. */
  readonly #answered: RecentIds;
  readonly #termAtStart: number;
  #bytesSinceSnapshot = 0;
  #isSnapshotAsked = false;

  constructor(options: {
    host: HostId;
    founders: readonly HostId[];
    /** Further control hosts to which an empty folder announces itself. */
    peers?: readonly HostId[];
    stored: StoredState;
    randomness: Randomness;
    limits?: Partial<AgreementLimits>;
    now: number;
  }) {
    const { host, founders, stored, randomness, now } = options;
    const limits = { ...DEFAULT_LIMITS, ...options.limits };
    this.#state = new MemberState({ host, stored, randomness, limits });
    this.#founders = new Founders(this.#state, {
      hosts: founders,
      peers: options.peers ?? [],
    });
    this.#election = new Election(this.#state, now);
    this.#replication = new Replication(this.#state);
    this.#requests = new Requests(this.#state);
    this.#termAtStart = stored.term;
    this.#answered = new RecentIds(ANSWERED_KEPT_MS, now);
  }

  /** Asks for a command to be agreed on; settled by `apply` or `failed`. */
  propose(id: string, bytes: Uint8Array, now: number): void {
    if (bytes.length > MAX_COMMAND_BYTES) {
      const fault = { type: "command_too_large", bytes: bytes.length } as const;
      this.#state.effect({ type: "failed", id, fault });
      return;
    }
    this.#requests.addProposal(id, { type: "command", bytes }, now);
  }

  /** Asks for a member change; settled by `apply` or `failed`. */
  changeMembers(id: string, change: MemberChange, now: number): void {
    this.#requests.addProposal(id, { type: "change", change }, now);
  }

  /** Asks for a linearizable read index; settled by `read` or `failed`. */
  read(id: string, now: number): void {
    this.#requests.addRead(id, now);
  }

  /** Elections, heartbeats and timeouts; called about ten times a second. */
  tick(now: number): void {
    this.#founders.tick(now);
    if (this.#state.phase !== "formed") return;
    this.#checkMajority(now);
    if (!this.#leadership) this.#election.tick(now);
    this.#becomeLeaderIfElected(now);
  }

  /** Takes a message from a host. */
  receive(from: HostId, message: AgreementMessage, now: number): void {
    if (hostOf(message.payload.from) !== from) return;
    if (this.#receiveFounding(message, now)) return;
    const header = message.payload as Header;
    if (!this.#isForThisMember(message.kind, header)) return;
    this.#founders.confirmFormed();
    this.#checkMajority(now);
    const isPreVote = message.kind === "agreement.pre_vote";
    if (header.term > this.#state.term && !isPreVote) {
      this.#stepDown("higher_term", header.term);
    }
    this.#dispatch(message, now);
    this.#becomeLeaderIfElected(now);
  }

  /** A proposal could not be sent, because there is no connection. */
  notDelivered(message: AgreementMessage, now: number): void {
    if (message.kind !== "agreement.propose") return;
    this.#requests.notDelivered(message.payload.id, now);
  }

  /** The log is synced up to this entry. */
  persisted(index: number, term: number): void {
    // An entry that was replaced since it was written no longer counts.
    if (this.#state.log.term(index) !== term) return;
    this.#state.persisted = Math.max(this.#state.persisted, index);
  }

  /** The state machine's state that a `snapshot` effect asked for. */
  snapshotTaken(
    effect: Extract<Effect, { type: "snapshot" }>,
    bytes: Uint8Array,
  ): void {
    this.#isSnapshotAsked = false;
    const { index, term, membership } = effect;
    const state = this.#state;
    if (index <= (state.snapshot?.index ?? 0)) return;
    const snapshot = { index, term, membership, bytes };
    state.snapshot = snapshot;
    state.persist({ type: "snapshot", snapshot, keepLog: true });
    const { keptEntries, keptBytes } = state.limits;
    const kept = { entries: keptEntries, bytes: keptBytes };
    state.log.compact(state.log.startOfTail(index, kept));
  }

  /** The effects of all inputs since the last call. */
  flush(now: number): Effect[] {
    this.#handOver(now);
    this.#lead(now);
    this.#apply();
    if (this.#leadership?.isRemoved) {
      this.#leadership.farewell();
      this.#stepDown("removed", this.#state.term);
    }
    this.#askForSnapshot();
    this.#requests.settle(now);
    return this.#state.take();
  }

  status(now: number): AgreementStatus {
    const state = this.#state;
    const announced = this.#founders.announced(now);
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
      announced: [...announced].map(
        ([host, identity]) => `${host}/${identity}`,
      ),
      peers: this.#leadership?.peers(now) ?? [],
    };
  }

  get #role(): Role {
    if (this.#leadership) return "leader";
    if (this.#election.isRunning) return "candidate";
    return this.#state.isVoter ? "follower" : "learner";
  }

  #receiveFounding(message: AgreementMessage, now: number): boolean {
    const { payload } = message;
    if ("to" in payload && payload.to !== this.#state.self) return true;
    switch (message.kind) {
      case "agreement.inquiry":
        this.#founders.inquiry(message.payload, now);
        return true;
      case "agreement.inquiry_reply":
        this.#founders.inquiryReply(message.payload, now);
        return true;
      case "agreement.found":
        this.#founders.found(message.payload);
        return true;
      case "agreement.found_reply":
        this.#founders.foundReply(message.payload);
        return true;
      default:
        return false;
    }
  }

  /** Refuses other clusters; an empty folder listens to a leader only. */
  #isForThisMember(kind: AgreementMessage["kind"], header: Header): boolean {
    const { founding } = this.#state;
    if (founding) return founding.cluster === header.cluster;
    const isLeader = kind === "agreement.append" || kind === "agreement.chunk";
    if (!isLeader) return false;
    this.#founders.join(header.cluster, header.from);
    return true;
  }

  #dispatch(message: AgreementMessage, now: number): void {
    const { term } = this.#state;
    const isStale = (message.payload as Header).term < term;
    switch (message.kind) {
      case "agreement.pre_vote":
        this.#founders.heardVoter(message.payload.from, now);
        this.#election.preVote(message.payload, {
          isLeader: this.#leadership !== undefined,
          now,
        });
        return;
      case "agreement.vote":
        this.#election.vote(message.payload, now);
        return;
      case "agreement.pre_vote_reply":
      case "agreement.vote_reply":
        if (!isStale) this.#election.reply(message, now);
        return;
      case "agreement.append":
      case "agreement.chunk":
        this.#fromLeader(message, now);
        return;
      case "agreement.append_reply":
        if (!isStale) this.#leadership?.appendReply(message.payload, now);
        return;
      case "agreement.chunk_reply":
        if (!isStale) this.#leadership?.chunkReply(message.payload, now);
        return;
      case "agreement.propose":
        this.#forwarded(message.payload, now);
        return;
      case "agreement.propose_refused":
        this.#requests.refused(message.payload);
        return;
      case "agreement.announced":
        this.#founders.announce(message.payload.member, now);
        return;
      case "agreement.read":
        if (isStale) return;
        this.#leadership?.read(message.payload.from, message.payload.ids);
        return;
      case "agreement.read_reply":
        this.#requests.readIndex(message.payload.ids, message.payload.index);
        return;
    }
  }

  #fromLeader(
    message: Extract<
      AgreementMessage,
      { kind: "agreement.append" | "agreement.chunk" }
    >,
    now: number,
  ): void {
    const { from, term, round } = message.payload;
    if (term < this.#state.term) {
      // The answer's term makes the former leader step down.
      const refusal = { round, accepted: false, match: 0, refused: 0 };
      this.#state.send(from, "agreement.append_reply", refusal);
      return;
    }
    if (this.#state.leader !== from) {
      this.#state.leader = from;
      this.#requests.leaderChanged();
    }
    this.#election.heardLeader(now);
    if (message.kind === "agreement.append") {
      this.#replication.append(message.payload);
    } else this.#replication.chunk(message.payload);
  }

  #forwarded({ from, id, body, term }: Propose, now: number): void {
    // Each copy must get the same answer: a refusal tells the sender that the
    // proposal has no effect.
    const copy = `${term} ${id}`;
    if (this.#answered.has(copy)) return;
    // Before a restart this member may have led the term and accepted a copy.
    if (term <= this.#termAtStart) return;
    this.#answered.add(copy, now);
    const isLeader = this.#leadership && term === this.#state.term;
    const fault = isLeader
      ? this.#leadership?.propose(
          { id, body },
          { announced: this.#founders.announced(now), now },
        )
      : ({ type: "not_leader" } as const);
    if (!fault) return;
    const refusal = { id, fault, proposedTerm: term };
    this.#state.send(from, "agreement.propose_refused", refusal);
  }

  /** Gives the requests made here to the present leader. */
  #handOver(now: number): void {
    const { leader, self } = this.#state;
    if (leader === undefined) return;
    const reads = this.#requests.takeReads(now);
    const proposals = this.#requests.takeProposals(now);
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
      const announced = this.#founders.announced(now);
      const fault = this.#leadership.propose(proposal, { announced, now });
      if (!fault) continue;
      const { id } = proposal;
      const proposedTerm = this.#state.term;
      this.#requests.refused({ id, fault, proposedTerm });
    }
    if (reads.length > 0) this.#leadership.read(self, reads);
  }

  #lead(now: number): void {
    if (!this.#leadership) return;
    for (const { from, ids, index } of this.#leadership.flush(now)) {
      if (from === this.#state.self) this.#requests.readIndex(ids, index);
      else this.#state.send(from, "agreement.read_reply", { ids, index });
    }
  }

  #apply(): void {
    const state = this.#state;
    if (state.commit <= state.applied) return;
    const entries = state.log.range(state.applied + 1, state.commit);
    state.applied = state.commit;
    for (const { command } of entries) {
      this.#bytesSinceSnapshot += command?.length ?? 0;
    }
    state.effect({ type: "apply", entries });
    this.#requests.applied(entries);
  }

  #askForSnapshot(): void {
    const { applied, snapshot, log, limits } = this.#state;
    if (this.#isSnapshotAsked) return;
    const isDue =
      applied - (snapshot?.index ?? 0) >= limits.snapshotEveryEntries ||
      this.#bytesSinceSnapshot >= limits.snapshotEveryBytes;
    const term = log.term(applied);
    if (!isDue || term === undefined) return;
    this.#isSnapshotAsked = true;
    this.#bytesSinceSnapshot = 0;
    const membership = log.membershipAt(applied);
    this.#state.effect({ type: "snapshot", index: applied, term, membership });
  }

  #becomeLeaderIfElected(now: number): void {
    if (!this.#election.takeVictory()) return;
    this.#state.leader = this.#state.self;
    this.#leadership = new Leadership(this.#state, now);
    this.#requests.leaderChanged();
    this.#state.notice({ type: "elected", term: this.#state.term });
  }

  #checkMajority(now: number): void {
    if (!this.#leadership || this.#leadership.hasMajority(now)) return;
    this.#stepDown("no_majority", this.#state.term);
    this.#election.postpone(now);
  }

  #stepDown(reason: StepDownReason, term: number): void {
    const state = this.#state;
    if (this.#leadership) {
      state.notice({ type: "stepped_down", term: state.term, reason });
    }
    this.#leadership = undefined;
    this.#election.abandon();
    state.leader = undefined;
    this.#requests.leaderChanged();
    if (term > state.term) state.persistVote(term, undefined);
  }
}
