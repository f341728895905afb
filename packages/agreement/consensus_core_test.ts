import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { ConsensusCore } from "./consensus_core.ts";
import type { ClusterBinding, Effect } from "./effects.ts";
import type { LogEntry } from "./entry_log.ts";
import type { ConsensusMessage, ConsensusMessageKind } from "./messages.ts";
import type { StoredState } from "./ports.ts";

const MEMBERS = ["a/1", "b/1", "c/1"];
const FOUNDING: ClusterBinding = {
  cluster: "k",
  convener: "a/1",
  attempt: 1,
  members: MEMBERS,
  formed: true,
};

/** The core of one member out of three; the test supplies its inputs. */
class Member {
  readonly core: ConsensusCore;
  now = 0;

  constructor(stored: Partial<StoredState> = {}) {
    this.core = new ConsensusCore({
      host: "a",
      founders: ["a", "b", "c"],
      stored: {
        identity: "1",
        founding: FOUNDING,
        term: 2,
        vote: undefined,
        snapshot: undefined,
        entries: [],
        ...stored,
      },
      randomness: new SeededRandomness(1),
      now: 0,
    });
  }

  flush(): Effect[] {
    return this.core.flush(this.now);
  }

  /** Receives a message, by default from `b/1`, and returns the effects. */
  receive(kind: ConsensusMessageKind, payload: object, from = "b/1"): Effect[] {
    const header = { cluster: "k", from, to: "a/1", term: 2 };
    const message = { kind, payload: { ...header, ...payload } };
    const host = from.slice(0, 1);
    this.core.receive(host, message as ConsensusMessage, this.now);
    return this.flush();
  }

  /** Wins an election with the vote of `b/1`; returns the new term. */
  winElection(): number {
    this.now += 2_000;
    this.core.tick(this.now);
    const term = this.core.status(this.now).term + 1;
    const reply = { candidateTerm: term, granted: true };
    this.receive("agreement.pre_vote_reply", { ...reply, term: term - 1 });
    this.receive("agreement.vote_reply", { ...reply, term });
    assert.equal(this.core.status(this.now).role, "leader");
    return term;
  }

  get commit(): number {
    return this.core.status(this.now).commit;
  }
}

function entry(index: number, term: number): LogEntry {
  return { index, term, command: new Uint8Array([index]) };
}

/** The payload of the first message of a kind among some effects. */
function sentPayload(effects: readonly Effect[], kind: ConsensusMessageKind) {
  const found = effects.flatMap((effect) =>
    effect.type === "send" && effect.kind === kind ? [effect.payload] : [],
  );
  return found[0] as unknown as Record<string, unknown> | undefined;
}

// Failure: a leader is elected that lacks acknowledged entries, because a vote
// went to a candidate whose log is less recent than the voter's.
for (const { name, vote, granted } of [
  { name: "an equal log", vote: { lastIndex: 3, lastTerm: 2 }, granted: true },
  { name: "a longer log", vote: { lastIndex: 4, lastTerm: 2 }, granted: true },
  { name: "a later term", vote: { lastIndex: 1, lastTerm: 3 }, granted: true },
  {
    name: "a shorter log",
    vote: { lastIndex: 2, lastTerm: 2 },
    granted: false,
  },
  { name: "an old term", vote: { lastIndex: 9, lastTerm: 1 }, granted: false },
]) {
  test(`a candidate with ${name} ${granted ? "gets" : "gets no"} vote`, () => {
    const entries = [entry(1, 1), entry(2, 2), entry(3, 2)];
    const member = new Member({ entries });
    const request = { ...vote, term: 5, candidateTerm: 5 };
    const effects = member.receive("agreement.vote", request);
    assert.equal(
      sentPayload(effects, "agreement.vote_reply")?.granted,
      granted,
    );
    const secondReply = member.receive("agreement.vote", request, "c/1");
    assert.equal(
      sentPayload(secondReply, "agreement.vote_reply")?.granted,
      false,
    );
  });
}

// Failure: a member votes twice in a term, because a restart lost its vote.
test("a vote is persisted before the reply is sent", () => {
  const member = new Member();
  const request = { lastIndex: 0, lastTerm: 0, term: 5, candidateTerm: 5 };
  const effects = member.receive("agreement.vote", request);
  assert.deepEqual(effects[0], {
    type: "persist",
    write: { type: "vote", term: 5, vote: "b/1" },
  });
  assert.equal(effects[1]?.type, "send");
});

// Failure: a data folder that is not bound to the cluster takes part in its
// elections, for example after a disk was lost.
const OTHER_CLUSTER = { ...FOUNDING, cluster: "other" };

for (const [name, { founding, payload }] of Object.entries({
  "an empty folder": { founding: undefined, payload: {} },
  "a folder of another cluster": { founding: OTHER_CLUSTER, payload: {} },
  "a folder that replaced a lost one": {
    founding: FOUNDING,
    payload: { to: "a/0" },
  },
})) {
  test(`${name} gives no vote`, () => {
    const member = new Member({ founding, term: 0 });
    const vote = { lastIndex: 9, lastTerm: 9, term: 5, candidateTerm: 5 };
    assert.deepEqual(
      member.receive("agreement.vote", { ...vote, ...payload }),
      [],
    );
    assert.equal(member.core.status(0).term, 0);
  });
}

// Failure: two clusters form with a common founder, because a founder that is
// bound to one cluster is bound to another.
const LATER_ATTEMPT = { from: "b/1", attempt: 2 };

for (const [name, { formed, request, bound }] of Object.entries({
  "another convener": { formed: false, request: {}, bound: false },
  "its convener later": { formed: false, request: LATER_ATTEMPT, bound: true },
  "its convener earlier": {
    formed: false,
    request: { from: "b/1", attempt: 0 },
    bound: false,
  },
  "its convener once formed": {
    formed: true,
    request: LATER_ATTEMPT,
    bound: false,
  },
})) {
  test(`a bound founder asked by ${name} binds: ${bound}`, () => {
    const convener = "b/1";
    const founding = { ...FOUNDING, convener, formed };
    const member = new Member({ founding, term: 0 });
    const found = {
      from: "c/1",
      cluster: "new",
      attempt: 9,
      members: MEMBERS,
      formed: false,
      ...request,
    };
    const effects = member.receive("agreement.found", found, found.from);
    assert.equal(sentPayload(effects, "agreement.found_reply")?.bound, bound);
  });
}

// Failure: a leader commits an entry of an earlier term that only a majority
// holds, and a later leader replaces it.
test("entries of earlier terms commit only with one of the leader's term", () => {
  const member = new Member({ entries: [entry(1, 1), entry(2, 2)] });
  const term = member.winElection();
  member.core.handlePersisted(3, term);
  const reply = { accepted: true, refused: 0, round: 1, term };
  member.receive("agreement.append_reply", { ...reply, match: 2 });
  assert.equal(member.commit, 0);
  member.receive("agreement.append_reply", { ...reply, match: 3 });
  assert.equal(member.commit, 3);
});

// Failure: an entry is committed that the leader loses in a crash, because it
// counted its own copy before the sync.
test("the leader counts its own copy of an entry only once it is synced", () => {
  const member = new Member();
  const term = member.winElection();
  const reply = { accepted: true, refused: 0, round: 1, match: 1, term };
  member.receive("agreement.append_reply", reply);
  assert.equal(member.commit, 0);
  member.core.handlePersisted(1, term - 1);
  member.flush();
  assert.equal(member.commit, 0, "another entry was synced at that index");
  member.core.handlePersisted(1, term);
  member.flush();
  assert.equal(member.commit, 1);
});

// Failure: two membership changes overlap, because a new leader accepts one
// before it knows whether its predecessor's change is committed.
test("a leader refuses membership changes before its first commit", () => {
  const member = new Member();
  member.winElection();
  const change = { type: "remove", member: "c/1" } as const;
  member.core.changeMembers("r", change, member.now);
  const [failed] = member.flush().filter(({ type }) => type === "failed");
  const fault = { type: "leader_not_ready" };
  assert.deepEqual(failed, { type: "failed", id: "r", fault });
});

// Failure: a leader serves an outdated read although a newer leader has already
// committed further entries.
test("a read waits until a majority replies to a later heartbeat round", () => {
  const member = new Member();
  const term = member.winElection();
  const reply = { accepted: true, refused: 0, match: 1, term };
  member.core.handlePersisted(1, term);
  member.receive("agreement.append_reply", { ...reply, round: 1 });
  member.core.read("r", member.now);
  const isRead = (effects: Effect[]) => effects.some((e) => e.type === "read");
  const asked = member.flush();
  const { round } = sentPayload(asked, "agreement.append") ?? {};
  assert.ok(!isRead(asked));
  const earlierReply = { ...reply, round: Number(round) - 1 };
  assert.ok(!isRead(member.receive("agreement.append_reply", earlierReply)));
  const matchingReply = { ...reply, round: Number(round) };
  assert.ok(isRead(member.receive("agreement.append_reply", matchingReply)));
});

// Failure: no leader is elected, although a majority is connected, while one of
// its voters was away when the term rose; it stays for good if that voter does
// not know yet that it votes, and so asks for no pre-votes itself.
test("the pre-vote of a voter with an older term counts", () => {
  const member = new Member({ term: 3 });
  member.now += 2_000;
  member.core.tick(member.now);
  const effects = member.receive("agreement.pre_vote_reply", {
    candidateTerm: 4,
    granted: true,
    term: 1,
  });
  assert.ok(sentPayload(effects, "agreement.vote"));
});

// Guards against a control host that loses its leader again and again while it is
// busy: the replies of the others wait to be read, and the first one that is read
// finds the leader without a majority.
test("a leader that reads the replies of a majority late goes on leading", () => {
  const member = new Member();
  const term = member.winElection();
  member.now += 1_500;
  const reply = { term, round: 1, accepted: true, match: 0, refused: 0 };
  member.receive("agreement.append_reply", reply);
  member.core.tick(member.now);
  assert.equal(member.core.status(member.now).role, "leader");
});

test("a leader steps down when nothing has arrived from a majority", () => {
  const member = new Member();
  const term = member.winElection();
  member.now += 1_500;
  member.receive("agreement.pre_vote", {
    ...{ term, candidateTerm: term + 1, lastIndex: 0, lastTerm: 0 },
  });
  member.core.tick(member.now);
  assert.notEqual(member.core.status(member.now).role, "leader");
});

// Guards against a link to a host with an empty disk that is full of copies of one part
// of the snapshot, as each read of the configuration starts a round.
test("a chunk in transit is not sent again for each read", () => {
  const membership = { voters: MEMBERS, learners: [] };
  const bytes = new Uint8Array(1_000_000);
  const snapshot = { index: 10, term: 2, membership, bytes };
  const member = new Member({ snapshot });
  const term = member.winElection();
  member.core.handlePersisted(11, term);
  const accepted = { accepted: true, match: 11, refused: 0 };
  member.receive("agreement.append_reply", { term, round: 1, ...accepted });
  const rejected = { accepted: false, match: 0, refused: 10 };
  const reply = { term, round: 1, ...rejected };
  member.receive("agreement.append_reply", reply, "c/1");
  let chunks = 0;
  for (let i = 0; i < 20; i++) {
    member.now += 50;
    member.core.read(`read-${i}`, member.now);
    const effects = member.flush();
    const round = sentPayload(effects, "agreement.append")?.round;
    chunks += effects.filter(
      (effect) => effect.type === "send" && effect.kind === "agreement.chunk",
    ).length;
    member.receive("agreement.append_reply", { term, round, ...accepted });
  }
  assert.equal(member.core.status(member.now).role, "leader");
  assert.ok(chunks >= 1 && chunks <= 5, `${chunks} chunks in a second`);
});

// Guards against a leader that steps down, and followers that start an election, again
// and again while their own writes and messages take longer than an election timeout.
test("a member that is late itself waits longer for the others", () => {
  const leader = new Member();
  leader.winElection();
  leader.core.recordDelay(1_000, leader.now);
  leader.now += 1_500;
  leader.core.tick(leader.now);
  assert.equal(leader.core.status(leader.now).role, "leader");
  leader.now += 2_000;
  leader.core.tick(leader.now);
  assert.notEqual(leader.core.status(leader.now).role, "leader");
  const follower = new Member();
  follower.core.recordDelay(1_000, follower.now);
  follower.now += 1_500;
  follower.core.tick(follower.now);
  const early = sentPayload(follower.flush(), "agreement.pre_vote");
  assert.equal(early, undefined);
  follower.now += 2_000;
  follower.core.tick(follower.now);
  assert.ok(sentPayload(follower.flush(), "agreement.pre_vote"));
});
