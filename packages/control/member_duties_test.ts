import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConsensusStatus } from "#agreement";
import { MemberDuties, SILENT_VOTER_MS } from "./member_duties.ts";

const VOTERS = ["a/1", "b/1", "c/1", "d/1"];

function leader(facts: {
  voters?: readonly string[];
  learners?: readonly string[];
  announced?: readonly string[];
  silent?: readonly string[];
}): ConsensusStatus {
  const { voters = VOTERS, learners = [], announced = [], silent = [] } = facts;
  const others = [...voters, ...learners].filter((m) => m !== "a/1");
  return {
    self: "a/1",
    phase: "formed",
    role: "leader",
    term: 1,
    leader: "a/1",
    commit: 1,
    applied: 1,
    lastIndex: 1,
    snapshotIndex: 0,
    membership: { voters, learners },
    announced,
    peers: others.map((member) => ({
      member,
      match: 1,
      live: !silent.includes(member),
    })),
  };
}

test("a host that announces an empty folder is admitted", () => {
  const duties = new MemberDuties();
  const status = leader({ announced: ["b/2"] });
  assert.deepEqual(duties.due(status, 0), { type: "admit", host: "b" });
});

test("a learner that a former leader left behind is admitted", () => {
  const duties = new MemberDuties();
  const status = leader({ learners: ["e/1"] });
  assert.deepEqual(duties.due(status, 0), { type: "admit", host: "e" });
});

// A restart or a partition must not cost a voter its place.
test("a voter is removed only after long silence", () => {
  const duties = new MemberDuties();
  assert.equal(duties.due(leader({}), 0), undefined);
  const silent = leader({ silent: ["c/1"] });
  assert.equal(duties.due(silent, SILENT_VOTER_MS - 1), undefined);
  assert.deepEqual(duties.due(silent, SILENT_VOTER_MS), {
    type: "remove",
    member: "c/1",
  });
});

test("a voter that is heard again is kept", () => {
  const duties = new MemberDuties();
  duties.due(leader({}), 0);
  duties.due(leader({ silent: ["c/1"] }), 10_000);
  duties.due(leader({}), 14_000);
  const silent = leader({ silent: ["c/1"] });
  assert.equal(duties.due(silent, SILENT_VOTER_MS + 1), undefined);
});

test("an odd number of voters is kept, since none gains by a removal", () => {
  const duties = new MemberDuties();
  const voters = VOTERS.slice(0, 3);
  duties.due(leader({ voters }), 0);
  const silent = leader({ voters, silent: ["c/1"] });
  assert.equal(duties.due(silent, 60_000), undefined);
});

test("a host that does not lead changes nothing", () => {
  const duties = new MemberDuties();
  const status = { ...leader({ announced: ["b/2"] }), role: "follower" };
  assert.equal(duties.due(status as ConsensusStatus, 0), undefined);
});
