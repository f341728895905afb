import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { type StoppableCall, StopSchedule } from "./stop_schedule.ts";

const SCHEDULES = 10_000;
const CALLS_PER_SCHEDULE = 40;
/** Time that an entry may take to answer a call at its deadline. */
const ANSWER_MARGIN_MS = 100;

/** A call on the virtual clock; times in milliseconds. */
interface SimulatedCall extends StoppableCall {
  /** Time until a slot is free for it. */
  readonly waitMs: number;
  readonly workMs: number;
}

type CallEnd =
  | { readonly type: "answered"; readonly at: number }
  | { readonly type: "refused"; readonly at: number }
  | { readonly type: "cut"; readonly sent: boolean };

/** Runs a call as an entry does that follows the schedule. */
function runCall(call: SimulatedCall, schedule: StopSchedule): CallEnd {
  const { arrival, deadline, waitMs, workMs } = call;
  const startedAt = schedule.acceptUntil * 2 - schedule.end;
  if (arrival >= startedAt && !schedule.accepts(call)) {
    return { type: "refused", at: arrival };
  }
  const sendBy = Math.max(startedAt, schedule.sendBy(call));
  const sentAt = arrival + waitMs;
  if (sentAt > sendBy) return { type: "refused", at: sendBy };
  // At its deadline a call gets an answer of the entry's own.
  const endedAt = Math.min(deadline, sentAt + workMs);
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
      const repeatable = random.next() < 0.5;
      // Other calls may take far longer than was seen so far.
      const longestWorkMs = repeatable ? workMs : 2 * limitMs;
      const call = {
        arrival,
        deadline: arrival + (0.5 + random.next()) * 2 * limitMs,
        repeatable,
        expected,
        waitMs: random.next() * maxWaitMs,
        workMs: random.next() * longestWorkMs,
      };
      check(call, runCall(call, schedule));
    }

    function check(call: SimulatedCall, end: CallEnd): void {
      const limit = startedAt + limitMs;
      const sentAt = call.arrival + call.waitMs;
      // Repeatable work within its expected duration must end, and all other
      // work; it may be older than the stop.
      const sentInStop = sentAt > startedAt;
      if (end.type === "cut" && sentInStop) found.add("work is cut");
      if (end.type === "refused" && end.at > limit) found.add("late refusal");
      if (end.type === "refused" && end.at < startedAt)
        found.add("refused before the stop");
      if (end.type !== "refused" && call.arrival > startedAt + limitMs / 2)
        found.add("taken on in the second half");
      const { arrival, deadline, repeatable } = call;
      const longestMs = repeatable ? workMs : 2 * limitMs;
      const endsInTime = deadline + ANSWER_MARGIN_MS <= limit;
      const fits =
        sentAt <= deadline && (sentAt + longestMs <= limit || endsInTime);
      const totalMs = repeatable ? expected.totalMs : 0;
      const early = arrival + totalMs <= startedAt + limitMs / 2;
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
    name: "what must not be repeated is sent for its usual duration",
    violation: "work is cut",
    create: (options) => {
      const schedule = new StopSchedule(options);
      const { accepts, sendBy } = schedule;
      const repeated = (call: StoppableCall) => ({ ...call, repeatable: true });
      schedule.accepts = (call) => accepts.call(schedule, repeated(call));
      schedule.sendBy = (call) => sendBy.call(schedule, repeated(call));
      return schedule;
    },
  },
  {
    name: "only calls that end at their deadlines are accepted",
    violation: "refused in vain",
    create: (options) => {
      const schedule = new StopSchedule(options);
      const { accepts } = schedule;
      schedule.accepts = (call) =>
        accepts.call(schedule, { ...call, repeatable: false });
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

// Guards against a burst of connections that is reset, since a process that gets little
// processor time can't accept all of them at once.
test("a full listen queue gets most of the time after the acceptance", () => {
  const { acceptUntil, queueUntil, end } = new StopSchedule({
    startedAt: 1_000,
    limitMs: 5_600,
  });
  assert.ok(queueUntil - acceptUntil > end - queueUntil);
  assert.ok(queueUntil < end);
});
