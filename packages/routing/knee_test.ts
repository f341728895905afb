import assert from "node:assert/strict";
import { test } from "node:test";
import { Knee } from "./knee.ts";

/** Feeds calls at every level, with the durations of a server. */
function learn(
  knee: Knee,
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
      knee.observe(call, now);
    }
  }
}

const aboveFourFifths = (slots: number, ms: number) => (running: number) =>
  running > 0.8 * slots ? 1.7 * ms : ms;

test("all slots are used until something else is seen", () => {
  assert.equal(new Knee().limit(6, 0), 6);
});

// In a burst every slot was taken, and servers finished less than before.
test("servers that slow down when nearly full keep slots free", () => {
  const knee = new Knee();
  learn(knee, { slots: 6, msAt: aboveFourFifths(6, 220) });
  assert.equal(knee.limit(6, 0), 4);
});

test("a slot is used if it still adds throughput", () => {
  const knee = new Knee();
  learn(knee, { slots: 2, msAt: aboveFourFifths(2, 120) });
  assert.equal(knee.limit(2, 0), 2);
});

test("a former limit is tried again after a while", () => {
  const knee = new Knee();
  learn(knee, { slots: 6, msAt: aboveFourFifths(6, 220) });
  assert.equal(knee.limit(6, 60_000), 6);
});

test("classes of different length are compared with themselves", () => {
  const knee = new Knee();
  for (let round = 0; round < 40; round++) {
    knee.observe({ class: "a", running: 1, slots: 6, serviceMs: 100 }, 0);
    knee.observe({ class: "b", running: 6, slots: 6, serviceMs: 900 }, 0);
    knee.observe({ class: "b", running: 1, slots: 6, serviceMs: 900 }, 0);
  }
  assert.equal(knee.limit(6, 0), 6);
  assert.equal(Math.round(knee.usualMs("b") ?? 0), 900);
});
