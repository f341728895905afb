import assert from "node:assert/strict";
import { test } from "node:test";
import type { RankedCall } from "./call_order.ts";
import { OverloadControl, type Refusal } from "./overload_control.ts";

const CAPACITY = { concurrency: 10, slowdown: 1 };
const DEADLINE_MS = 3_000;

function call(id: string, rank: number, now: number): RankedCall {
  const priority = rank === 0 ? "urgent" : "patient";
  const start = { latestStart: now + DEADLINE_MS, targetStart: now + 400 };
  return { id, priority, rank, workMs: 100, ...start };
}

/** Offers calls of a rank at the same time. */
function offer(
  control: OverloadControl<RankedCall>,
  options: { calls: number; rank: number; now: number },
): Refusal<RankedCall>[] {
  const { calls, rank, now } = options;
  const context = { now, capacity: CAPACITY, mayStart: false };
  return Array.from({ length: calls }, (_, n) =>
    control.offer(call(`${rank}-${now}-${n}`, rank, now), context),
  ).flat();
}

// Guards against calls that are held although they will miss their objective.
test("what cannot start in time is refused on arrival", () => {
  const control = new OverloadControl<RankedCall>(1_000);
  // The room takes 41 calls within 400 ms.
  const refused = offer(control, { calls: 100, rank: 0, now: 0 });
  assert.equal(refused.length, 59);
  assert.ok(refused.every(({ reason }) => reason === "no_room"));
});

// Guards against a refusal after the time in which it costs the caller nothing.
test("a call that higher ranks overtake is refused within an eighth of its objective", () => {
  const control = new OverloadControl<RankedCall>(1_000);
  offer(control, { calls: 30, rank: 1, now: 0 });
  offer(control, { calls: 40, rank: 0, now: 10 });
  const refused = control.review({ now: 500 / 8, capacity: CAPACITY });
  assert.ok(refused.length > 0);
  assert.ok(refused.every((r) => r.call.rank === 1));
  assert.ok(refused.every(({ reason }) => reason === "overtaken"));
});

// Guards against callers that come back all at once, or later than they honour.
test("refused calls return spread out, by rank, within a third of their time", () => {
  const control = new OverloadControl<RankedCall>(1_000);
  const times = [0, 2].map((rank) =>
    offer(control, { calls: 200, rank, now: 0 }).map((r) => r.retryAfterMs),
  );
  const [urgent = [], last = []] = times;
  const mean = (ms: number[]) => ms.reduce((a, b) => a + b, 0) / ms.length;
  assert.ok(Math.max(...urgent, ...last) <= DEADLINE_MS / 3);
  assert.ok(mean(urgent) < mean(last));
  for (const ms of times) {
    const tenths = new Set(ms.map((time) => Math.floor(time / 50)));
    assert.ok(tenths.size >= 8, `${tenths.size}`);
  }
});

// Guards against a review that counts a call's own work as work ahead of it.
test("a call with nobody ahead is not refused in its review", () => {
  const control = new OverloadControl<RankedCall>(1_000);
  const capacity = { concurrency: 1, slowdown: 1 };
  const alone = { ...call("alone", 0, 0), workMs: 500, targetStart: 400 };
  const options = { now: 0, capacity, mayStart: false };
  assert.deepEqual(control.offer(alone, options), []);
  assert.deepEqual(control.review({ now: 200, capacity }), []);
});
