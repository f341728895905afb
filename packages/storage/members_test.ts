import assert from "node:assert/strict";
import { test } from "node:test";
import type { MemberChange } from "#agreement";
import { type SimulatedHost, Simulation } from "./test_simulation.ts";

function formCluster(size: number): Simulation {
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

/** Submits a command; returns its fault, or undefined if it is acknowledged. */
function submitAndSettle(s: Simulation, host: SimulatedHost) {
  const id = s.submitCommand(host);
  return settle(s, id);
}

function changeAndSettle(
  s: Simulation,
  host: SimulatedHost,
  change: MemberChange,
) {
  return settle(s, s.change(host, change));
}

function settle(s: Simulation, id: string) {
  const { acknowledged, faults } = s.history;
  const isSettled = () => acknowledged.has(id) || faults.has(id);
  assert.ok(s.runUntil(isSettled), `${id} is settled`);
  return faults.get(id);
}

/** Replaces the member of a host that lost its disk, one change at a time. */
function replaceLostMember(s: Simulation, lost: string): void {
  const host = lost.slice(0, lost.indexOf("/"));
  const leader = leaderOf(s);
  s.run(1_500);
  assert.equal(changeAndSettle(s, leader, { type: "add", host }), undefined);
  s.run(1_500);
  const [member = ""] = statusOf(s, leader).membership.learners;
  const promote = { type: "promote", member } as const;
  const early = changeAndSettle(s, leader, promote);
  assert.deepEqual(early, { type: "former_identity_votes", member: lost });
  const remove = { type: "remove", member: lost } as const;
  assert.equal(changeAndSettle(s, leader, remove), undefined);
  assert.equal(changeAndSettle(s, leader, promote), undefined);
}

// Failure: both halves of a partitioned cluster accept commands.
test("an even partition of four hosts accepts nothing until it heals", () => {
  const s = formCluster(4);
  s.partition(["a", "b"]);
  s.run(3_000);
  assert.equal(s.leader(), undefined);
  for (const host of s.hosts) {
    assert.equal(submitAndSettle(s, host)?.type, "no_quorum", host.id);
    const read = s.read(host);
    assert.equal(settle(s, read)?.type, "no_quorum", host.id);
  }
  s.blocked.clear();
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  assert.equal(submitAndSettle(s, leaderOf(s)), undefined);
});

// Failure: a partitioned leader keeps serving reads from an outdated state.
for (const direction of ["both ways", "cannot receive", "cannot send"]) {
  test(`a partitioned leader (${direction}) steps down in 1 s`, () => {
    const s = formCluster(3);
    const former = leaderOf(s);
    const others = othersOf(s, former).map(({ id }) => id);
    const cutAt = s.now;
    if (direction === "cannot send") s.partition(others, true);
    else s.partition([former.id], direction === "cannot receive");
    const late = s.submitCommand(former);
    const read = s.read(former);
    const isLeader = () => statusOf(s, former).role === "leader";
    assert.ok(s.runUntil(() => !isLeader(), 5_000));
    // One tick of 100 ms and a heartbeat in transit are added to the timeout.
    assert.ok(s.now - cutAt <= 1_200, `took ${s.now - cutAt} ms`);
    assert.equal(settle(s, late)?.type, "result_unknown");
    assert.equal(settle(s, read)?.type, "no_quorum");
    if (direction === "cannot send") return;
    assert.ok(s.runUntil(() => s.leader(), 4_000));
    assert.notEqual(leaderOf(s), former);
    assert.equal(submitAndSettle(s, former)?.type, "no_quorum");
    assert.equal(submitAndSettle(s, leaderOf(s)), undefined);
  });
}

// Failure: a follower that was partitioned raises the term when it reconnects,
// so that a working leader steps down.
test("a follower that reconnects does not raise the term", () => {
  const s = formCluster(3);
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

// Failure: a follower that only the leader cannot reach makes it step down.
test("a follower that does not hear the leader does not replace it", () => {
  const s = formCluster(3);
  const leader = leaderOf(s);
  const { term } = statusOf(s, leader);
  const [follower] = othersOf(s, leader);
  s.blocked.add(`${leader.id}>${follower?.id}`);
  s.run(10_000);
  assert.equal(leaderOf(s), leader);
  assert.equal(statusOf(s, leader).term, term);
});

// Failure: no leader can be elected any more, because the entry that removes
// the former leader is not committed, and the other member needs its vote but
// has the shorter log.
test("a leader that crashes during its removal is elected again", () => {
  const s = formCluster(2);
  const leader = leaderOf(s);
  s.partition([leader.id]);
  s.change(leader, { type: "remove", member: s.memberKeyOf(leader) });
  s.run(200);
  for (const host of s.hosts) s.crash(host);
  s.blocked.clear();
  for (const host of s.hosts) s.start(host);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
});

// Failure: a replaced member does not count as a voter, so that the loss of a
// second host stops the cluster.
test("a lost disk is replaced, and then a second host may be lost", () => {
  const s = formCluster(3);
  const leader = leaderOf(s);
  for (let count = 0; count < 30; count++) submitAndSettle(s, leader);
  const [first, second] = othersOf(s, leader);
  assert.ok(first && second);
  const lost = statusOf(s, first).self;
  s.loseDisk(first);
  s.start(first);
  replaceLostMember(s, lost);
  s.crash(second);
  assert.equal(submitAndSettle(s, leaderOf(s)), undefined);
  s.crash(leader);
  s.start(second);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
  assert.equal(submitAndSettle(s, leaderOf(s)), undefined);
  s.history.checkHasAcknowledged(first);
});

// Failure: a host with an empty data folder counts as the member that it was.
test("a host that lost its disk has no vote before it is replaced", () => {
  const s = formCluster(3);
  const leader = leaderOf(s);
  const [first, second] = othersOf(s, leader);
  assert.ok(first && second);
  s.loseDisk(first);
  s.start(first);
  s.crash(second);
  s.run(3_000);
  assert.equal(s.leader(), undefined, "one voter of three is left");
  assert.equal(submitAndSettle(s, leader)?.type, "no_quorum");
  assert.equal(statusOf(s, first).phase, "empty");
  s.start(second);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
});

type RefusedChange = [
  string,
  (s: Simulation, down: SimulatedHost) => MemberChange,
];

for (const [expected, change] of [
  ["host_not_announced", () => ({ type: "add", host: "x" })],
  ["already_member", () => ({ type: "add", host: "b" })],
  ["unknown_member", () => ({ type: "remove", member: "x/1" })],
  ["already_voter", (s, h) => ({ type: "promote", member: s.memberKeyOf(h) })],
  [
    "quorum_at_risk",
    (s, down) => {
      const live = s.hosts.find((host) => host !== s.leader() && host !== down);
      return { type: "remove", member: s.memberKeyOf(live) };
    },
  ],
] satisfies RefusedChange[] as RefusedChange[]) {
  test(`an unsafe change is refused: ${expected}`, () => {
    const s = formCluster(3);
    const leader = leaderOf(s);
    const [down] = othersOf(s, leader);
    assert.ok(down);
    const changeToMake = change(s, down);
    s.crash(down);
    s.run(1_500);
    assert.equal(changeAndSettle(s, leader, changeToMake)?.type, expected);
    assert.equal(statusOf(s, leader).membership.voters.length, 3);
  });
}

// Failure: two membership changes overlap, so that their majorities need not.
test("a second change at the same time is refused", () => {
  const s = formCluster(5);
  const leader = leaderOf(s);
  const [first, second] = othersOf(s, leader);
  const one = s.change(leader, {
    type: "remove",
    member: s.memberKeyOf(first),
  });
  const two = s.change(leader, {
    type: "remove",
    member: s.memberKeyOf(second),
  });
  assert.equal(settle(s, two)?.type, "change_in_progress");
  assert.equal(settle(s, one), undefined);
});

test("the last voter cannot be removed", () => {
  const s = formCluster(1);
  const leader = leaderOf(s);
  const member = s.memberKeyOf(leader);
  const fault = changeAndSettle(s, leader, { type: "remove", member });
  assert.equal(fault?.type, "last_voter");
});

// Failure: a member that lacks committed entries gets a vote.
test("a learner that lacks entries is not promoted", () => {
  const s = formCluster(3);
  const leader = leaderOf(s);
  const [lost] = othersOf(s, leader);
  assert.ok(lost);
  s.loseDisk(lost);
  s.start(lost);
  s.run(1_500);
  assert.equal(
    changeAndSettle(s, leader, { type: "add", host: lost.id }),
    undefined,
  );
  s.partition([lost.id]);
  s.run(100);
  assert.equal(submitAndSettle(s, leader), undefined);
  const [member = ""] = statusOf(s, leader).membership.learners;
  const fault = changeAndSettle(s, leader, { type: "promote", member });
  assert.equal(fault?.type, "not_caught_up");
});

// Failure: a removed leader keeps leading.
test("a leader that removes itself steps down, and another one is elected", () => {
  const s = formCluster(3);
  const leader = leaderOf(s);
  const member = s.memberKeyOf(leader);
  assert.equal(
    changeAndSettle(s, leader, { type: "remove", member }),
    undefined,
  );
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  assert.notEqual(leaderOf(s), leader);
  assert.equal(submitAndSettle(s, leaderOf(s)), undefined);
});

// Failure: a removed member is not told, asks for votes after the election timeout, and is
// taken for a host to add while it closes: it counts as live, and gets a vote once more.
test("a member that asks for its removal learns at once that it is made", () => {
  const s = formCluster(6);
  const leader = leaderOf(s);
  const [leaving] = othersOf(s, leader);
  assert.ok(leaving);
  const member = s.memberKeyOf(leaving);
  const id = s.change(leaving, { type: "remove", member });
  const isTold = () => s.history.acknowledged.has(id);
  assert.ok(s.runUntil(isTold, 500), "it is told before an election timeout");
  assert.ok(!statusOf(s, leaving).membership.voters.includes(member));
  s.crash(leaving);
  s.run(3_000);
  assert.deepEqual(statusOf(s, leader).membership.learners, []);
  assert.equal(submitAndSettle(s, leader), undefined);
});

// Failure: acknowledged commands are lost when all members crash at once.
test("all members keep every acknowledged command after a restart of all", () => {
  const s = formCluster(5);
  for (let count = 0; count < 50; count++) submitAndSettle(s, leaderOf(s));
  for (const host of s.hosts) s.crash(host);
  for (const host of s.hosts) s.start(host);
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  assert.equal(submitAndSettle(s, leaderOf(s)), undefined);
  s.run(1_000);
  for (const host of s.hosts) s.history.checkHasAcknowledged(host);
});

// Failure: a voter that was removed while it was down is never added again, so
// that the loss of a second host leaves one voter less than a majority.
test("a voter that was removed while it was down is added again", () => {
  const s = formCluster(4);
  const [silent] = othersOf(s, leaderOf(s));
  assert.ok(silent);
  const member = statusOf(s, silent).self;
  submitAndSettle(s, leaderOf(s));
  s.crash(silent);
  s.run(2_000);
  const removal = { type: "remove", member } as const;
  assert.equal(changeAndSettle(s, leaderOf(s), removal), undefined);
  for (let count = 0; count < 30; count++) submitAndSettle(s, leaderOf(s));
  s.start(silent);
  const isAnnounced = () => statusOf(s, leaderOf(s)).announced.includes(member);
  assert.ok(s.runUntil(isAnnounced, 5_000), "it is announced");
  const { id: host } = silent;
  assert.equal(
    changeAndSettle(s, leaderOf(s), { type: "add", host }),
    undefined,
  );
  s.run(1_000);
  const promotion = { type: "promote", member } as const;
  assert.equal(changeAndSettle(s, leaderOf(s), promotion), undefined);
  s.run(1_000);
  assert.ok(statusOf(s, silent).membership.voters.includes(member));
  s.history.checkHasAcknowledged(silent);
  const [other] = othersOf(s, leaderOf(s)).filter((h) => h !== silent);
  assert.ok(other);
  s.crash(other);
  assert.equal(submitAndSettle(s, leaderOf(s)), undefined);
});

// Failure: a host that lost its disk announces itself only to its seeds; if the
// leader is not among them, the host is not added while that leader leads.
test("a lost disk is announced to a leader that its host does not reach", () => {
  const s = formCluster(4);
  const leader = leaderOf(s);
  const [lost] = othersOf(s, leader);
  assert.ok(lost);
  s.blocked.add(`${lost.id}>${leader.id}`);
  s.loseDisk(lost);
  s.start(lost);
  const member = s.memberKeyOf(lost);
  const isAnnounced = () => statusOf(s, leader).announced.includes(member);
  assert.ok(s.runUntil(isAnnounced, 3_000));
});

// Failure: a learner that was lost a moment ago is made a voter while another
// voter is lost, which leaves no majority for good.
test("a learner whose connections are closed is not promoted", () => {
  const s = formCluster(3);
  const leader = leaderOf(s);
  const added = s.addHost("d");
  s.run(1_000);
  const add = { type: "add", host: added.id } as const;
  assert.equal(changeAndSettle(s, leader, add), undefined);
  const [lost] = othersOf(s, leader);
  assert.ok(lost);
  s.crash(lost);
  s.run(2_000);
  const member = s.memberKeyOf(added);
  s.crash(added);
  s.run(20);
  const fault = changeAndSettle(s, leader, { type: "promote", member });
  assert.equal(fault?.type, "quorum_at_risk");
  assert.equal(submitAndSettle(s, leader), undefined);
});

// Failure: a host whose admission was lost with its leader counts itself as a
// learner, and is never admitted.
test("a learner whose admission was lost announces itself again", () => {
  const s = formCluster(3);
  const former = leaderOf(s);
  const added = s.addHost("d");
  s.run(1_000);
  for (const other of s.hosts) {
    if (other === former || other === added) continue;
    s.blocked.add(`${former.id}>${other.id}`);
    s.blocked.add(`${other.id}>${former.id}`);
  }
  s.change(former, { type: "add", host: added.id });
  assert.ok(
    s.runUntil(() => statusOf(s, added).phase === "formed", 2_000),
    "the host is bound",
  );
  s.crash(former);
  s.run(5_000);
  s.blocked.clear();
  s.start(former);
  s.run(5_000);
  const leader = leaderOf(s);
  const { membership } = statusOf(s, leader);
  const member = s.memberKeyOf(added);
  assert.ok(!membership.learners.includes(member), "its admission was lost");
  const isAnnounced = () => statusOf(s, leader).announced.includes(member);
  assert.ok(s.runUntil(isAnnounced, 5_000), "the host is announced");
  const add = { type: "add", host: added.id } as const;
  assert.equal(changeAndSettle(s, leader, add), undefined);
  s.run(1_500);
  const promote = { type: "promote", member } as const;
  assert.equal(changeAndSettle(s, leader, promote), undefined);
});
