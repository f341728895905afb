import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation, type SimulationOptions } from "./simulation.ts";

const FILE = "packages/quotas/schedules_test.ts";
const seed = Number(process.env.QUOTAS_SEED ?? 0);
const schedules = Number(process.env.QUOTAS_SCHEDULES ?? 200);

/** Usual requests per second of a tenant, relative to its limit. */
const USUAL = 1 / 1.6;
const HOT = 8 * USUAL;

// Guards against two owners, or an owner and entries without one, that admit more
// together than the rule allows, whatever fails and when.
const KEEPS_RULE = "no schedule of faults breaks the rule of a tenant";
test(KEEPS_RULE, () => {
  const last = process.env.QUOTAS_SEED ? seed : schedules - 1;
  let admitted = 0;
  let unavailable = 0;
  for (let current = seed; current <= last; current++) {
    const simulation = new Simulation(current, { faults: true });
    const repeat = `QUOTAS_SEED=${current} node --import tsx --test --test-name-pattern="${KEEPS_RULE}" ${FILE}`;
    assert.deepEqual(simulation.run(), [], `repeat with: ${repeat}`);
    for (const ledger of simulation.ledgers.values()) {
      admitted += ledger.admitted.length;
      unavailable += ledger.unavailable;
    }
  }
  if (process.env.QUOTAS_SEED) return;
  // Ensures that the simulation covers the cases of interest.
  assert.ok(admitted > 1_000 * schedules, `${admitted} admitted`);
  assert.ok(unavailable > 10 * schedules, `${unavailable} without an owner`);
});

/** Least fraction of the requests within a quota that are admitted. */
const LEAST_SERVED = 0.99;
const START_MS = 4_000;

// Guards against a tenant whose tokens are lost on their way, or lie at other entries.
const CASES: readonly (readonly [string, SimulationOptions])[] = [
  [
    "tenants with 0.3 requests a second over 100 entries",
    {
      faults: false,
      entries: 100,
      durationMs: 104_000,
      tenants: Array.from({ length: 8 }, () => {
        return { ratePerS: 0.48, burst: 0.48, load: USUAL };
      }),
    },
  ],
  [
    "a usual tenant over 100 entries",
    {
      faults: false,
      entries: 100,
      durationMs: 24_000,
      tenants: [{ ratePerS: 100, burst: 100, load: USUAL }],
    },
  ],
  [
    "a hot tenant over 100 entries",
    {
      faults: false,
      entries: 100,
      durationMs: 14_000,
      tenants: [{ ratePerS: 100, burst: 100, load: HOT }],
    },
  ],
  [
    "a tenant that sends 20 times its usual rate through 3 of 100 entries",
    {
      faults: false,
      entries: 100,
      durationMs: 24_000,
      tenants: [
        { ratePerS: 16, burst: 16, load: 20 * USUAL, atEntries: 3 },
        { ratePerS: 16, burst: 16, load: USUAL, atEntries: 3 },
      ],
    },
  ],
];

for (const [name, options] of CASES) {
  test(`without faults what is within the quota is admitted: ${name}`, () => {
    const simulation = new Simulation(1, options);
    assert.deepEqual(simulation.run(), []);
    const seconds = ((options.durationMs ?? 0) - START_MS) / 1_000;
    let admitted = 0;
    let within = 0;
    [...simulation.ledgers.values()].forEach((ledger, i) => {
      const { ratePerS = 0, burst = 0 } = options.tenants?.[i] ?? {};
      within += Math.min(ledger.offered, ratePerS * seconds + burst);
      admitted += ledger.admitted.length + ledger.givenBack;
      assert.equal(ledger.unavailable, 0);
    });
    const served = admitted / within;
    assert.ok(served >= LEAST_SERVED, `${served} of ${within} admitted`);
  });
}
