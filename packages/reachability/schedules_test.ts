import assert from "node:assert/strict";
import { test } from "node:test";
import { type Entry, SeededRandomness } from "#model";
import {
  ReachabilitySimulation,
  type SimulatedCall,
  type SimulatedCut,
} from "./simulation.ts";

const FILE = "packages/reachability/schedules_test.ts";
const seed = Number(process.env.REACHABILITY_SEED ?? 0);
const schedules = Number(process.env.REACHABILITY_SCHEDULES ?? 400);

const CUT_FROM_MS = 1_000;
const CUT_TO_MS = 5_000;
const END_MS = 7_000;
/** Time after a change within which entries find out. */
const SETTLE_MS = 1_000;
const SERVED_VERSUS_OTHERS = 0.95;
/** Fewer first tries say nothing about a share. */
const MIN_TRIES = 40;
/** Time for which a connection speaks for the path, as in `ServicePaths`. */
const ACCEPTED_TTL_MS = 250;

const ENTRY_COUNTS = [3, 4, 6, 9, 18, 18, 30];
const MANY_ENTRIES = 316;

/**
 * Time after the first failure at a data centre that an entry does not reach
 * within which calls that are under way fail there: two rounds of connections
 * that time out, and a check.
 */
const FIND_OUT_MS = 500;

/** A check that fails just after the end of a cut was sent before. */
const CHECK_TIMEOUT_MS = 100;

/** Draws of their own, which leave those of the seeds before as they were. */
const DEAD_DATA_CENTRE_SEED = 1_000_003;
const DATA_CENTRES = 4;

/** The kinds of cuts that a schedule may have. */
const SCOPES = ["one", "half", "most", "data centre", "all"] as const;
type Scope = (typeof SCOPES)[number];

interface Schedule {
  readonly scope: Scope;
  readonly isPartial: boolean;
  readonly flaps: boolean;
  /** Whether all servers of a data centre die, before the cut. */
  readonly isDataCentreDead: boolean;
  readonly simulation: ReachabilitySimulation;
}

function play(current: number): Schedule {
  const random = new SeededRandomness(current + 1);
  const pick = <T>(values: readonly T[]): T =>
    values[random.below(values.length)] as T;
  const isLarge = current % 200 === 199;
  const entries = isLarge ? MANY_ENTRIES : pick(ENTRY_COUNTS);
  const servers = 6 + random.below(14);
  const scope = pick(SCOPES);
  const isPartial = random.next() < 0.2;
  const flaps = random.next() < 0.2;
  const hangs = random.next() < 0.5;
  // Of eight servers or more, two are in each data centre.
  const isOneDead = servers >= 8 && random.next() < 0.5;
  const others = new SeededRandomness(current + DEAD_DATA_CENTRE_SEED);
  const isDataCentreDead = servers >= 8 && others.next() < 0.3;
  const ids = Array.from({ length: servers }, (_, index) => `s${index}`);
  const dead = isDataCentreDead
    ? ids.filter((_, index) => index % DATA_CENTRES === 0)
    : ids.slice(0, isOneDead ? 1 : 0);
  const simulation = new ReachabilitySimulation({
    seed: current,
    entries,
    servers,
    callsPerSecond: isLarge ? 600 : Math.max(40, 5 * entries),
    forMs: END_MS,
    deadFrom: new Map(dead.map((id) => [id, 500])),
    cuts: (all) => {
      const cut = {
        entries: chooseEntries(all, scope, random),
        dataCentre: isPartial ? "b" : undefined,
        hangs,
      };
      if (!flaps) return [{ ...cut, from: CUT_FROM_MS, to: CUT_TO_MS }];
      const cuts: SimulatedCut[] = [];
      for (let from = CUT_FROM_MS; from < CUT_TO_MS; ) {
        const to = Math.min(CUT_TO_MS, from + 200 + random.below(800));
        cuts.push({ ...cut, from, to });
        from = to + 100 + random.below(500);
      }
      return cuts;
    },
  });
  simulation.run();
  return { scope, isPartial, flaps, isDataCentreDead, simulation };
}

function chooseEntries(
  entries: readonly Entry[],
  scope: Scope,
  random: SeededRandomness,
): Set<string> {
  const ids = entries.map(({ id }) => id);
  const shuffled = ids
    .map((id) => ({ id, rank: random.next() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ id }) => id);
  switch (scope) {
    case "one":
      return new Set(shuffled.slice(0, 1));
    case "half":
      return new Set(shuffled.slice(0, Math.ceil(ids.length / 2)));
    case "most":
      return new Set(shuffled.slice(0, ids.length - 1));
    case "data centre":
      return new Set(
        entries.filter(({ dataCentre }) => dataCentre === "a").map((e) => e.id),
      );
    case "all":
      return new Set(ids);
  }
}

function servedShare(calls: readonly SimulatedCall[]): number {
  return calls.filter(({ served }) => served).length / calls.length;
}

/** Entries that go on using a data centre that is dead or that they miss. */
function entriesThatFailAgain(schedule: Schedule): Set<string> {
  const { isPartial, flaps, simulation } = schedule;
  const lasting = isPartial && !flaps ? CUT_TO_MS : CUT_FROM_MS;
  const firstFailedAt = new Map<string, number>();
  const found = new Set<string>();
  for (const { entry, server, fault, failedAt } of simulation.judgements) {
    if (fault !== "path" || failedAt >= lasting) continue;
    const path = `${entry} ${Number(server.slice(1)) % DATA_CENTRES}`;
    const first = firstFailedAt.get(path);
    if (first === undefined) firstFailedAt.set(path, failedAt);
    else if (failedAt > first + FIND_OUT_MS) found.add(entry);
  }
  return found;
}

/** What the schedule violates. */
function violations(schedule: Schedule): string[] {
  const { scope, flaps, isDataCentreDead, simulation } = schedule;
  const found: string[] = [];
  for (const entry of entriesThatFailAgain(schedule)) {
    found.push(`${entry} fails again and again`);
  }
  const cutEntries = new Set(simulation.cuts.flatMap((c) => [...c.entries]));
  const during = simulation.calls.filter(
    ({ sentAt }) => sentAt >= CUT_FROM_MS + SETTLE_MS && sentAt < CUT_TO_MS,
  );
  const cut = during.filter(({ entry }) => cutEntries.has(entry));
  const others = during.filter(({ entry }) => !cutEntries.has(entry));
  if (scope !== "all" && cut.length >= MIN_TRIES && others.length > 0) {
    const least = SERVED_VERSUS_OTHERS * servedShare(others);
    if (servedShare(cut) < least) found.push(`served ${servedShare(cut)}`);
  }
  const after = simulation.calls.filter(
    ({ sentAt }) => sentAt >= CUT_TO_MS + SETTLE_MS,
  );
  if (servedShare(after) < SERVED_VERSUS_OTHERS) {
    found.push(`served ${servedShare(after)} after the cut`);
  }
  for (const call of simulation.calls) {
    if (call.entries > 2) found.push("a call was passed on twice");
  }
  for (const judged of simulation.judgements) {
    const { fault, isDead, isCut, failedAt, at } = judged;
    // An accepted connection speaks for the path for a while, and one after the
    // end of the cut seems to show that there was a path.
    const isStale = simulation.cuts.some(
      ({ from, to }) =>
        (failedAt >= from && failedAt < from + ACCEPTED_TTL_MS) ||
        (failedAt < to + CHECK_TIMEOUT_MS && at >= to),
    );
    if (fault === "server" && !isDead && !isStale && !flaps) {
      found.push(`${judged.entry} accused ${judged.server}`);
    }
    // Connections to the other servers are accepted at once.
    const isCalm = failedAt < CUT_FROM_MS - CHECK_TIMEOUT_MS;
    const isAccusable = isDead && !isDataCentreDead;
    if (fault === "path" && isAccusable && !isCut && isCalm) {
      found.push(`${judged.entry} did not accuse ${judged.server}`);
    }
  }
  return found;
}

// Guards against callers that lose by a cut of some entries, or by what is left
// of it afterwards, and against servers that are accused of it.
test("callers are served and no sound server is accused in random cuts", () => {
  const last = process.env.REACHABILITY_SEED ? seed : seed + schedules - 1;
  for (let current = seed; current <= last; current++) {
    const schedule = play(current);
    const { scope, isPartial, flaps, isDataCentreDead } = schedule;
    const repeat = `REACHABILITY_SEED=${current} node --import tsx --test ${FILE}`;
    const shown = JSON.stringify({
      scope,
      isPartial,
      flaps,
      isDataCentreDead,
    });
    assert.deepEqual(
      violations(schedule).slice(0, 5),
      [],
      `${shown} ${repeat}`,
    );
  }
});
