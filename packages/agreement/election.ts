import { ELECTION_TIMEOUT_MS, type MemberState } from "./member_state.ts";
import { type MemberKey, majorityOf } from "./members.ts";
import type { ConsensusMessage, VoteRequest } from "./messages.ts";

/**
 * Shortest wait before the first election after a start, in election timeouts:
 * time to connect to the others. Starting an election early does no harm,
 * because members that have a leader refuse the pre-vote.
 */
const FIRST_TIMEOUT_FACTOR = 0.4;

/**
 * Wait for an election after the connection to the leader was closed, so that
 * the other voters have lost it too, and the wait of each voter after the one
 * before it: longer than a tick (100 ms) and an election, so that the votes are
 * not split.
 */
const LOST_LEADER_DELAY_MS = 50;
const LOST_LEADER_STEP_MS = 150;

/**
 * Shortest wait before the next pre-vote, in election timeouts. Pre-votes change
 * no term, so a majority that has come back need not wait a whole timeout.
 */
const RETRY_FACTOR = 0.3;

/** An election in which this member is the candidate. */
interface Candidacy {
  readonly type: "pre_vote" | "vote";
  readonly term: number;
  readonly granted: Set<MemberKey>;
}

/**
 * Raft leader election with a pre-vote phase: a member that cannot win, for
 * example after a network partition, must not raise the term, which would make
 * a working leader step down.
 */
export class Election {
  readonly #state: MemberState;
  #candidacy: Candidacy | undefined;
  #isWon = false;
  /** Whether this member has waited for another candidate since its own last round. */
  #gaveWay = false;
  /** When this member starts an election unless it hears from a leader. */
  #timeoutAt = 0;
  /** Election timeouts of the present wait, by which it grows with this member's delay. */
  #timeouts = 1;
  #leaderContactAt = Number.NEGATIVE_INFINITY;

  constructor(state: MemberState, now: number) {
    this.#state = state;
    const factor = FIRST_TIMEOUT_FACTOR * (1 + state.randomness.next());
    this.#timeoutAt = now + ELECTION_TIMEOUT_MS * factor;
  }

  get isCandidate(): boolean {
    return this.#candidacy !== undefined;
  }

  tick(now: number): void {
    if (now < this.#dueAt(now)) return;
    this.#state.leader = undefined;
    if (!this.#state.canBecomeLeader) return;
    this.#gaveWay = false;
    this.#startRound("pre_vote", now);
  }

  recordLeaderContact(now: number): void {
    this.#leaderContactAt = now;
    this.#candidacy = undefined;
    this.resetTimeout(now);
  }

  /** Restarts the wait: one to two timeouts, random to avoid split votes. */
  resetTimeout(now: number): void {
    this.#wait(1 + this.#state.randomness.next(), now);
  }

  /**
   * Brings the election forward after the leader's process has closed its
   * connections. If only this connection was lost, the others refuse the
   * pre-vote.
   */
  handleLeaderLost(leader: MemberKey, now: number): void {
    const { log, self } = this.#state;
    const voters = log.membership.voters.filter((m) => m !== leader);
    const rank = Math.max(0, voters.indexOf(self));
    const delay = LOST_LEADER_DELAY_MS + rank * LOST_LEADER_STEP_MS;
    this.#leaderContactAt = Number.NEGATIVE_INFINITY;
    this.#timeoutAt = Math.min(this.#timeoutAt, now + delay);
  }

  cancel(): void {
    this.#candidacy = undefined;
    this.#isWon = false;
  }

  /** Whether this member won an election since the last call. */
  takeWin(): boolean {
    const isWon = this.#isWon;
    this.#isWon = false;
    return isWon;
  }

  handlePreVoteRequest(
    request: VoteRequest,
    { isLeader, now }: { isLeader: boolean; now: number },
  ): void {
    const hasLeader =
      isLeader ||
      now - this.#leaderContactAt < this.#state.electionTimeoutMs(now);
    const { candidateTerm } = request;
    const granted =
      !hasLeader &&
      candidateTerm > this.#state.term &&
      this.#isUpToDate(request);
    if (granted) this.#giveWay(request, now);
    this.#state.send(request.from, "agreement.pre_vote_reply", {
      candidateTerm,
      granted,
    });
  }

  handleVoteRequest(request: VoteRequest, now: number): void {
    const { from, candidateTerm } = request;
    const { term, vote } = this.#state;
    const granted =
      candidateTerm === term &&
      (vote === undefined || vote === from) &&
      this.#isUpToDate(request);
    if (granted && vote === undefined) this.#state.persistVote(term, from);
    if (granted) this.resetTimeout(now);
    else if (this.#isFirstOfTwoCandidates(request)) this.#retrySoon(now);
    const reply = { candidateTerm, granted };
    this.#state.send(from, "agreement.vote_reply", reply);
  }

  handleVoteReply(
    message: Extract<
      ConsensusMessage,
      { kind: "agreement.pre_vote_reply" | "agreement.vote_reply" }
    >,
    now: number,
  ): void {
    const { from, candidateTerm, granted } = message.payload;
    const type = message.kind === "agreement.vote_reply" ? "vote" : "pre_vote";
    const candidacy = this.#candidacy;
    if (candidacy?.type !== type || candidacy.term !== candidateTerm) return;
    if (!granted) return;
    candidacy.granted.add(from);
    this.#countVotes(now);
  }

  /**
   * Waits for another candidate once, so that two that need the same votes don't split
   * them each time: with two of six hosts lost, all four that are left have to agree.
   */
  #giveWay({ from }: VoteRequest, now: number): void {
    if (this.#gaveWay || from > this.#state.self) return;
    this.#gaveWay = true;
    this.#candidacy = undefined;
    this.resetTimeout(now);
  }

  #retrySoon(now: number): void {
    this.#wait(RETRY_FACTOR * (1 + this.#state.randomness.next()), now);
  }

  #wait(timeouts: number, now: number): void {
    this.#timeouts = timeouts;
    this.#timeoutAt = now + ELECTION_TIMEOUT_MS * timeouts;
  }

  /**
   * When the wait is over: as many election timeouts as it has, so that members that are
   * late still begin at different times.
   */
  #dueAt(now: number): number {
    const extraMs = this.#state.electionTimeoutMs(now) - ELECTION_TIMEOUT_MS;
    return this.#timeoutAt + extraMs * this.#timeouts;
  }

  #startRound(type: Candidacy["type"], now: number): void {
    if (type === "vote") this.#gaveWay = false;
    const state = this.#state;
    const candidateTerm = state.term + 1;
    if (type === "vote") state.persistVote(candidateTerm, state.self);
    this.resetTimeout(now);
    if (type === "pre_vote") this.#retrySoon(now);
    const granted = new Set([state.self]);
    this.#candidacy = { type, term: candidateTerm, granted };
    const { lastIndex, lastTerm } = state.log;
    for (const voter of state.log.membership.voters) {
      if (voter === state.self) continue;
      state.send(voter, `agreement.${type}`, {
        candidateTerm,
        lastIndex,
        lastTerm,
      });
    }
    this.#countVotes(now);
  }

  #countVotes(now: number): void {
    const candidacy = this.#candidacy;
    if (!candidacy) return;
    const { membership } = this.#state.log;
    const votes = membership.voters.filter((m) => candidacy.granted.has(m));
    if (votes.length < majorityOf(membership)) return;
    if (candidacy.type === "pre_vote") {
      this.#startRound("vote", now);
      return;
    }
    this.#candidacy = undefined;
    this.#isWon = true;
  }

  /**
   * Whether this member and another one are candidates of the same term, which
   * splits the votes. The one with the lower key tries again before the other,
   * so that they do not meet again.
   */
  #isFirstOfTwoCandidates({ from, candidateTerm }: VoteRequest): boolean {
    const { self, term } = this.#state;
    const isCandidate = this.#candidacy?.type === "vote";
    return isCandidate && candidateTerm === term && self < from;
  }

  /** Whether the candidate's log is at least as recent as this member's. */
  #isUpToDate({ lastIndex, lastTerm }: VoteRequest): boolean {
    const { log } = this.#state;
    if (lastTerm !== log.lastTerm) return lastTerm > log.lastTerm;
    return lastIndex >= log.lastIndex;
  }
}
