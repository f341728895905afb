import assert from "node:assert/strict";
import { test } from "node:test";
import { CALM, type SimulatedHost, Simulation } from "./test_simulation.ts";

// MANGOBANK_SCHEDULES raises the count, MANGOBANK_FIRST_SEED moves the range, and
// MANGOBANK_SEED repeats one schedule.
const SCHEDULES = Number(process.env.MANGOBANK_SCHEDULES ?? 2_500);
const FIRST_SEED = Number(process.env.MANGOBANK_FIRST_SEED ?? 1);
const ONLY_SEED = process.env.MANGOBANK_SEED;

const FAULTY_MS = 6_000;

type Action = (simulation: Simulation, host: SimulatedHost) => void;

const ACTIONS: readonly Action[] = [
  (s, host) => s.partition([host.id]),
  (s, host) => s.partition([host.id], true),
  (s) => s.partition(s.founders.filter(() => s.random.next() < 0.5)),
  (s) => s.blocked.clear(),
  (s) => s.blocked.clear(),
  (s, host) => s.freeze(host, 200 + s.random.below(2_500)),
  (s, host) => crashFor(s, host, s.random.below(1_500)),
  (s, host) => crashFor(s, host, 0),
  (s) => {
    for (const host of s.hosts) crashFor(s, host, s.random.below(300));
  },
  loseDisk,
  repair,
  repair,
  repair,
];

function crashFor(s: Simulation, host: SimulatedHost, ms: number): void {
  s.crash(host);
  s.at(ms, () => s.start(host));
}

/** One formed folder always remains; without any, there is a new cluster. */
function loseDisk(s: Simulation, host: SimulatedHost): void {
  const others = s.hosts.filter((other) => other !== host);
  if (!others.some(({ disk }) => disk.state().founding?.formed)) return;
  s.loseDisk(host);
  s.at(s.random.below(1_000), () => s.start(host));
}

/** The next step that an operator would take, from what one host knows. */
function repair(s: Simulation, host: SimulatedHost): void {
  const status = s.leader()?.core?.status(s.now);
  if (!status) return;
  const { voters, learners } = status.membership;
  const lost = [...voters, ...learners].find((member) => s.isLost(member));
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

/** Runs one schedule of faults and checks the end of it. */
function runSchedule(seed: number): Simulation {
  const size = seed % 3 === 0 ? 5 : 3;
  const s = new Simulation({ seed, size, isFormed: seed % 5 !== 0 });
  s.weather = {
    loss: s.random.next() * 0.1,
    duplication: s.random.next() * 0.1,
    delay: 2 + s.random.below(60),
    syncDelay: 1 + s.random.below(s.random.next() < 0.1 ? 500 : 30),
  };
  const pick = () => s.hosts[s.random.below(s.hosts.length)] as SimulatedHost;
  const gap = 100 + s.random.below(900);
  const load = () => {
    s.submit(pick());
    if (s.random.next() < 0.5) s.read(pick());
    if (s.now < FAULTY_MS) s.at(1 + s.random.below(80), load);
  };
  const misfortune = () => {
    if (s.now >= FAULTY_MS) return;
    ACTIONS[s.random.below(ACTIONS.length)]?.(s, pick());
    s.at(s.random.below(2 * gap), misfortune);
  };
  s.at(500, load);
  s.at(s.random.below(2_000), misfortune);
  s.run(FAULTY_MS);
  s.blocked.clear();
  s.weather = CALM;
  s.run(3_000);
  for (const host of s.hosts) s.start(host);
  checkEnd(s);
  return s;
}

/** After all faults a change goes through and every voter holds all of it. */
function checkEnd(s: Simulation): void {
  if (!s.canRecover()) return;
  assert.ok(
    s.runUntil(() => s.leader()),
    `no leader is elected: ${s.describe()}`,
  );
  s.run(2_500);
  const leader = s.leader();
  if (!leader || !s.canRecover()) return;
  const id = s.submit(leader);
  const isDone = () => s.history.acknowledged.has(id);
  assert.ok(s.runUntil(isDone), `${id} is not acknowledged: ${s.describe()}`);
  s.run(1_500);
  const voters = leader.core?.status(s.now).membership.voters;
  for (const host of s.hosts) {
    const self = host.core?.status(s.now).self ?? "";
    if (voters?.includes(self)) s.history.checkHolds(host);
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
  // Guards against schedules in which nothing happens.
  assert.ok(acknowledged > 20 * SCHEDULES, `${acknowledged} acknowledged`);
});
