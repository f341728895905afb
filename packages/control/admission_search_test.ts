import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConsensusStatus } from "#agreement";
import { SeededRandomness } from "#model";
import { makeFault, PASSING_FAULTS } from "../storage/test_faults.ts";
import { timeOfChange } from "../storage/test_operator.ts";
import {
  assertAllAdmitted,
  checkSchedules,
  type ScheduleResult,
} from "../storage/test_schedules.ts";
import { type SimulatedHost, Simulation } from "../storage/test_simulation.ts";
import { SimulatedManagers } from "./test_simulated_managers.ts";

// The first `SINGLE_FAULTS` histories are all those with one further fault; the others have
// two or three, drawn by their number. CI runs a part of all.
const SCHEDULES = 360;
const SEED_STEP = 17;

/** `sync_s` of the deployments: a host counts as lost for so long after its start. */
const SYNC_MS = 4_000;
/** Time between the end of a loss and the next one. */
const GAP_MS = 1_000;
/** `recovery_s` of the deployments, from the return of the last host. */
const RECOVERY_MS = 15_000;
/** Time in which all hosts that run become voters. */
const ADMITTED_WITHIN_MS = 30_000;
/** Longest wait for a step of an admission, before the fault comes anyway. */
const STEP_LIMIT_MS = 3_000;
const COMMAND_INTERVAL_MS = 120;
const DISK_LOSSES_IN_TURN = 3;

type Status = ConsensusStatus;

/** The steps of an admission, as the leader and the joining host show them. */
const STEPS: Readonly<
  Record<string, (leader: Status, joining: Status | undefined) => boolean>
> = {
  lost: () => true,
  started: (_, joining) => joining !== undefined,
  announced: ({ announced }, joining) => includes(announced, joining),
  learner: ({ membership }, joining) => includes(membership.learners, joining),
  bound: (_, joining) => joining?.phase === "formed",
  caught_up: ({ peers, commit }, joining) =>
    peers.some((p) => p.member === joining?.self && p.match >= commit),
  voter: ({ membership }, joining) => includes(membership.voters, joining),
  committed: ({ membership, membershipIndex, commit }, joining) =>
    includes(membership.voters, joining) && membershipIndex <= commit,
};

function includes(
  members: readonly string[],
  host: Status | undefined,
): boolean {
  return host !== undefined && members.includes(host.self);
}

const TARGETS = ["joining", "leader", "other"] as const;
/** The losses of a folder strike the joining host only. */
const FAULTS = [
  ...PASSING_FAULTS,
  "other_folder",
  "lost_disk",
  "replaced",
] as const;
/** Time after which a host whose folder is lost, or its successor, starts. */
const RETURN_MS = 1_000;
const FIRST_LOSSES = ["lost_disk", "replaced", "other_folder"] as const;

interface Fault {
  readonly step: string;
  readonly target: (typeof TARGETS)[number];
  readonly kind: (typeof FAULTS)[number];
}

interface Scenario {
  readonly seed: number;
  readonly size: number;
  readonly first: (typeof FIRST_LOSSES)[number];
  /** Whether the first host that is lost leads. */
  readonly isLeaderLost: boolean;
  readonly faults: readonly Fault[];
}

/** All single faults, at each step, that the pages allow. */
const SINGLE_FAULTS_AT_STEPS: readonly Fault[] = Object.keys(STEPS).flatMap(
  (step) =>
    TARGETS.flatMap((target) =>
      FAULTS.filter((kind) => target === "joining" || !losesFolder(kind)).map(
        (kind) => ({ step, target, kind }),
      ),
    ),
);

const VARIANTS = [4, 5, 6].flatMap((size) =>
  FIRST_LOSSES.flatMap((first) =>
    [false, true].map((isLeaderLost) => ({ size, first, isLeaderLost })),
  ),
);

const SINGLE_FAULTS = VARIANTS.length * SINGLE_FAULTS_AT_STEPS.length;

function losesFolder(kind: Fault["kind"]): boolean {
  return ["lost_disk", "replaced", "other_folder"].includes(kind);
}

function scenarioOf(seed: number): Scenario {
  const random = new SeededRandomness(seed);
  const pick = <T>(all: readonly T[]) => all[random.below(all.length)] as T;
  if (seed < SINGLE_FAULTS) {
    const variant = VARIANTS[seed % VARIANTS.length];
    const at = Math.floor(seed / VARIANTS.length);
    const fault = SINGLE_FAULTS_AT_STEPS[at] as Fault;
    return { ...(variant as (typeof VARIANTS)[number]), faults: [fault], seed };
  }
  const count = 2 + (seed % 2);
  const faults = Array.from({ length: count }, () =>
    pick(SINGLE_FAULTS_AT_STEPS),
  );
  return { ...pick(VARIANTS), faults, seed };
}

/** One history: a host is lost, and faults strike at steps of its admission. */
class AdmissionHistory {
  readonly s: Simulation;
  readonly #managers: SimulatedManagers;
  #joining: SimulatedHost;
  /** The disks of hosts that run with another one. */
  readonly #ownDisks = new Map<SimulatedHost, SimulatedHost["disk"]>();
  #added = 0;
  #sendsCommands = true;
  /** When the last fault is over and all hosts run. */
  #quietAt = 0;

  constructor({ seed, size, isLeaderLost }: Scenario) {
    this.s = new Simulation({ seed, size, isFormed: true });
    this.#managers = new SimulatedManagers(this.s);
    assert.ok(this.s.runUntil(() => this.s.leader()));
    this.s.run(500);
    const leader = this.s.leader();
    const isFirst = (host: SimulatedHost) => (host === leader) === isLeaderLost;
    this.#joining = this.s.hosts.find(isFirst) as SimulatedHost;
    this.#sendCommands();
  }

  get running(): SimulatedHost[] {
    return this.s.hosts.filter((host) => !host.isRemoved);
  }

  run({ first, faults }: Scenario): void {
    this.#apply({ step: "lost", target: "joining", kind: first });
    for (const fault of faults) {
      this.#runUntilStep(fault.step);
      this.#apply(fault);
    }
    this.s.run(Math.max(0, this.#quietAt - this.s.now));
  }

  /** Loses the disk of a voter that leads, or of one that doesn't. */
  loseDiskInTurn(isLeader: boolean): void {
    const leader = this.s.leader();
    const voters = leader?.core?.status(this.s.now).membership.voters ?? [];
    const host = this.running.find(
      (host) =>
        (host === leader) === isLeader &&
        voters.includes(this.s.memberKeyOf(host)),
    );
    if (!host) return;
    this.#joining = host;
    this.#apply({ step: "lost", target: "joining", kind: "lost_disk" });
    this.s.run(this.#quietAt - this.s.now);
  }

  /** A change that an operator sends now; returns how long it took. */
  change(limitMs: number): number {
    return timeOfChange(this.s, limitMs);
  }

  stopCommands(): void {
    this.#sendsCommands = false;
  }

  #sendCommands(): void {
    if (!this.#sendsCommands) return;
    const { running, s } = this;
    const at = s.random.below(running.length);
    s.submitCommand(running[at] as SimulatedHost);
    s.at(COMMAND_INTERVAL_MS, () => this.#sendCommands());
  }

  #runUntilStep(step: string): void {
    const { s } = this;
    const isReached = () => {
      const leader = s.leader()?.core?.status(s.now);
      const joining = this.#joining.core?.status(s.now);
      return leader !== undefined && STEPS[step]?.(leader, joining);
    };
    const end = s.now + STEP_LIMIT_MS;
    while (!isReached() && s.now < end) s.run(2);
  }

  #apply({ target, kind }: Fault): void {
    const host = this.#hostOf(target);
    const lostMs = this.#makeFault(host, kind);
    const { now } = this.s;
    this.#quietAt = Math.max(this.#quietAt, now + lostMs + SYNC_MS + GAP_MS);
  }

  /** Makes a fault; returns after how many milliseconds the host is back. */
  #makeFault(host: SimulatedHost, kind: Fault["kind"]): number {
    const { s } = this;
    switch (kind) {
      case "lost_disk":
        s.loseDisk(host);
        this.#ownDisks.delete(host);
        s.at(RETURN_MS, () => s.start(host));
        return RETURN_MS;
      case "other_folder":
        this.#openOtherFolder(host);
        return RETURN_MS;
      case "replaced":
        this.#replace(host);
        return RETURN_MS;
      default:
        return makeFault(s, host, kind);
    }
  }

  /** Removes a host for good; another one with an empty disk starts a second later. */
  #replace(host: SimulatedHost): void {
    const { s } = this;
    s.crash(host);
    host.isRemoved = true;
    // A host that is down counts as the joining one until the other has started.
    const added = s.addStoppedHost(`n${++this.#added}`);
    this.#joining = added;
    s.at(RETURN_MS, () => {
      s.start(added);
      this.#managers.add(added);
    });
  }

  /**
   * Restarts a host with another data folder, as when the entry process of the host
   * opens a replica while control is away, or with its own one, as when control is
   * back.
   */
  #openOtherFolder(host: SimulatedHost): void {
    const { s } = this;
    s.crash(host);
    const own = this.#ownDisks.get(host);
    if (own) this.#ownDisks.delete(host);
    else this.#ownDisks.set(host, host.disk);
    host.disk = own ?? s.emptyDisk();
    host.room = "all";
    s.at(RETURN_MS, () => s.start(host));
  }

  #hostOf(target: Fault["target"]): SimulatedHost {
    const joining = this.#joining;
    const leader = this.s.leader() ?? joining;
    if (target === "joining") return joining;
    if (target === "leader") return leader;
    const isOther = (host: SimulatedHost) =>
      host !== joining && host !== leader;
    return this.running.findLast(isOther) ?? joining;
  }
}

/** Runs a history; returns how long the last change took. */
function runHistory(seed: number): ScheduleResult {
  const scenario = scenarioOf(seed);
  const history = new AdmissionHistory(scenario);
  const { s } = history;
  history.run(scenario);
  for (let turn = 0; turn < DISK_LOSSES_IN_TURN; turn++) {
    assertChange(history, `before disk loss ${turn + 1} in turn`);
    history.loseDiskInTurn(turn === 1);
  }
  const tookMs = assertChange(history, "after the last disk loss");
  assertAllAdmitted(s, () => history.running, {
    withinMs: ADMITTED_WITHIN_MS,
    stopCommands: () => history.stopCommands(),
  });
  return { acknowledged: s.history.acknowledged.size, tookMs };
}

function assertChange(history: AdmissionHistory, when: string): number {
  const tookMs = history.change(RECOVERY_MS);
  assert.ok(
    tookMs < RECOVERY_MS,
    `no change is acknowledged ${when}: ${history.s.describeHosts()}`,
  );
  return tookMs;
}

// Failure: a host that is lost, frozen, cut off or replaced at some step of its
// admission keeps all others from being admitted, so that the disks that are lost in
// their turn use up the majority (review case 7).
test("no fault at a step of an admission holds up the admission of others", () => {
  checkSchedules({
    name: "admission_search",
    schedules: SCHEDULES,
    firstSeed: 0,
    seedStep: SEED_STEP,
    run: runHistory,
    describe: (seed) => JSON.stringify(scenarioOf(seed)),
  });
});
