import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConsensusStatus } from "#agreement";
import {
  MembershipPlanner,
  VOTER_REMOVAL_DELAY_MS,
} from "./membership_planner.ts";

const VOTERS = ["a/1", "b/1", "c/1", "d/1"];

function leaderStatus(options: {
  voters?: readonly string[];
  learners?: readonly string[];
  announced?: readonly string[];
  silent?: readonly string[];
}): ConsensusStatus {
  const {
    voters = VOTERS,
    learners = [],
    announced = [],
    silent = [],
  } = options;
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

test("a host that announces an empty data folder is admitted", () => {
  const planner = new MembershipPlanner();
  const status = leaderStatus({ announced: ["b/2"] });
  assert.deepEqual(planner.nextStep(status, 0), { type: "admit", host: "b" });
});

// Failure: a learner is never promoted, because the leader that added it
// stepped down before.
test("a learner that a former leader added is admitted", () => {
  const planner = new MembershipPlanner();
  const status = leaderStatus({ learners: ["e/1"] });
  assert.deepEqual(planner.nextStep(status, 0), { type: "admit", host: "e" });
});

// Failure: a restart or a short partition removes a voter.
test("a voter is removed only after it was silent for long enough", () => {
  const planner = new MembershipPlanner();
  assert.equal(planner.nextStep(leaderStatus({}), 0), undefined);
  const silent = leaderStatus({ silent: ["c/1"] });
  assert.equal(planner.nextStep(silent, VOTER_REMOVAL_DELAY_MS - 1), undefined);
  assert.deepEqual(planner.nextStep(silent, VOTER_REMOVAL_DELAY_MS), {
    type: "remove",
    member: "c/1",
  });
});

test("a voter that replies again is kept", () => {
  const planner = new MembershipPlanner();
  planner.nextStep(leaderStatus({}), 0);
  planner.nextStep(leaderStatus({ silent: ["c/1"] }), 10_000);
  planner.nextStep(leaderStatus({}), 14_000);
  const silent = leaderStatus({ silent: ["c/1"] });
  assert.equal(planner.nextStep(silent, VOTER_REMOVAL_DELAY_MS + 1), undefined);
});

test("no voter is removed from an odd number, since nothing is gained", () => {
  const planner = new MembershipPlanner();
  const voters = VOTERS.slice(0, 3);
  planner.nextStep(leaderStatus({ voters }), 0);
  const silent = leaderStatus({ voters, silent: ["c/1"] });
  assert.equal(planner.nextStep(silent, 60_000), undefined);
});

test("a host that is not the leader changes nothing", () => {
  const planner = new MembershipPlanner();
  const status = { ...leaderStatus({ announced: ["b/2"] }), role: "follower" };
  assert.equal(planner.nextStep(status as ConsensusStatus, 0), undefined);
});
