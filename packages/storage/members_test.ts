import assert from "node:assert/strict";
import { test } from "node:test";
import type { MemberChange } from "#agreement";
import { type SimulatedHost, Simulation } from "./test_simulation.ts";

function formed(size: number): Simulation {
  const s = new Simulation({ seed: size, size, isFormed: true });
  assert.ok(s.runUntil(() => s.leader()));
  s.run(500);
  return s;
}

function leaderOf(s: Simulation): SimulatedHost {
  const leader = s.leader();
  assert.ok(leader, "there is a leader");
  return leader;
}

function statusOf(s: Simulation, host: SimulatedHost) {
  const status = host.core?.status(s.now);
  assert.ok(status, `${host.id} runs`);
  return status;
}

function othersOf(s: Simulation, host: SimulatedHost): SimulatedHost[] {
  return s.hosts.filter((other) => other !== host);
}

/** Submits and returns the fault, or undefined once acknowledged. */
function submitted(s: Simulation, host: SimulatedHost) {
  const id = s.submit(host);
  return settled(s, id);
}

function changed(s: Simulation, host: SimulatedHost, change: MemberChange) {
  return settled(s, s.change(host, change));
}

function settled(s: Simulation, id: string) {
  const { acknowledged, faults } = s.history;
  const isSettled = () => acknowledged.has(id) || faults.has(id);
  assert.ok(s.runUntil(isSettled), `${id} is settled`);
  return faults.get(id);
}

/** Replaces the identity of a host whose disk was lost, step by step. */
function repair(s: Simulation, lost: string): void {
  const host = lost.slice(0, lost.indexOf("/"));
  const leader = leaderOf(s);
  s.run(1_500);
  assert.equal(changed(s, leader, { type: "add", host }), undefined);
  s.run(1_500);
  const [member = ""] = statusOf(s, leader).membership.learners;
  const promote = { type: "promote", member } as const;
  const early = changed(s, leader, promote);
  assert.deepEqual(early, { type: "former_identity_votes", member: lost });
  const remove = { type: "remove", member: lost } as const;
  assert.equal(changed(s, leader, remove), undefined);
  assert.equal(changed(s, leader, promote), undefined);
}

// Guards against two halves that both accept changes.
test("an even split of four hosts accepts nothing until it heals", () => {
  const s = formed(4);
  s.partition(["a", "b"]);
  s.run(3_000);
  assert.equal(s.leader(), undefined);
  for (const host of s.hosts) {
    assert.equal(submitted(s, host)?.type, "no_quorum", host.id);
    const read = s.read(host);
    assert.equal(settled(s, read)?.type, "no_quorum", host.id);
  }
  s.blocked.clear();
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  assert.equal(submitted(s, leaderOf(s)), undefined);
});

// Guards against a former leader that answers from an old state.
for (const way of ["both ways", "cannot receive", "cannot send"]) {
  test(`a leader cut off silently (${way}) steps down in 1 s`, () => {
    const s = formed(3);
    const former = leaderOf(s);
    const others = othersOf(s, former).map(({ id }) => id);
    const cutAt = s.now;
    if (way === "cannot send") s.partition(others, true);
    else s.partition([former.id], way === "cannot receive");
    const late = s.submit(former);
    const read = s.read(former);
    const isLeader = () => statusOf(s, former).role === "leader";
    assert.ok(s.runUntil(() => !isLeader(), 5_000));
    // One tick of 100 ms and a heartbeat under way come on top.
    assert.ok(s.now - cutAt <= 1_200, `took ${s.now - cutAt} ms`);
    assert.equal(settled(s, late)?.type, "result_unknown");
    assert.equal(settled(s, read)?.type, "no_quorum");
    if (way === "cannot send") return;
    assert.ok(s.runUntil(() => s.leader(), 4_000));
    assert.notEqual(leaderOf(s), former);
    assert.equal(submitted(s, former)?.type, "no_quorum");
    assert.equal(submitted(s, leaderOf(s)), undefined);
  });
}

// Guards against a cut-off member that deposes a good leader on its return.
test("a follower that comes back does not raise the term", () => {
  const s = formed(3);
  const leader = leaderOf(s);
  const { term } = statusOf(s, leader);
  const [follower] = othersOf(s, leader);
  assert.ok(follower);
  s.partition([follower.id]);
  s.run(10_000);
  s.blocked.clear();
  s.run(3_000);
  assert.equal(leaderOf(s), leader);
  assert.equal(statusOf(s, leader).term, term);
});

// Guards against a member with one bad link that deposes a good leader.
test("a follower that does not hear the leader does not replace it", () => {
  const s = formed(3);
  const leader = leaderOf(s);
  const { term } = statusOf(s, leader);
  const [follower] = othersOf(s, leader);
  s.blocked.add(`${leader.id}>${follower?.id}`);
  s.run(10_000);
  assert.equal(leaderOf(s), leader);
  assert.equal(statusOf(s, leader).term, term);
});

// Guards against a deadlock: the leader's entry that removes it is not
// committed, and the other member needs its vote but has the shorter log.
test("a leader that crashes during its removal is elected again", () => {
  const s = formed(2);
  const leader = leaderOf(s);
  s.partition([leader.id]);
  s.change(leader, { type: "remove", member: s.keyOf(leader) });
  s.run(200);
  for (const host of s.hosts) s.crash(host);
  s.blocked.clear();
  for (const host of s.hosts) s.start(host);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
});

test("a lost disk is replaced, and then a second host may be lost", () => {
  const s = formed(3);
  const leader = leaderOf(s);
  for (let count = 0; count < 30; count++) submitted(s, leader);
  const [first, second] = othersOf(s, leader);
  assert.ok(first && second);
  const lost = statusOf(s, first).self;
  s.loseDisk(first);
  s.start(first);
  repair(s, lost);
  s.crash(second);
  assert.equal(submitted(s, leaderOf(s)), undefined);
  s.crash(leader);
  s.start(second);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
  assert.equal(submitted(s, leaderOf(s)), undefined);
  s.history.checkHolds(first);
});

// Guards against an empty folder that is counted as the old member.
test("a lost disk neither votes nor acknowledges before its repair", () => {
  const s = formed(3);
  const leader = leaderOf(s);
  const [first, second] = othersOf(s, leader);
  assert.ok(first && second);
  s.loseDisk(first);
  s.start(first);
  s.crash(second);
  s.run(3_000);
  assert.equal(s.leader(), undefined, "one voter of three is left");
  assert.equal(submitted(s, leader)?.type, "no_quorum");
  assert.equal(statusOf(s, first).phase, "empty");
  s.start(second);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
});

type Refused = [string, (s: Simulation, down: SimulatedHost) => MemberChange];

for (const [expected, change] of [
  ["host_not_announced", () => ({ type: "add", host: "x" })],
  ["already_member", () => ({ type: "add", host: "b" })],
  ["unknown_member", () => ({ type: "remove", member: "x/1" })],
  ["already_voter", (s, h) => ({ type: "promote", member: s.keyOf(h) })],
  [
    "quorum_at_risk",
    (s, down) => {
      const live = s.hosts.find((host) => host !== s.leader() && host !== down);
      return { type: "remove", member: s.keyOf(live) };
    },
  ],
] satisfies Refused[] as Refused[]) {
  test(`an unsafe change is refused: ${expected}`, () => {
    const s = formed(3);
    const leader = leaderOf(s);
    const [down] = othersOf(s, leader);
    assert.ok(down);
    const made = change(s, down);
    s.crash(down);
    s.run(1_500);
    assert.equal(changed(s, leader, made)?.type, expected);
    assert.equal(statusOf(s, leader).membership.voters.length, 3);
  });
}

test("a second change at the same time is refused", () => {
  const s = formed(5);
  const leader = leaderOf(s);
  const [first, second] = othersOf(s, leader);
  const one = s.change(leader, { type: "remove", member: s.keyOf(first) });
  const two = s.change(leader, { type: "remove", member: s.keyOf(second) });
  assert.equal(settled(s, two)?.type, "change_in_progress");
  assert.equal(settled(s, one), undefined);
});

test("the last voter cannot be removed", () => {
  const s = formed(1);
  const leader = leaderOf(s);
  const member = s.keyOf(leader);
  const fault = changed(s, leader, { type: "remove", member });
  assert.equal(fault?.type, "last_voter");
});

test("a learner that lacks entries is not promoted", () => {
  const s = formed(3);
  const leader = leaderOf(s);
  const [lost] = othersOf(s, leader);
  assert.ok(lost);
  s.loseDisk(lost);
  s.start(lost);
  s.run(1_500);
  assert.equal(changed(s, leader, { type: "add", host: lost.id }), undefined);
  s.partition([lost.id]);
  s.run(100);
  assert.equal(submitted(s, leader), undefined);
  const [member = ""] = statusOf(s, leader).membership.learners;
  const fault = changed(s, leader, { type: "promote", member });
  assert.equal(fault?.type, "not_caught_up");
});

test("a leader that removes itself hands over", () => {
  const s = formed(3);
  const leader = leaderOf(s);
  const member = s.keyOf(leader);
  assert.equal(changed(s, leader, { type: "remove", member }), undefined);
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  assert.notEqual(leaderOf(s), leader);
  assert.equal(submitted(s, leaderOf(s)), undefined);
});

test("a restart of all keeps every acknowledged change", () => {
  const s = formed(5);
  for (let count = 0; count < 50; count++) submitted(s, leaderOf(s));
  for (const host of s.hosts) s.crash(host);
  for (const host of s.hosts) s.start(host);
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  assert.equal(submitted(s, leaderOf(s)), undefined);
  s.run(1_000);
  for (const host of s.hosts) s.history.checkHolds(host);
});

// A voter that was removed for its silence never voted again after its return,
// so that a second loss left one host less than a majority needs.
test("a voter that was removed while it was down is added again", () => {
  const s = formed(4);
  const [silent] = othersOf(s, leaderOf(s));
  assert.ok(silent);
  const member = statusOf(s, silent).self;
  submitted(s, leaderOf(s));
  s.crash(silent);
  s.run(2_000);
  const removal = { type: "remove", member } as const;
  assert.equal(changed(s, leaderOf(s), removal), undefined);
  for (let count = 0; count < 30; count++) submitted(s, leaderOf(s));
  s.start(silent);
  const isAnnounced = () => statusOf(s, leaderOf(s)).announced.includes(member);
  assert.ok(s.runUntil(isAnnounced, 5_000), "it is announced");
  const { id: host } = silent;
  assert.equal(changed(s, leaderOf(s), { type: "add", host }), undefined);
  s.run(1_000);
  const promotion = { type: "promote", member } as const;
  assert.equal(changed(s, leaderOf(s), promotion), undefined);
  s.run(1_000);
  assert.ok(statusOf(s, silent).membership.voters.includes(member));
  s.history.checkHolds(silent);
  const [other] = othersOf(s, leaderOf(s)).filter((h) => h !== silent);
  assert.ok(other);
  s.crash(other);
  assert.equal(submitted(s, leaderOf(s)), undefined);
});

// The leader was no seed of a host that had lost its disk and asked the seeds
// only; the host stayed out for as long as that leader led.
test("a lost disk is announced to a leader that its host does not reach", () => {
  const s = formed(4);
  const leader = leaderOf(s);
  const [lost] = othersOf(s, leader);
  assert.ok(lost);
  s.blocked.add(`${lost.id}>${leader.id}`);
  s.loseDisk(lost);
  s.start(lost);
  const member = s.keyOf(lost);
  const isAnnounced = () => statusOf(s, leader).announced.includes(member);
  assert.ok(s.runUntil(isAnnounced, 3_000));
});
