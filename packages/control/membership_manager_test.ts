import assert from "node:assert/strict";
import { test } from "node:test";
import { ok, type Result } from "neverthrow";
import type { ChangeFault, ConsensusStatus, MemberChange } from "#agreement";
import { MembershipManager } from "./membership_manager.ts";

const VOTERS = ["a/1", "b/1", "c/1", "d/1"];
const NO_LOG = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** A log whose leader has a status that tests set; it answers no change by itself. */
function createLog() {
  const status: ConsensusStatus = {
    ...{ self: "a/1", phase: "formed", role: "leader", term: 1, leader: "a/1" },
    ...{ commit: 1, applied: 1, lastIndex: 1, snapshotIndex: 0 },
    ...{ membershipIndex: 1, committedInTerm: true, announced: [] },
    membership: { voters: VOTERS, learners: [] },
    peers: ["b/1", "c/1", "d/1"].map((member) => ({
      member,
      match: 1,
      live: true,
    })),
  };
  const changes: MemberChange[] = [];
  const settle: ((outcome: Result<number, ChangeFault>) => void)[] = [];
  let current = status;
  let now = 0;
  const manager = new MembershipManager({
    clock: { now: () => now, wallTime: () => now },
    logger: NO_LOG as never,
    log: {
      status: () => current,
      changeMembers: (change) => {
        changes.push(change);
        return new Promise((resolve) => settle.push(resolve));
      },
    },
  });
  const tick = (changed: Partial<ConsensusStatus>, atMs = now) => {
    now = atMs;
    current = { ...current, ...changed };
    manager.tick();
  };
  return { tick, changes, settle };
}

// Failure: no host is admitted for 120 s, because the one that was to be admitted is
// lost before it has caught up (review case 7).
test("a host is admitted while the admission of another one makes no progress", () => {
  const { tick, changes } = createLog();
  tick({ announced: ["e/1"] });
  assert.deepEqual(changes, [{ type: "add", host: "e" }]);
  const lost = { member: "e/1", match: 0, live: false };
  const membership = { voters: VOTERS, learners: ["e/1"] };
  const peers = ["b/1", "c/1", "d/1"].map((member) => ({
    member,
    match: 2,
    live: true,
  }));
  const added = { membership, membershipIndex: 2, commit: 2 };
  tick({ ...added, peers: [...peers, lost], announced: ["f/1"] });
  assert.deepEqual(changes.slice(1), [{ type: "add", host: "f" }]);
});

// Failure: a leader that is elected again makes no change while one that it submitted
// in an earlier term is not settled.
test("a change of an earlier term holds up none of a later one", () => {
  const { tick, changes } = createLog();
  tick({ announced: ["e/1"] });
  tick({ announced: ["e/1"] });
  assert.equal(changes.length, 1, "it is submitted once");
  tick({ announced: ["e/1"], term: 2 });
  assert.equal(changes.length, 2);
});

// Failure: a change whose result never comes ends all changes of its term.
test("a change that shows no effect is submitted again", () => {
  const { tick, changes } = createLog();
  tick({ announced: ["e/1"] });
  tick({}, 999);
  assert.equal(changes.length, 1);
  tick({}, 1_000);
  assert.equal(changes.length, 2);
});

// Failure: an admission takes a tick for each of its changes, and two disks that were
// lost together are not replaced within 4 s.
test("the next change follows as soon as the one before is committed", async () => {
  const { tick, changes, settle } = createLog();
  tick({ announced: ["e/1", "f/1"] });
  assert.deepEqual(changes, [{ type: "add", host: "e" }]);
  settle[0]?.(ok(2));
  await Promise.resolve();
  await Promise.resolve();
  assert.equal(changes.length, 2);
});
