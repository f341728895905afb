import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation } from "./simulation.ts";

const FILE = "packages/claims/schedules_test.ts";
const seed = Number(process.env.CLAIMS_SEED ?? 0);
const schedules = Number(process.env.CLAIMS_SCHEDULES ?? 3_000);

function runSchedules(name: string, check: (seed: number) => void): void {
  const last = process.env.CLAIMS_SEED ? seed : seed + schedules - 1;
  for (let current = seed; current <= last; current++) {
    try {
      check(current);
    } catch (cause) {
      const repeat = `CLAIMS_SEED=${current} node --import tsx --test --test-name-pattern="${name}" ${FILE}`;
      throw new Error(`repeat with: ${repeat}`, { cause });
    }
  }
}

const NO_DOUBLE_RUN = "no key runs twice whatever fails";
test(NO_DOUBLE_RUN, () => {
  let granted = 0;
  let replayed = 0;
  let released = 0;
  runSchedules(NO_DOUBLE_RUN, (current) => {
    const result = new Simulation(current, { faults: true }).run();
    assert.deepEqual(result.violations, []);
    granted += result.granted;
    replayed += result.replayed;
    released += result.released;
  });
  if (process.env.CLAIMS_SEED) return;
  // Ensures that the simulation covers the cases of interest.
  assert.ok(granted > schedules, `${granted} granted`);
  assert.ok(replayed > schedules / 10, `${replayed} replayed`);
  assert.ok(released > schedules / 10, `${released} released`);
});

const RUNS_ONCE = "each key runs once without faults";
test(RUNS_ONCE, () => {
  runSchedules(RUNS_ONCE, (current) => {
    const result = new Simulation(current, { faults: false }).run();
    assert.deepEqual(result.violations, []);
    for (const [key, runs] of result.runs) assert.equal(runs, 1, key);
  });
});
