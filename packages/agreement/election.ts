import { ELECTION_TIMEOUT_MS, type MemberState } from "./member_state.ts";
import { type MemberKey, majorityOf } from "./members.ts";
import type { AgreementMessage, VoteRequest } from "./messages.ts";

/**
 * Wait of a member that has just started, in election timeouts: time to connect
 * to the others. If they have a leader, they refuse its pre-vote.
 */
const FIRST_WAIT_SHARE = 0.4;

interface Candidacy {
  readonly type: "pre_vote" | "vote";
  readonly term: number;
  readonly granted: Set<MemberKey>;
}

/**
 * Finds a leader. A pre-vote goes first: a member that cannot win, for example
 * because it was cut off, must not raise the term and so depose a good leader.
 */
export class Election {
  readonly #state: MemberState;
  #candidacy: Candidacy | undefined;
  #isWon = false;
  /** When this member runs unless it hears from a leader. */
  #runAt = 0;
  #heardLeaderAt = Number.NEGATIVE_INFINITY;

  constructor(state: MemberState, now: number) {
    this.#state = state;
    const share = FIRST_WAIT_SHARE * (1 + state.randomness.next());
    this.#runAt = now + ELECTION_TIMEOUT_MS * share;
  }

  get isRunning(): boolean {
    return this.#candidacy !== undefined;
  }

  tick(now: number): void {
    if (now < this.#runAt) return;
    this.#state.leader = undefined;
    if (!this.#state.mayLead) return;
    this.#run("pre_vote", now);
  }

  heardLeader(now: number): void {
    this.#heardLeaderAt = now;
    this.#candidacy = undefined;
    this.postpone(now);
  }

  /** Waits one to two election timeouts, at random against split votes. */
  postpone(now: number): void {
    const wait = 1 + this.#state.randomness.next();
    this.#runAt = now + ELECTION_TIMEOUT_MS * wait;
  }

  abandon(): void {
    this.#candidacy = undefined;
    this.#isWon = false;
  }

  /** Whether a vote was won since the last call. */
  takeVictory(): boolean {
    const isWon = this.#isWon;
    this.#isWon = false;
    return isWon;
  }

  preVote(
    request: VoteRequest,
    { isLeader, now }: { isLeader: boolean; now: number },
  ): void {
    const hasLeader =
      isLeader || now - this.#heardLeaderAt < ELECTION_TIMEOUT_MS;
    const { candidateTerm } = request;
    const granted =
      !hasLeader &&
      candidateTerm > this.#state.term &&
      this.#isUpToDate(request);
    this.#state.send(request.from, "agreement.pre_vote_reply", {
      candidateTerm,
      granted,
    });
  }

  vote(request: VoteRequest, now: number): void {
    const { from, candidateTerm } = request;
    const { term, vote } = this.#state;
    const granted =
      candidateTerm === term &&
      (vote === undefined || vote === from) &&
      this.#isUpToDate(request);
    if (granted && vote === undefined) this.#state.persistVote(term, from);
    if (granted) this.postpone(now);
    const reply = { candidateTerm, granted };
    this.#state.send(from, "agreement.vote_reply", reply);
  }

  reply(
    message: Extract<
      AgreementMessage,
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
    this.#count(now);
  }

  #run(type: Candidacy["type"], now: number): void {
    const state = this.#state;
    const candidateTerm = state.term + 1;
    if (type === "vote") state.persistVote(candidateTerm, state.self);
    this.postpone(now);
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
    this.#count(now);
  }

  #count(now: number): void {
    const candidacy = this.#candidacy;
    if (!candidacy) return;
    const { membership } = this.#state.log;
    const votes = membership.voters.filter((m) => candidacy.granted.has(m));
    if (votes.length < majorityOf(membership)) return;
    if (candidacy.type === "pre_vote") {
      this.#run("vote", now);
      return;
    }
    this.#candidacy = undefined;
    this.#isWon = true;
  }

  /** Whether the candidate's log holds all that this member's log holds. */
  #isUpToDate({ lastIndex, lastTerm }: VoteRequest): boolean {
    const { log } = this.#state;
    if (lastTerm !== log.lastTerm) return lastTerm > log.lastTerm;
    return lastIndex >= log.lastIndex;
  }
}
