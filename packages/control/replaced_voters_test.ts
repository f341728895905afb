import assert from "node:assert/strict";
import { test } from "node:test";
import { mayLoseDisk } from "../storage/test_faults.ts";
import { timeOfChange } from "../storage/test_operator.ts";
import {
  assertAllAdmitted,
  checkSchedules,
} from "../storage/test_schedules.ts";
import {
  NO_FAULTS,
  type SimulatedHost,
  Simulation,
} from "../storage/test_simulation.ts";
import { SimulatedManagers } from "./test_simulated_managers.ts";

const SCHEDULES = 60;
const FAULT_PHASE_MS = 20_000;
/** From a stable majority of control hosts to an acknowledged change. */
const ACKNOWLEDGED_WITHIN_MS = 4_000;
/** A host closed by a full disk is open again by then. */
const REOPENED_WITHIN_MS = 550;
/** Time in which all hosts that run become voters. */
const ADMITTED_WITHIN_MS = 30_000;

/** A simulation with the automatic changes of the membership. */
class ReplacementSimulation {
  readonly s: Simulation;
  readonly #managers: SimulatedManagers;
  #added = 0;

  constructor(seed: number) {
    this.s = new Simulation({ seed, size: 3 + (seed % 5), isFormed: true });
    this.#managers = new SimulatedManagers(this.s);
  }

  get running(): SimulatedHost[] {
    return this.s.hosts.filter((host) => !host.isRemoved);
  }

  pick(): SimulatedHost {
    const { running } = this;
    return running[this.s.random.below(running.length)] as SimulatedHost;
  }

  /** Removes a host for good, and starts another one with an empty disk. */
  replace(host: SimulatedHost, afterMs: number): void {
    if (!mayLoseDisk(this.s, host)) return;
    this.s.crash(host);
    host.isRemoved = true;
    const add = () => {
      this.#managers.add(this.s.addHost(`n${++this.#added}`));
    };
    this.s.at(Math.min(afterMs, this.s.random.below(1_000)), add);
  }

  loseDisk(host: SimulatedHost, afterMs: number): void {
    if (!mayLoseDisk(this.s, host)) return;
    this.s.loseDisk(host);
    this.s.at(afterMs, () => this.s.start(host));
  }
}

type Action = (
  r: ReplacementSimulation,
  host: SimulatedHost,
  forMs: number,
) => void;

const FAULTS: readonly Action[] = [
  (r, host, ms) => r.replace(host, ms),
  (r, host, ms) => r.replace(r.s.leader() ?? host, ms),
  (r, host, ms) => r.loseDisk(host, ms),
  (r, host) => r.s.partition([host.id]),
  (r, host) => r.s.partition([host.id], true),
  (r) => r.s.blocked.clear(),
  (r) => r.s.blocked.clear(),
  (r, host, ms) => restart(r.s, host, ms),
  (r, host, ms) => restart(r.s, r.s.leader() ?? host, ms),
  (r, host, ms) => r.s.fillDisk(host, "none", ms),
  (r, host, ms) => r.s.fillDisk(host, "small", ms),
  (r, host, ms) => r.s.fillDisk(r.s.leader() ?? host, "none", ms),
  // Long enough for the host to be removed as a silent voter.
  (r, host) => r.s.fillDisk(host, "none", FAULT_PHASE_MS - r.s.now),
  (r, _host, ms) => {
    const newest = r.s.hosts.at(-1);
    if (newest) r.s.fillDisk(newest, "closed", ms);
  },
];

function restart(s: Simulation, host: SimulatedHost, afterMs: number): void {
  s.crash(host);
  s.at(afterMs, () => s.start(host));
}

/** Runs a schedule; returns its longest time until a change was acknowledged. */
function runSchedule(seed: number): { acknowledged: number; tookMs: number } {
  const r = new ReplacementSimulation(seed);
  const { s } = r;
  s.faultRates = {
    loss: s.random.next() * 0.03,
    duplication: s.random.next() * 0.03,
    delay: 2 + s.random.below(20),
    syncDelay: 1 + s.random.below(10),
  };
  const gapMs = 500 + s.random.below(5_000);
  const faults = FAULTS.filter(() => s.random.next() < 0.7);
  const sendRequests = () => {
    s.submitCommand(r.pick());
    if (s.random.next() < 0.3) s.read(r.pick());
    if (s.now < FAULT_PHASE_MS) s.at(1 + s.random.below(300), sendRequests);
  };
  const inject = () => {
    const left = FAULT_PHASE_MS - s.now;
    if (left <= 0 || faults.length === 0) return;
    const forMs = Math.min(left, s.random.below(4_000));
    faults[s.random.below(faults.length)]?.(r, r.pick(), forMs);
    s.at(s.random.below(2 * gapMs), inject);
  };
  s.at(500, sendRequests);
  s.at(3_000, inject);
  s.run(FAULT_PHASE_MS);
  s.blocked.clear();
  s.faultRates = NO_FAULTS;
  for (const host of s.hosts) host.room = "all";
  const tookMs = timeOfChange(s, 30_000);
  assert.ok(hasMajority(r), `no majority is left: ${s.describeHosts()}`);
  assert.ok(
    tookMs <= ACKNOWLEDGED_WITHIN_MS + REOPENED_WITHIN_MS,
    `no change is acknowledged for ${tookMs} ms: ${s.describeHosts()}`,
  );
  const withinMs = ADMITTED_WITHIN_MS;
  assertAllAdmitted(s, () => r.running, { withinMs });
  return { acknowledged: s.history.acknowledged.size, tookMs };
}

/** Whether a majority of the voters of the newest membership is running. */
function hasMajority({ s, running }: ReplacementSimulation): boolean {
  const statuses = s.hosts.flatMap(({ core }) => core?.status(s.now) ?? []);
  const [newest] = statuses.sort((a, b) => b.commit - a.commit);
  const voters = newest?.membership.voters ?? [];
  const members = running.map((host) => s.memberKeyOf(host));
  const present = voters.filter((member) => members.includes(member));
  return present.length > voters.length / 2;
}

// Failure: replaced hosts use up the majority, a host is never admitted, or a
// change that was acknowledged is lost, beside cuts, restarts and full disks.
test("no schedule of replaced voters stops changes for good", () => {
  const name = "replaced_voters";
  checkSchedules({ name, schedules: SCHEDULES, run: runSchedule });
});
