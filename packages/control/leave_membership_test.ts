import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import type { ChangeFault, ConsensusStatus, MemberChange } from "#agreement";
import { SilentLogger } from "#telemetry";
import { leaveMembership } from "./leave_membership.ts";

const SELF = "host-4/aa";
const AT_RISK = { type: "quorum_at_risk", live: 2, needed: 3 } as const;

/** Leaves a log that answers removals in turn; returns the changes that it was asked for. */
async function leave(
  answers: readonly Result<number, ChangeFault>[],
  {
    voters = [SELF, "host-1/bb"],
    learners = [] as readonly string[],
    /** Learners after each removal. */
    readded = [] as string[],
    /** Looks for the member that find it closed, before the first that does not. */
    closedLooks = 0,
    signal = new AbortController().signal,
  } = {},
): Promise<MemberChange[]> {
  const changes: MemberChange[] = [];
  let membership = { voters, learners: [...learners] };
  let looks = 0;
  const log = {
    status: () => ({ self: SELF, membership }) as unknown as ConsensusStatus,
    changeMembers: async (change: MemberChange) => {
      changes.push(change);
      const answer = answers[changes.length - 1] ?? ok(1);
      if (answer.isOk())
        membership = { voters: ["host-1/bb"], learners: readded.splice(0, 1) };
      return answer;
    },
  };
  await leaveMembership({
    openLog: () => (looks++ < closedLooks ? undefined : log),
    wait: async () => undefined,
    signal,
    logger: new SilentLogger(),
  });
  return changes;
}

const REMOVAL: MemberChange = { type: "remove", member: SELF };

// Failure: a member closes although the leader refused to do without its vote.
test("a member asks for its removal until the leader has made it", async () => {
  const answers = [err(AT_RISK), err({ type: "closed" } as const), ok(7)];
  assert.deepEqual(await leave(answers), [REMOVAL, REMOVAL, REMOVAL]);
});

// Failure: a member that was added again closes, and is made a voter after that.
test("a member that was added again as a learner asks once more", async () => {
  assert.deepEqual(await leave([], { readded: [SELF] }), [REMOVAL, REMOVAL]);
  assert.deepEqual(
    await leave([], { voters: ["host-1/bb"], learners: [SELF] }),
    [REMOVAL],
  );
});

test("a member that is none leaves at once", async () => {
  assert.deepEqual(await leave([], { voters: ["host-1/bb"] }), []);
});

test("a member that the leader does not know has left", async () => {
  const unknown = err({ type: "unknown_member", member: SELF } as const);
  assert.deepEqual(await leave([unknown]), [REMOVAL]);
});

// Failure: a member that is closed for a full disk, and opened again, closes with its vote.
test("a member that is opened again asks for its removal", async () => {
  assert.deepEqual(await leave([], { closedLooks: 3 }), [REMOVAL]);
});

test("a member that is closed for good asks for nothing more", async () => {
  assert.deepEqual(await leave([], { signal: AbortSignal.abort() }), []);
});
