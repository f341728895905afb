import assert from "node:assert/strict";
import { test } from "node:test";
import { timeOfChange } from "./test_operator.ts";
import { checkSchedules } from "./test_schedules.ts";
import {
  type DiskRoom,
  NO_FAULTS,
  type SimulatedHost,
  Simulation,
} from "./test_simulation.ts";

const SCHEDULES = 150;
const FAULT_PHASE_MS = 10_000;
/** From a stable majority of control hosts to an acknowledged change. */
const ACKNOWLEDGED_WITHIN_MS = 4_000;
/** A host closed by a full disk is open again by then. */
const REOPENED_WITHIN_MS = 550;

/** Which disk fills next. */
type Order = "in_turn" | "leader" | "random";

interface Plan {
  readonly order: Order;
  readonly rooms: readonly DiskRoom[];
  /** Longest time for which a disk is full, in milliseconds. */
  readonly longestMs: number;
  /** Time between two full disks; negative if they may overlap. */
  readonly gapMs: number;
}

type Action = (s: Simulation, host: SimulatedHost, forMs: number) => void;

/** Faults beside the full disks; all are over at the end of the fault phase. */
const OTHER_FAULTS: readonly Action[] = [
  (s, host) => s.partition([host.id]),
  (s, host) => s.partition([host.id], true),
  (s) => s.partition(s.founders.filter(() => s.random.next() < 0.5)),
  (s) => s.blocked.clear(),
  (s) => s.blocked.clear(),
  (s, host, ms) => s.freeze(host, ms),
  (s, host, ms) => restart(s, host, ms),
  (s, host) => restart(s, host, 0),
  (s, host, ms) => restart(s, s.leader() ?? host, ms),
  (s, host, ms) => {
    host.stalledUntil = s.now + ms;
  },
  loseDisk,
  replaceMember,
  replaceMember,
];

function restart(s: Simulation, host: SimulatedHost, afterMs: number): void {
  s.crash(host);
  s.at(afterMs, () => s.start(host));
}

/** Keeps a majority of the voters' folders, as the users' platform does. */
function loseDisk(s: Simulation, host: SimulatedHost, afterMs: number): void {
  const membership = s.leader()?.core?.status(s.now).membership;
  if (!membership) return;
  const { voters } = membership;
  const kept = voters.filter(
    (member) => !s.isDataLost(member) && member !== s.memberKeyOf(host),
  );
  if (kept.length <= voters.length / 2) return;
  s.loseDisk(host);
  s.at(afterMs, () => s.start(host));
}

/** Makes the next change that replaces a lost folder by the announced one. */
function replaceMember(s: Simulation): void {
  const leader = s.leader();
  const status = leader?.core?.status(s.now);
  if (!leader || !status) return;
  const { voters, learners } = status.membership;
  const lost = [...voters, ...learners].find((m) => s.isDataLost(m));
  const [announced] = status.announced;
  const [learner] = learners;
  if (learner && !lost) s.change(leader, { type: "promote", member: learner });
  else if (lost) s.change(leader, { type: "remove", member: lost });
  else if (announced) {
    const host = announced.slice(0, announced.indexOf("/"));
    s.change(leader, { type: "add", host });
  }
}

function pick<T>(s: Simulation, values: readonly T[]): T {
  return values[s.random.below(values.length)] as T;
}

function randomPlan(s: Simulation): Plan {
  return {
    order: pick(s, ["in_turn", "leader", "random"] as const),
    rooms: pick(s, [
      ["small"],
      ["none"],
      ["closed"],
      ["small", "none", "closed"],
    ] as const),
    longestMs: pick(s, [300, 1_500, 4_000]),
    gapMs: pick(s, [0, 0, 200, 1_000, -1_500]),
  };
}

/** Fills one disk after the other until the end of the fault phase. */
function fillDisks(s: Simulation, plan: Plan): void {
  let count = 0;
  const fillNext = () => {
    if (s.now >= FAULT_PHASE_MS) return;
    const inTurn = s.hosts[count++ % s.hosts.length] as SimulatedHost;
    const next = {
      in_turn: inTurn,
      leader: s.leader() ?? inTurn,
      random: pick(s, s.hosts),
    };
    const left = FAULT_PHASE_MS - s.now;
    const forMs = Math.min(left, 100 + s.random.below(plan.longestMs));
    s.fillDisk(next[plan.order], pick(s, plan.rooms), forMs);
    s.at(Math.max(50, forMs + plan.gapMs), fillNext);
  };
  s.at(500, fillNext);
}

function injectOtherFaults(s: Simulation): void {
  const faults = OTHER_FAULTS.filter(() => s.random.next() < 0.6);
  if (faults.length === 0) return;
  const gapMs = 200 + s.random.below(2_000);
  const inject = () => {
    const left = FAULT_PHASE_MS - s.now;
    if (left <= 0) return;
    const forMs = Math.min(left, s.random.below(2_500));
    pick(s, faults)(s, pick(s, s.hosts), forMs);
    s.at(s.random.below(2 * gapMs), inject);
  };
  s.at(500, inject);
}

/** Runs a random schedule, and checks that changes are acknowledged after it. */
function runSchedule(seed: number) {
  const s = new Simulation({ seed, size: 3 + (seed % 5), isFormed: true });
  s.faultRates = {
    loss: s.random.next() * 0.05,
    duplication: s.random.next() * 0.05,
    delay: 2 + s.random.below(30),
    syncDelay: 1 + s.random.below(10),
  };
  const sendRequests = () => {
    s.submitCommand(pick(s, s.hosts));
    if (s.random.next() < 0.5) s.read(pick(s, s.hosts));
    if (s.now < FAULT_PHASE_MS) s.at(1 + s.random.below(150), sendRequests);
  };
  s.at(500, sendRequests);
  fillDisks(s, randomPlan(s));
  if (s.random.next() < 0.7) injectOtherFaults(s);
  s.run(FAULT_PHASE_MS);
  s.blocked.clear();
  s.faultRates = NO_FAULTS;
  for (const host of s.hosts) {
    host.room = "all";
    host.stalledUntil = 0;
  }
  const tookMs = checkRecovery(s);
  return { acknowledged: s.history.acknowledged.size, tookMs };
}

/**
 * Checks that a change is acknowledged in time, and that each voter then has
 * all that were acknowledged. Returns how long that took, if a majority is left.
 */
function checkRecovery(s: Simulation): number | undefined {
  const since = s.now;
  const within = timeOfChange(s, 30_000);
  if (!s.hasMajority()) return undefined;
  assert.ok(
    within <= ACKNOWLEDGED_WITHIN_MS + REOPENED_WITHIN_MS,
    `no change is acknowledged for ${within} ms from ${since} on: ${s.describeHosts()}`,
  );
  s.run(2_500);
  const leader = s.leader();
  const voters = leader?.core?.status(s.now).membership.voters;
  for (const host of s.hosts) {
    const self = host.core?.status(s.now).self ?? "";
    if (voters?.includes(self)) s.history.checkHasAcknowledged(host);
  }
  return within;
}

// Failure: once the disks that were full have room again, changes are refused
// or stay unanswered; or an acknowledged change is lost, or a vote given twice,
// because the write of it had failed.
test("no schedule of full disks stops changes for good", () => {
  const name = "full_disks";
  checkSchedules({ name, schedules: SCHEDULES, run: runSchedule });
});
