import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "#model";
import {
  type AttemptEnd,
  AttemptTracker,
  evaluateAttempt,
} from "./attempt_tracker.ts";
import { CallChain, type RequestHeaders, toCallFault } from "./call_chain.ts";
import { RetryBudget } from "./retry_budget.ts";

const OPTIONS = { now: 100, classDeadlineMs: 5_000 };

function parse(headers: RequestHeaders) {
  return CallChain.parse(headers, OPTIONS);
}

const REFUSED: [headers: RequestHeaders, code: string][] = [
  [{ "mangobank-deadline-ms": "soon" }, "invalid_request"],
  [{ "mangobank-deadline-ms": "-1" }, "invalid_request"],
  [{ "mangobank-deadline-ms": "1.5" }, "invalid_request"],
  [{ "mangobank-deadline-ms": "" }, "invalid_request"],
  [{ "mangobank-deadline-ms": "1e3" }, "invalid_request"],
  [{ "mangobank-deadline-ms": "99999999999999999999" }, "invalid_request"],
  [{ "mangobank-depth": ["1", "2"] }, "invalid_request"],
  [{ "mangobank-retries": "many" }, "invalid_request"],
  [{ "mangobank-deadline-ms": "0" }, "deadline_expired"],
  [{ "mangobank-depth": "32" }, "depth_exceeded"],
];

for (const [headers, code] of REFUSED) {
  test(`${JSON.stringify(headers)} is refused`, () => {
    const fault = toCallFault(parse(headers)._unsafeUnwrapErr());
    assert.deepEqual([fault.code, fault.outcome], [code, "not-run"]);
  });
}

test("a chain ends after 32 calls, and its remaining time only decreases", () => {
  let now = 0;
  let headers: RequestHeaders = { "mangobank-deadline-ms": "9000" };
  let calls = 0;
  for (; calls < 100; calls++) {
    const chain = CallChain.parse(headers, { now, classDeadlineMs: 5_000 });
    if (chain.isErr()) break;
    assert.equal(chain.value.remainingMs(now), 5_000 - calls * 10);
    // Each process has a clock with its own origin.
    headers = chain.value.headers(now + 9.5);
    now = calls * 7_777;
  }
  assert.equal(calls, 32);
});

test("a retry allowance from a caller is bounded", () => {
  const chain = parse({ "mangobank-retries": "1000000" })._unsafeUnwrap();
  assert.equal(chain.retries, 10);
});

const PROVED = ["not-run true", "not-run true"];
const REPEATABLE = ["unknown true", "unknown false"];
const FINAL = ["unknown false", "unknown false"];
/**
 * Expected outcome and repeatability, for a repeatable call and for another.
 */
const ENDS: [end: AttemptEnd, expected: string[]][] = [
  [{ type: "answered" }, ["answered false", "answered false"]],
  [{ type: "never_connected" }, PROVED],
  [{ type: "connection_refused" }, PROVED],
  [{ type: "not_started" }, PROVED],
  [{ type: "reset", written: false }, PROVED],
  [{ type: "reset", written: true }, REPEATABLE],
  [{ type: "reset_in_body", forwarded: true }, FINAL],
  [{ type: "reset_in_body", forwarded: false }, REPEATABLE],
  [{ type: "timeout", written: false }, PROVED],
  [{ type: "timeout", written: true }, REPEATABLE],
  [{ type: "cancelled", written: false }, ["not-run false", "not-run false"]],
  [{ type: "cancelled", written: true }, FINAL],
];

for (const [end, expected] of ENDS) {
  test(`${JSON.stringify(end)} has the expected outcome and repeatability`, () => {
    const actual = [true, false].map((repeatable) => {
      const evaluation = evaluateAttempt(end, { repeatable });
      return `${evaluation.outcome} ${evaluation.repeatable}`;
    });
    assert.deepEqual(actual, expected);
  });
}

function attempts(repeatable: boolean) {
  const clock = new ManualClock();
  const budget = new RetryBudget({ percent: 10, clock });
  const chain = parse({ "mangobank-retries": "1" })._unsafeUnwrap();
  const outcome = new AttemptTracker({ repeatable, chain });
  const next = (end: AttemptEnd, now = 200) =>
    outcome.recordEnd(end, { now, budget });
  return { budget, next, outcome };
}

test("an unknown outcome stays unknown after an attempt that did not start", () => {
  const { next, outcome } = attempts(true);
  assert.equal(next({ type: "reset", written: true }), true);
  next({ type: "connection_refused" });
  assert.equal(outcome.outcome, "unknown");
});

test("a booking is not repeated after its first byte was written", () => {
  const { next, outcome } = attempts(false);
  assert.equal(next({ type: "not_started" }), true);
  assert.equal(outcome.outcome, "not-run");
  assert.equal(next({ type: "reset", written: true }), false);
  assert.equal(outcome.outcome, "unknown");
});

test("retries end with the allowance, the budget and the deadline", () => {
  const reset = { type: "reset", written: true } as const;
  const allowance = attempts(true);
  assert.deepEqual(
    [1, 2].map(() => allowance.next(reset)),
    [true, false],
  );
  const budget = attempts(true);
  while (budget.budget.tryTake());
  assert.equal(budget.next(reset), false);
  assert.equal(attempts(true).next(reset, 5_100), false);
});

test("attempts on servers that start nothing are bounded", () => {
  const { budget, next } = attempts(false);
  const tries = Array.from({ length: 9 }, () => next({ type: "not_started" }));
  assert.equal(tries.filter(Boolean).length, 4);
  assert.equal(budget.available, 5);
});
