import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { type ExpectedDurations, StopSchedule } from "./stop_schedule.ts";

const SCHEDULES = 10_000;
const CALLS_PER_SCHEDULE = 40;

/** A call on the virtual clock; times in milliseconds. */
interface SimulatedCall {
  readonly arrival: number;
  /** Time until a slot is free for it. */
  readonly waitMs: number;
  readonly workMs: number;
}

type CallEnd =
  | { readonly type: "answered"; readonly at: number }
  | { readonly type: "refused"; readonly at: number }
  | { readonly type: "cut"; readonly sent: boolean };

/** Runs a call as an entry does that follows the schedule. */
function runCall(
  call: SimulatedCall,
  schedule: StopSchedule,
  expected: ExpectedDurations,
): CallEnd {
  const { arrival, waitMs, workMs } = call;
  const startedAt = schedule.acceptUntil * 2 - schedule.end;
  if (arrival >= startedAt && !schedule.accepts(arrival, expected)) {
    return { type: "refused", at: arrival };
  }
  const sendBy = Math.max(startedAt, schedule.sendBy(expected));
  const sentAt = arrival + waitMs;
  if (sentAt > sendBy) return { type: "refused", at: sendBy };
  const endedAt = sentAt + workMs;
  return endedAt <= schedule.end
    ? { type: "answered", at: endedAt }
    : { type: "cut", sent: true };
}

/** Runs calls around stops; reports what breaks the guarantees of a stop. */
function violations(
  create: (options: { startedAt: number; limitMs: number }) => StopSchedule,
): Set<string> {
  const found = new Set<string>();
  for (let seed = 1; seed <= SCHEDULES; seed++) {
    const random = new SeededRandomness(seed);
    const limitMs = 500 + random.below(10_000);
    const startedAt = random.below(10_000);
    const schedule = create({ startedAt, limitMs });
    const workMs = 1 + random.below(limitMs);
    const maxWaitMs = random.below(2 * limitMs);
    const expected = { workMs, totalMs: workMs + maxWaitMs / 2 };
    for (let index = 0; index < CALLS_PER_SCHEDULE; index++) {
      const arrival = startedAt - limitMs + random.next() * 2 * limitMs;
      const call = {
        arrival,
        waitMs: random.next() * maxWaitMs,
        workMs: random.next() * workMs,
      };
      check(call, runCall(call, schedule, expected));
    }

    function check(call: SimulatedCall, end: CallEnd): void {
      const limit = startedAt + limitMs;
      const sentAt = call.arrival + call.waitMs;
      // Work within its expected duration must end; it may be older than the stop.
      const sentInStop = sentAt > startedAt;
      if (end.type === "cut" && sentInStop) found.add("work is cut");
      if (end.type === "refused" && end.at > limit) found.add("late refusal");
      if (end.type === "refused" && end.at < startedAt)
        found.add("refused before the stop");
      if (end.type !== "refused" && call.arrival > startedAt + limitMs / 2)
        found.add("taken on in the second half");
      const fits = sentAt + workMs <= limit;
      const early = call.arrival + expected.totalMs <= startedAt + limitMs / 2;
      if (end.type === "refused" && fits && early) found.add("refused in vain");
    }
  }
  return found;
}

test("no call that a stop takes on is cut", () => {
  assert.deepEqual(
    violations((options) => new StopSchedule(options)),
    new Set(),
  );
});

/** A schedule with a mistake, and the violation that shows it. */
const MUTATIONS: readonly {
  name: string;
  violation: string;
  create: (options: { startedAt: number; limitMs: number }) => StopSchedule;
}[] = [
  {
    name: "calls are sent until the end",
    violation: "work is cut",
    create: (options) => {
      const schedule = new StopSchedule(options);
      schedule.sendBy = () => schedule.end;
      return schedule;
    },
  },
  {
    name: "calls are accepted until the end",
    violation: "taken on in the second half",
    create: (options) => {
      const schedule = new StopSchedule(options);
      schedule.accepts = () => true;
      return schedule;
    },
  },
  {
    name: "no call is accepted",
    violation: "refused in vain",
    create: (options) => {
      const schedule = new StopSchedule(options);
      schedule.accepts = () => false;
      return schedule;
    },
  },
  {
    name: "waiting calls are refused after the end",
    violation: "late refusal",
    create: (options) => {
      const schedule = new StopSchedule(options);
      schedule.sendBy = () => schedule.end + 1;
      return schedule;
    },
  },
];

for (const { name, violation, create } of MUTATIONS) {
  test(`the check finds it if ${name}`, () => {
    assert.ok(violations(create).has(violation));
  });
}
