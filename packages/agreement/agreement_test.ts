import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { Agreement } from "./agreement.ts";
import type { Effect, Founding } from "./effects.ts";
import type { Entry } from "./entry_log.ts";
import type { AgreementKind, AgreementMessage } from "./messages.ts";
import type { StoredState } from "./ports.ts";

const MEMBERS = ["a/1", "b/1", "c/1"];
const FOUNDING: Founding = {
  cluster: "k",
  convener: "a/1",
  attempt: 1,
  members: MEMBERS,
  formed: true,
};

/** One member of three that is driven by hand. */
class Member {
  readonly core: Agreement;
  now = 0;

  constructor(stored: Partial<StoredState> = {}) {
    this.core = new Agreement({
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

  /** Gives a message from `b/1` or another and returns the effects. */
  give(kind: AgreementKind, payload: object, from = "b/1"): Effect[] {
    const header = { cluster: "k", from, to: "a/1", term: 2 };
    const message = { kind, payload: { ...header, ...payload } };
    const host = from.slice(0, 1);
    this.core.receive(host, message as AgreementMessage, this.now);
    return this.flush();
  }

  /** Wins an election with the vote of `b/1`. */
  lead(): number {
    this.now += 2_000;
    this.core.tick(this.now);
    const term = this.core.status(this.now).term + 1;
    const reply = { candidateTerm: term, granted: true };
    this.give("agreement.pre_vote_reply", { ...reply, term: term - 1 });
    this.give("agreement.vote_reply", { ...reply, term });
    assert.equal(this.core.status(this.now).role, "leader");
    return term;
  }

  get commit(): number {
    return this.core.status(this.now).commit;
  }
}

function entry(index: number, term: number): Entry {
  return { index, term, command: new Uint8Array([index]) };
}

/** The only message of a kind among some effects. */
function sent(effects: readonly Effect[], kind: AgreementKind) {
  const found = effects.flatMap((effect) =>
    effect.type === "send" && effect.kind === kind ? [effect.payload] : [],
  );
  return found[0] as unknown as Record<string, unknown> | undefined;
}

// Guards against a leader that lacks acknowledged entries.
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
    const effects = member.give("agreement.vote", request);
    assert.equal(sent(effects, "agreement.vote_reply")?.granted, granted);
    const rival = member.give("agreement.vote", request, "c/1");
    assert.equal(sent(rival, "agreement.vote_reply")?.granted, false);
  });
}

// Guards against a vote that a restart forgets.
test("a vote precedes its answer as a write", () => {
  const member = new Member();
  const request = { lastIndex: 0, lastTerm: 0, term: 5, candidateTerm: 5 };
  const effects = member.give("agreement.vote", request);
  assert.deepEqual(effects[0], {
    type: "persist",
    write: { type: "vote", term: 5, vote: "b/1" },
  });
  assert.equal(effects[1]?.type, "send");
});

// Guards against votes of folders that are not bound to the cluster.
const OTHER = { ...FOUNDING, cluster: "other" };

for (const [name, { founding, payload }] of Object.entries({
  "an empty folder": { founding: undefined, payload: {} },
  "a folder of another cluster": { founding: OTHER, payload: {} },
  "a folder after a lost one": { founding: FOUNDING, payload: { to: "a/0" } },
})) {
  test(`${name} gives no vote`, () => {
    const member = new Member({ founding, term: 0 });
    const vote = { lastIndex: 9, lastTerm: 9, term: 5, candidateTerm: 5 };
    assert.deepEqual(
      member.give("agreement.vote", { ...vote, ...payload }),
      [],
    );
    assert.equal(member.core.status(0).term, 0);
  });
}

// Guards against two clusters that share a founder.
const LATER = { from: "b/1", attempt: 2 };

for (const [name, { formed, request, bound }] of Object.entries({
  "another convener": { formed: false, request: {}, bound: false },
  "its convener later": { formed: false, request: LATER, bound: true },
  "its convener earlier": {
    formed: false,
    request: { from: "b/1", attempt: 0 },
    bound: false,
  },
  "its convener once formed": { formed: true, request: LATER, bound: false },
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
    const effects = member.give("agreement.found", found, found.from);
    assert.equal(sent(effects, "agreement.found_reply")?.bound, bound);
  });
}

// Guards against committing an entry that a later leader may still replace.
test("entries of earlier terms commit only with one of the own term", () => {
  const member = new Member({ entries: [entry(1, 1), entry(2, 2)] });
  const term = member.lead();
  member.core.persisted(3, term);
  const reply = { accepted: true, refused: 0, round: 1, term };
  member.give("agreement.append_reply", { ...reply, match: 2 });
  assert.equal(member.commit, 0);
  member.give("agreement.append_reply", { ...reply, match: 3 });
  assert.equal(member.commit, 3);
});

// Guards against counting the leader's own entry before it is synced.
test("the leader counts its entries once they are synced", () => {
  const member = new Member();
  const term = member.lead();
  const reply = { accepted: true, refused: 0, round: 1, match: 1, term };
  member.give("agreement.append_reply", reply);
  assert.equal(member.commit, 0);
  member.core.persisted(1, term - 1);
  member.flush();
  assert.equal(member.commit, 0, "another entry was synced at that index");
  member.core.persisted(1, term);
  member.flush();
  assert.equal(member.commit, 1);
});

// Guards against a change on top of one that an earlier leader left behind.
test("a leader refuses changes before its first commit", () => {
  const member = new Member();
  member.lead();
  const change = { type: "remove", member: "c/1" } as const;
  member.core.changeMembers("r", change, member.now);
  const [failed] = member.flush().filter(({ type }) => type === "failed");
  const fault = { type: "leader_not_ready" };
  assert.deepEqual(failed, { type: "failed", id: "r", fault });
});

// Guards against reads that a newer leader has made outdated.
test("a read waits for a majority of a round after it", () => {
  const member = new Member();
  const term = member.lead();
  const reply = { accepted: true, refused: 0, match: 1, term };
  member.core.persisted(1, term);
  member.give("agreement.append_reply", { ...reply, round: 1 });
  member.core.read("r", member.now);
  const isRead = (effects: Effect[]) => effects.some((e) => e.type === "read");
  const asked = member.flush();
  const { round } = sent(asked, "agreement.append") ?? {};
  assert.ok(!isRead(asked));
  const late = { ...reply, round: Number(round) - 1 };
  assert.ok(!isRead(member.give("agreement.append_reply", late)));
  const answer = { ...reply, round: Number(round) };
  assert.ok(isRead(member.give("agreement.append_reply", answer)));
});
