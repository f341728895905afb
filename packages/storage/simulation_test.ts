import assert from "node:assert/strict";
import { test } from "node:test";
import {
  NO_FAULTS,
  type SimulatedHost,
  Simulation,
} from "./test_simulation.ts";

// MANGOBANK_SCHEDULES sets the number of random fault schedules,
// MANGOBANK_FIRST_SEED the first seed; MANGOBANK_SEED runs a single one.
const SCHEDULES = Number(process.env.MANGOBANK_SCHEDULES ?? 2_500);
const FIRST_SEED = Number(process.env.MANGOBANK_FIRST_SEED ?? 1);
const ONLY_SEED = process.env.MANGOBANK_SEED;

const FAULT_PHASE_MS = 6_000;

type Action = (simulation: Simulation, host: SimulatedHost) => void;

const FAULT_ACTIONS: readonly Action[] = [
  (s, host) => s.partition([host.id]),
  (s, host) => s.partition([host.id], true),
  (s) => s.partition(s.founders.filter(() => s.random.next() < 0.5)),
  (s) => s.blocked.clear(),
  (s) => s.blocked.clear(),
  (s, host) => s.freeze(host, 200 + s.random.below(2_500)),
  (s, host) => crashAndRestart(s, host, s.random.below(1_500)),
  (s, host) => crashAndRestart(s, host, 0),
  (s) => {
    for (const host of s.hosts) crashAndRestart(s, host, s.random.below(300));
  },
  loseDisk,
  changeMembership,
  changeMembership,
  changeMembership,
];

function crashAndRestart(s: Simulation, host: SimulatedHost, ms: number): void {
  s.crash(host);
  s.at(ms, () => s.start(host));
}

/** Keeps at least one formed folder, since without any a new cluster forms. */
function loseDisk(s: Simulation, host: SimulatedHost): void {
  const others = s.hosts.filter((other) => other !== host);
  if (!others.some(({ disk }) => disk.state().founding?.formed)) return;
  s.loseDisk(host);
  s.at(s.random.below(1_000), () => s.start(host));
}

/** Makes a membership change that an operator might make to replace members. */
function changeMembership(s: Simulation, host: SimulatedHost): void {
  const status = s.leader()?.core?.status(s.now);
  if (!status) return;
  const { voters, learners } = status.membership;
  const lost = [...voters, ...learners].find((member) => s.isDataLost(member));
  const [announced] = status.announced;
  const [learner] = learners;
  const roll = s.random.below(8);
  if (roll === 0) {
    const member = voters[s.random.below(voters.length)];
    if (member) s.change(host, { type: "remove", member });
  } else if (learner && roll < 4) {
    s.change(host, { type: "promote", member: learner });
  } else if (lost && roll < 6) {
    s.change(host, { type: "remove", member: lost });
  } else if (announced) {
    const id = announced.slice(0, announced.indexOf("/"));
    s.change(host, { type: "add", host: id });
  }
}

/**
 * Runs a random schedule of requests and faults, and checks the final state.
 */
function runSchedule(seed: number): Simulation {
  const size = seed % 3 === 0 ? 5 : 3;
  const s = new Simulation({ seed, size, isFormed: seed % 5 !== 0 });
  s.faultRates = {
    loss: s.random.next() * 0.1,
    duplication: s.random.next() * 0.1,
    delay: 2 + s.random.below(60),
    syncDelay: 1 + s.random.below(s.random.next() < 0.1 ? 500 : 30),
  };
  const pickHost = () =>
    s.hosts[s.random.below(s.hosts.length)] as SimulatedHost;
  const faultGap = 100 + s.random.below(900);
  const sendRequests = () => {
    s.submitCommand(pickHost());
    if (s.random.next() < 0.5) s.read(pickHost());
    if (s.now < FAULT_PHASE_MS) s.at(1 + s.random.below(80), sendRequests);
  };
  const injectFault = () => {
    if (s.now >= FAULT_PHASE_MS) return;
    FAULT_ACTIONS[s.random.below(FAULT_ACTIONS.length)]?.(s, pickHost());
    s.at(s.random.below(2 * faultGap), injectFault);
  };
  s.at(500, sendRequests);
  s.at(s.random.below(2_000), injectFault);
  s.run(FAULT_PHASE_MS);
  s.blocked.clear();
  s.faultRates = NO_FAULTS;
  s.run(3_000);
  for (const host of s.hosts) s.start(host);
  checkFinalState(s);
  return s;
}

/** Checks that a command succeeds and every voter has all acknowledged ones. */
function checkFinalState(s: Simulation): void {
  if (!s.hasMajority()) return;
  assert.ok(
    s.runUntil(() => s.leader()),
    `no leader is elected: ${s.describeHosts()}`,
  );
  s.run(2_500);
  const leader = s.leader();
  if (!leader || !s.hasMajority()) return;
  const id = s.submitCommand(leader);
  const isDone = () => s.history.acknowledged.has(id);
  assert.ok(
    s.runUntil(isDone),
    `${id} is not acknowledged: ${s.describeHosts()}`,
  );
  s.run(1_500);
  const voters = leader.core?.status(s.now).membership.voters;
  for (const host of s.hosts) {
    const self = host.core?.status(s.now).self ?? "";
    if (voters?.includes(self)) s.history.checkHasAcknowledged(host);
  }
}

test("no schedule of faults breaks a guarantee", () => {
  if (ONLY_SEED !== undefined) {
    runSchedule(Number(ONLY_SEED));
    return;
  }
  let acknowledged = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
    try {
      acknowledged += runSchedule(seed).history.acknowledged.size;
    } catch (cause) {
      console.error(
        `repeat with: MANGOBANK_SEED=${seed} node scripts/test.mjs simulation`,
      );
      throw cause;
    }
  }
  // With almost nothing acknowledged, the schedules would prove nothing.
  assert.ok(acknowledged > 20 * SCHEDULES, `${acknowledged} acknowledged`);
});
