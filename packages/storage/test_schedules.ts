import assert from "node:assert/strict";
import { describeTimes } from "./test_operator.ts";
import type { SimulatedHost, Simulation } from "./test_simulation.ts";

// MANGOBANK_SCHEDULES sets the number of schedules that a test of a simulation runs,
// MANGOBANK_FIRST_SEED the first seed; MANGOBANK_SEED runs a single one.
const { MANGOBANK_SCHEDULES, MANGOBANK_FIRST_SEED, MANGOBANK_SEED } =
  process.env;

/** Schedules whose errors are printed. */
const PRINTED_ERRORS = 2;

export interface ScheduleResult {
  /** Number of commands that were acknowledged. */
  readonly acknowledged: number;
  /** How long a change took in the end; undefined if none could be made. */
  readonly tookMs: number | undefined;
}

/** Runs a schedule of each seed, and checks that none fails. */
export function checkSchedules(options: {
  /** The test file, for the command that repeats a failure. */
  readonly name: string;
  readonly schedules: number;
  readonly firstSeed?: number;
  /** Distance of the seeds, unless their number is set. */
  readonly seedStep?: number;
  readonly run: (seed: number) => ScheduleResult;
  /** Describes the schedule of a seed that failed. */
  readonly describe?: (seed: number) => string;
}): void {
  const { name, run, describe = String } = options;
  const seeds = seedsOf(options);
  const failed: number[] = [];
  const took: number[] = [];
  let acknowledged = 0;
  for (const seed of seeds) {
    try {
      const result = run(seed);
      acknowledged += result.acknowledged;
      if (result.tookMs !== undefined) took.push(result.tookMs);
    } catch (cause) {
      failed.push(seed);
      if (failed.length <= PRINTED_ERRORS) console.error(describe(seed), cause);
    }
  }
  console.log(`${seeds.length} schedules, changes took ${describeTimes(took)}`);
  const repeat = `MANGOBANK_SEED=N node scripts/test.mjs ${name}`;
  assert.deepEqual(failed, [], `repeat with: ${repeat}`);
  // With almost nothing acknowledged, the schedules would prove nothing.
  assert.ok(acknowledged > 10 * seeds.length, `${acknowledged} acknowledged`);
}

function seedsOf(options: {
  schedules: number;
  firstSeed?: number;
  seedStep?: number;
}): number[] {
  if (MANGOBANK_SEED !== undefined) return [Number(MANGOBANK_SEED)];
  const { schedules, firstSeed = 1, seedStep = 1 } = options;
  const first = Number(MANGOBANK_FIRST_SEED ?? firstSeed);
  const count = Number(MANGOBANK_SCHEDULES ?? schedules);
  const step = MANGOBANK_SCHEDULES === undefined ? seedStep : 1;
  return Array.from({ length: count }, (_, at) => first + at * step);
}

/** Checks that all hosts become voters, with what was acknowledged. */
export function assertAllAdmitted(
  s: Simulation,
  hosts: () => readonly SimulatedHost[],
  options: { withinMs: number; stopCommands?: () => void },
): void {
  const { withinMs, stopCommands } = options;
  const areVoters = () => {
    const leader = s.leader()?.core?.status(s.now);
    return hosts().every(
      (host) =>
        host.core && leader?.membership.voters.includes(s.memberKeyOf(host)),
    );
  };
  assert.ok(
    s.runUntil(areVoters, withinMs),
    `not all hosts are voters: ${s.describeHosts()}`,
  );
  stopCommands?.();
  // What is acknowledged now reaches the other hosts a little later.
  s.runUntil(() => hosts().every((host) => s.history.hasAcknowledged(host)));
  for (const host of hosts()) s.history.checkHasAcknowledged(host);
}
