import assert from "node:assert/strict";
import { mock, type TestContext, test } from "node:test";
import type { Clock } from "#model";
import { SilentLogger } from "#telemetry";
import { ActivityTimer } from "./activity_timer.ts";

/** Counts the runs of the task in a second after a call arrived. */
function runsInSecond(t: TestContext, busyIntervalMs: number): number {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  let now = 0;
  let runs = 0;
  const clock: Clock = { now: () => now, wallTime: () => now };
  const timer = new ActivityTimer({
    clock,
    logger: new SilentLogger(),
    task: () => {
      runs += 1;
    },
    busyIntervalMs: () => busyIntervalMs,
  });
  timer.start();
  timer.markActive();
  for (let ms = 0; ms < 1_000; ms++) {
    now += 1;
    mock.timers.tick(1);
  }
  timer.stop();
  mock.timers.reset();
  return runs;
}

// Guards against an entry with few, long calls that spends its time on timers:
// at 2 calls/s, runs every 5 ms made up most of its wake-ups.
test("a call of a long-running service wakes the entry some 20 times", (t) => {
  assert.ok(runsInSecond(t, 20) <= 20);
});

test("a call of a short service is checked every 5 ms while it is new", (t) => {
  assert.ok(runsInSecond(t, 5) >= 40);
});
