import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentLogger } from "#telemetry";
import {
  CONTROL_GONE_AFTER_MS,
  NO_CONTROL_AFTER_MS,
  runControlReplica,
} from "./control_replica.ts";

/** Longest time between two checks for a control process. */
const CHECK_MS = 400;

interface ReplicaRun {
  readonly untilMs: number;
  readonly hadControl?: boolean;
  readonly leave?: () => Promise<void>;
  readonly onClosed?: () => void;
}

/**
 * Runs the loop of a replica for a time on a host where control is found as
 * `isControlAt` tells; returns when replicas were opened.
 */
async function openings(
  isControlAt: (ms: number) => boolean | undefined,
  { untilMs, hadControl = false, leave, onClosed }: ReplicaRun,
): Promise<number[]> {
  const opened: number[] = [];
  let now = 0;
  let hasRecord = hadControl;
  let stop: () => void = () => undefined;
  const stopRequested = new Promise<void>((resolve) => {
    stop = resolve;
  });
  await runControlReplica({
    findControl: async () => isControlAt(now),
    hasState: () => false,
    hadControl: () => hasRecord,
    recordControl: () => {
      hasRecord = true;
    },
    run: async (stopReplica) => {
      opened.push(now);
      await stopReplica;
      onClosed?.();
      return { type: "told" };
    },
    leave: async () => leave?.(),
    stopRequested,
    clock: { now: () => now, wallTime: () => now },
    wait: async (ms) => {
      now += ms;
      if (now >= untilMs) stop();
      await Promise.resolve();
    },
    logger: new SilentLogger(),
  });
  return opened;
}

test("a host without a control process opens a replica", async () => {
  const [at = 0, ...others] = await openings(() => false, { untilMs: 10_000 });
  assert.deepEqual(others, []);
  assert.ok(at >= NO_CONTROL_AFTER_MS && at <= NO_CONTROL_AFTER_MS + CHECK_MS);
});

// Failure: a replica takes the vote of a control process that is only restarted, and
// is closed when that is back, so that a voter's state is thrown away.
for (const [name, options] of [
  ["was seen", {}],
  ["was seen by an earlier process", { hadControl: true }],
] as const) {
  test(`no replica is opened while control that ${name} is away`, async () => {
    const isAway = (ms: number) => ms >= 2_000 && ms < 30_000;
    const isControl = "hadControl" in options ? () => false : undefined;
    const isControlAt = isControl ?? ((ms: number) => !isAway(ms));
    const opened = await openings(isControlAt, { untilMs: 50_000, ...options });
    assert.deepEqual(opened, []);
  });
}

test("a replica is opened on a host that control has left", async () => {
  const untilMs = CONTROL_GONE_AFTER_MS + 10_000;
  const opened = await openings((ms) => ms < 2_000, { untilMs });
  assert.equal(opened.length, 1);
  assert.ok((opened[0] ?? 0) >= 2_000 + CONTROL_GONE_AFTER_MS - CHECK_MS);
});

test("a host of which nothing can be told opens no replica", async () => {
  const opened = await openings(() => undefined, { untilMs: 100_000 });
  assert.deepEqual(opened, []);
});

// Failure: a replica is closed for control while its vote is needed, as other hosts are
// lost, and the log has no leader any more.
test("a replica stays until it has left the log", async () => {
  const events: string[] = [];
  await openings((ms) => ms >= 10_000, {
    untilMs: 20_000,
    leave: async () => {
      events.push("leaves");
      await Promise.resolve();
      events.push("left");
    },
    onClosed: () => events.push("closed"),
  });
  assert.deepEqual(events, ["leaves", "left", "closed"]);
});
