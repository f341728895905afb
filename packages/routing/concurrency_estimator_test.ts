import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { ConcurrencyEstimator } from "./concurrency_estimator.ts";
import { explorationLimit } from "./limit_exploration.ts";

/** Records calls at every utilization level, with the given service times. */
function recordCalls(
  estimator: ConcurrencyEstimator,
  options: { slots: number; msAt: (running: number) => number; now?: number },
): void {
  const { slots, msAt, now = 0 } = options;
  for (let round = 0; round < 40; round++) {
    for (let running = 1; running <= slots; running++) {
      const call = {
        class: "lookup",
        running,
        slots,
        serviceMs: msAt(running),
      };
      estimator.observe(call, now);
    }
  }
}

const slowAboveFourFifths = (slots: number, ms: number) => (running: number) =>
  running > 0.8 * slots ? 1.7 * ms : ms;

test("all slots are used until a slowdown is measured", () => {
  assert.equal(new ConcurrencyEstimator().bestLimit(6, 0), 6);
});

// Guards against taking every slot in a burst, which reduced the throughput.
test("servers that slow down when nearly full keep slots free", () => {
  const estimator = new ConcurrencyEstimator();
  recordCalls(estimator, { slots: 6, msAt: slowAboveFourFifths(6, 220) });
  assert.equal(estimator.bestLimit(6, 0), 4);
});

test("a slot is used if it still adds throughput", () => {
  const estimator = new ConcurrencyEstimator();
  recordCalls(estimator, { slots: 2, msAt: slowAboveFourFifths(2, 120) });
  assert.equal(estimator.bestLimit(2, 0), 2);
});

test("old samples lose their weight, so that all slots are used again", () => {
  const estimator = new ConcurrencyEstimator();
  recordCalls(estimator, { slots: 6, msAt: slowAboveFourFifths(6, 220) });
  assert.equal(estimator.bestLimit(6, 60_000), 6);
});

test("classes with different service times are not compared with each other", () => {
  const estimator = new ConcurrencyEstimator();
  for (let round = 0; round < 40; round++) {
    estimator.observe({ class: "a", running: 1, slots: 6, serviceMs: 100 }, 0);
    estimator.observe({ class: "b", running: 6, slots: 6, serviceMs: 900 }, 0);
    estimator.observe({ class: "b", running: 1, slots: 6, serviceMs: 900 }, 0);
  }
  assert.equal(estimator.bestLimit(6, 0), 6);
  assert.equal(Math.round(estimator.typicalMs("b") ?? 0), 900);
});

// After a restart of all hosts during an overload, no call starts on a server
// with free slots. Guards against learning nothing from such calls and then
// using all slots of every server.
test("a dispatcher that starts in an overload finds the limit", () => {
  const random = new SeededRandomness(7);
  const estimator = new ConcurrencyEstimator();
  const slots = 6;
  const msAt = slowAboveFourFifths(slots, 220);
  let limit = slots;
  for (let now = 0; now < 10_000; now += 16) {
    const id = `s${Math.floor(random.next() * 8)}`;
    const running = explorationLimit({ id, slots }, now) ?? limit;
    const serviceMs = msAt(running) * (0.6 + 0.8 * random.next());
    estimator.observe({ class: "lookup", running, slots, serviceMs }, now);
    limit = estimator.bestLimit(slots, now);
  }
  assert.equal(limit, 4);
});

// Guards against samples of very slow servers hiding the effect of utilization:
// with a third of the servers twelve times slower for nine seconds, the limit
// was wrong for the next half minute.
test("a period with very slow servers does not hide the limit", () => {
  const random = new SeededRandomness(11);
  const estimator = new ConcurrencyEstimator();
  const slots = 6;
  const msAt = slowAboveFourFifths(slots, 220);
  let limit = slots;
  for (let now = 0; now < 30_000; now += 16) {
    const id = `s${Math.floor(random.next() * 8)}`;
    const running = explorationLimit({ id, slots }, now) ?? limit;
    const slow = now < 9_000 && random.next() < 0.3 ? 12 : 1;
    estimator.observe(
      { class: "lookup", running, slots, serviceMs: slow * msAt(running) },
      now,
    );
    limit = estimator.bestLimit(slots, now);
  }
  assert.equal(limit, 4);
});

test("one server in six explores a limit of at least half its slots", () => {
  const limits = new Map<number, number>();
  let trials = 0;
  for (let turn = 0; turn < 600; turn++) {
    const limit = explorationLimit(
      { id: `s${turn % 7}`, slots: 6 },
      turn * 2_000,
    );
    if (limit === undefined) continue;
    trials += 1;
    limits.set(limit, (limits.get(limit) ?? 0) + 1);
  }
  assert.deepEqual([...limits.keys()].sort(), [3, 4, 5, 6]);
  assert.ok(trials > 70 && trials < 130, `${trials}`);
});

test("a server with one slot never explores a limit", () => {
  for (let now = 0; now < 100_000; now += 500) {
    assert.equal(explorationLimit({ id: "s1", slots: 1 }, now), undefined);
  }
});

// Guards against weights that decay to zero: after some hours without calls the
// averages were NaN, and the limit stayed at 1.
test("after a day without calls the limit and typical times are defined", () => {
  const estimator = new ConcurrencyEstimator();
  recordCalls(estimator, { slots: 6, msAt: slowAboveFourFifths(6, 220) });
  assert.equal(estimator.bestLimit(6, 0), 4);
  assert.equal(estimator.bestLimit(6, 86_400_000), 6);
  // The slowdown by utilization is forgotten, so the typical time lies between
  // the times that were seen.
  const usualMs = estimator.typicalMs("lookup") ?? 0;
  assert.ok(usualMs >= 219 && usualMs <= 1.7 * 221, `${usualMs}`);
});

/** The number of calls with the highest throughput, by trying each one. */
function exhaustiveLimit(
  slots: number,
  msAt: (running: number) => number,
): number {
  let best = 1;
  for (let running = 2; running <= slots; running++) {
    if (running / msAt(running) > best / msAt(best)) best = running;
  }
  return best;
}

test("the best limit is that of an exhaustive search", () => {
  for (let slots = 1; slots <= 400; slots++) {
    const estimator = new ConcurrencyEstimator();
    assert.equal(estimator.bestLimit(slots, 0), slots, `${slots} slots`);
  }
  for (const slots of [2, 3, 6, 7, 20, 33, 50, 100]) {
    const estimator = new ConcurrencyEstimator();
    const msAt = slowAboveFourFifths(slots, 220);
    recordCalls(estimator, { slots, msAt });
    const expected = exhaustiveLimit(slots, msAt);
    assert.equal(estimator.bestLimit(slots, 0), expected, `${slots} slots`);
  }
});

// Guards against an entry that answers nothing while a server announces a
// capacity of a billion: each choice tried every number of calls.
test("the limit of a server with any number of slots is found", () => {
  const slots = Number.MAX_SAFE_INTEGER;
  assert.equal(new ConcurrencyEstimator().bestLimit(slots, 0), slots);
});
