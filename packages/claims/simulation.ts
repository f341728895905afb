import { type FormerView, SeededRandomness, type View } from "#model";
import { Claims } from "./claims.ts";
import type { ClaimEffect } from "./effects.ts";
import type { ClaimMessage } from "./messages.ts";
import { entryOf, keyAt, TEST_START } from "./test_support.ts";

const TICK_MS = 25;
/** Longest time for which an entry still uses a view that has ended. */
const STALE_VIEW_USE_MS = 3_000;
/** Half of the largest difference between two clocks, minus a margin. */
const MAX_SKEW_MS = 14_900;

interface Process {
  readonly id: string;
  readonly dataCentre: string;
  /** Difference of the wall clock from the true time, in milliseconds. */
  readonly skewMs: number;
  incarnation: number;
  claims: Claims;
  /** Index of the newest view that the process has; -1 after a restart. */
  viewIndex: number;
  frozenUntil: number;
  ticking: boolean;
}

/**
 * Simulates a random schedule of claims on a few keys, with or without faults
 * of network, processes and clocks. Equal seeds give equal schedules.
 */
export class Simulation {
  readonly result = {
    granted: 0,
    replayed: 0,
    released: 0,
    /** Granted calls by key, except those that provably did not start. */
    runs: new Map<string, number>(),
    violations: [] as string[],
  };
  readonly #random: SeededRandomness;
  readonly #faults: boolean;
  readonly #events: { time: number; run: () => void }[] = [];
  readonly #processes: Process[] = [];
  readonly #views: { view: View; start: number }[] = [];
  readonly #controlSkew: number;
  readonly #lossRate: number;
  readonly #duplicateRate: number;
  readonly #maxDelayMs: number;
  readonly #durationMs: number;
  readonly #partitioned = new Set<string>();
  readonly #undecidedCalls = new Map<
    string,
    { key: string; process: Process; decideBy: number }
  >();
  readonly #recentClaimants: Process[] = [];
  #time = 0;
  #callCount = 0;

  constructor(seed: number, options: { faults: boolean }) {
    this.#random = new SeededRandomness(seed);
    this.#faults = options.faults;
    const size = 1 + this.#random.below(6);
    this.#lossRate = this.#faultLevel([0, 0, 0.05, 0.3]);
    this.#duplicateRate = this.#faultLevel([0, 0.1, 0.4]);
    this.#maxDelayMs = this.#faults ? this.#pick([2, 30, 400, 20_000]) : 2;
    this.#durationMs = this.#faults
      ? this.#pick([100, 5_000, 60_000, 620_000])
      : 9;
    this.#controlSkew = this.#randomSkew();
    for (let i = 0; i < size; i++) this.#addProcess(i);
    this.#changeView(this.#processes);
    for (const process of this.#processes) this.#applyView(process, 0);
  }

  run(): Simulation["result"] {
    const keys = 1 + this.#random.below(3);
    for (let i = 0; i < keys; i++) this.#scheduleClaims(i);
    const faults = this.#faults ? this.#random.below(12) : 0;
    for (let i = 0; i < faults; i++) {
      this.#schedule(this.#random.next() * this.#durationMs, () =>
        this.#injectFault(),
      );
    }
    for (let n = 0; n < 200_000; n++) {
      const event = this.#events.shift();
      if (!event) break;
      this.#time = event.time;
      event.run();
    }
    if (this.#events.length > 0)
      this.result.violations.push("schedule does not end");
    for (const [callId] of this.#undecidedCalls) {
      this.result.violations.push(`${callId} got no decision`);
    }
    return this.result;
  }

  #pick<T>(values: readonly T[]): T {
    return values[this.#random.below(values.length)] as T;
  }

  #faultLevel(values: readonly number[]): number {
    return this.#faults ? this.#pick(values) : 0;
  }

  #randomSkew(): number {
    return Math.round((this.#random.next() * 2 - 1) * MAX_SKEW_MS);
  }

  #schedule(time: number, run: () => void): void {
    const before = this.#events.findLastIndex((event) => event.time <= time);
    this.#events.splice(before + 1, 0, { time, run });
  }

  #addProcess(i: number): void {
    const id = `e${i}`;
    const process = {
      id,
      dataCentre: `dc${this.#random.below(4)}`,
      skewMs: this.#randomSkew(),
      incarnation: 1,
      claims: this.#newClaims(id, 1),
      viewIndex: -1,
      frozenUntil: 0,
      ticking: false,
    };
    this.#processes.push(process);
  }

  #newClaims(self: string, incarnation: number): Claims {
    const randomness = new SeededRandomness(this.#random.below(1 << 30));
    return new Claims({ self, incarnation, randomness });
  }

  #instant(process: Process) {
    const wallTime = TEST_START + Math.round(this.#time) + process.skewMs;
    return { now: this.#time, wallTime };
  }

  #changeView(members: readonly Process[]): void {
    const began = TEST_START + Math.round(this.#time) + this.#controlSkew;
    const entries = members.map((member) => entryOf(member.id, member));
    const epoch = this.#views.length + 1;
    const view = { epoch, entries, began };
    this.#views.push({ view, start: this.#time });
  }

  #applyView(process: Process, index: number): void {
    if (process.viewIndex >= index) return;
    if (process.frozenUntil > this.#time) {
      this.#schedule(process.frozenUntil, () =>
        this.#applyView(process, index),
      );
      return;
    }
    process.viewIndex = index;
    const formerViews: FormerView[] = [];
    for (let i = 0; i < index; i++) {
      const former = this.#views[i]?.view;
      const ended = this.#views[i + 1]?.view.began;
      if (former && ended !== undefined) formerViews.push({ ...former, ended });
    }
    const view = this.#views[index]?.view;
    if (!view) return;
    const views = { view, formerViews };
    const at = this.#instant(process);
    this.#execute(process, process.claims.configure(views, at));
  }

  #announceView(): void {
    const index = this.#views.length - 1;
    for (const process of this.#processes) {
      const delay = this.#random.next() * this.#pick([50, 2_900, 20_000]);
      this.#schedule(this.#time + delay, () => this.#applyView(process, index));
    }
  }

  /** Whether the view of the process is confirmed, so that it accepts calls. */
  #isReady(process: Process): boolean {
    if (process.frozenUntil > this.#time || process.viewIndex < 0) return false;
    const next = this.#views[process.viewIndex + 1];
    return !next || this.#time < next.start + STALE_VIEW_USE_MS;
  }

  #scheduleClaims(i: number): void {
    // Keys that are created later must not need views that ended before.
    const start = this.#pick([0, this.#random.next() * this.#durationMs]);
    const created = TEST_START + Math.round(start) + this.#randomSkew();
    const key = keyAt(created, i);
    this.result.runs.set(key, 0);
    const claimCount = 2 + this.#random.below(4);
    for (let n = 0; n < claimCount; n++) {
      const spread = this.#pick([3, 300, this.#durationMs]);
      const time = this.#random.next() * Math.min(spread, this.#durationMs);
      this.#schedule(start + time, () => this.#claim(key));
    }
    // One claim after all of the others.
    this.#schedule(start + this.#durationMs + 100, () => this.#claim(key));
  }

  #claim(key: string): void {
    const ready = this.#processes.filter((process) => this.#isReady(process));
    if (ready.length === 0) return;
    const process = this.#pick([
      ...ready,
      ...this.#recentClaimants.filter((claimed) => this.#isReady(claimed)),
    ]);
    this.#recentClaimants.push(process);
    const callId = `call-${++this.#callCount}`;
    const waitMs = this.#pick([50, 1_000, 3_000]);
    const decideBy = this.#time + waitMs + 2 * TICK_MS;
    this.#undecidedCalls.set(callId, { key, process, decideBy });
    const call = { callId, key, fingerprint: 1, waitMs };
    const effects = process.claims.claim(call, this.#instant(process));
    this.#execute(process, effects);
    this.#keepTicking(process);
  }

  #keepTicking(process: Process): void {
    if (process.ticking) return;
    process.ticking = true;
    const { claims } = process;
    const tick = () => {
      if (claims !== process.claims) return;
      if (process.frozenUntil > this.#time) {
        this.#schedule(process.frozenUntil, tick);
        return;
      }
      this.#execute(process, claims.tick(this.#instant(process)));
      if (claims.claimant.pendingCount > 0)
        this.#schedule(this.#time + TICK_MS, tick);
      else process.ticking = false;
    };
    this.#schedule(this.#time + TICK_MS, tick);
  }

  #execute(process: Process, effects: readonly ClaimEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "send") {
        this.#send(process.id, effect.to, effect);
        continue;
      }
      const open = this.#undecidedCalls.get(effect.callId);
      if (!open) {
        this.result.violations.push(`${effect.callId} got two decisions`);
        continue;
      }
      const { key, decideBy } = open;
      if (this.#time > decideBy && process.frozenUntil === 0) {
        this.result.violations.push(`${effect.callId} waited too long`);
      }
      this.#undecidedCalls.delete(effect.callId);
      const runs = this.result.runs.get(key) ?? 0;
      if (effect.type === "granted") {
        this.#runCall(process, key, effect.callId);
      } else if (effect.type === "replayed") {
        this.result.replayed++;
        if (
          new TextDecoder().decode(effect.answer.body) !== key ||
          runs !== 1
        ) {
          this.result.violations.push(`${key} got another request's answer`);
        }
      } else if (effect.fault.outcome === "not-run" && runs > 0) {
        this.result.violations.push(`${key} was reported as not run`);
      }
    }
  }

  #runCall(process: Process, key: string, callId: string): void {
    const runs = (this.result.runs.get(key) ?? 0) + 1;
    this.result.runs.set(key, runs);
    this.result.granted++;
    if (runs > 1) this.result.violations.push(`${key} runs twice: ${callId}`);
    const { claims } = process;
    const notStarted = this.#faults && this.#random.below(4) === 0;
    const settle = () => {
      if (process.claims !== claims) return;
      if (process.frozenUntil > this.#time) {
        this.#schedule(process.frozenUntil, settle);
        return;
      }
      if (notStarted) {
        this.result.runs.set(key, (this.result.runs.get(key) ?? 0) - 1);
        this.result.released++;
      }
      const body = new TextEncoder().encode(key);
      const answer = { status: 201, headers: [], body };
      const outcome = notStarted
        ? ({ type: "not_started" } as const)
        : ({ type: "ran", answer } as const);
      const at = this.#instant(process);
      this.#execute(process, claims.settle(callId, outcome, at));
    };
    const duration = this.#random.next() * this.#pick([1, 50, 2_000]);
    this.#schedule(this.#time + duration, settle);
  }

  #send(from: string, to: string, message: ClaimMessage): void {
    const copies = 1 + (this.#random.next() < this.#duplicateRate ? 1 : 0);
    for (let copy = 0; copy < copies; copy++) {
      if (this.#random.next() < this.#lossRate) continue;
      const delay = 0.1 + this.#random.next() * this.#maxDelayMs;
      this.#schedule(this.#time + delay, () =>
        this.#deliver(from, to, message),
      );
    }
  }

  #deliver(from: string, to: string, message: ClaimMessage): void {
    const process = this.#processes.find(({ id }) => id === to);
    if (!process || this.#partitioned.has(from) !== this.#partitioned.has(to))
      return;
    if (process.frozenUntil > this.#time) {
      const retry = () => this.#deliver(from, to, message);
      this.#schedule(process.frozenUntil, retry);
      return;
    }
    const at = this.#instant(process);
    this.#execute(process, process.claims.receive(from, message, at));
  }

  #injectFault(): void {
    // Processes with recent claims are more likely, since their faults matter
    // most.
    const process = this.#pick([...this.#processes, ...this.#recentClaimants]);
    const kind = this.#pick(["restart", "freeze", "cut", "heal", "view"]);
    if (kind === "restart") this.#restart(process);
    else if (kind === "cut") this.#partitioned.add(process.id);
    else if (kind === "heal") this.#partitioned.clear();
    else if (kind === "freeze") {
      const span = this.#pick([100, 5_000, 700_000]);
      process.frozenUntil = this.#time + this.#random.next() * span;
    } else {
      const members = this.#processes.filter(() => this.#random.below(3) > 0);
      this.#changeView(members.length > 0 ? members : this.#processes);
      this.#announceView();
    }
  }

  #restart(process: Process): void {
    for (const [callId, open] of this.#undecidedCalls) {
      if (open.process === process) this.#undecidedCalls.delete(callId);
    }
    process.incarnation++;
    process.claims = this.#newClaims(process.id, process.incarnation);
    process.viewIndex = -1;
    process.frozenUntil = 0;
    process.ticking = false;
    const noticed = this.#time + this.#random.next() * 8_000;
    this.#schedule(noticed, () => {
      this.#changeView(this.#processes);
      this.#announceView();
    });
  }
}
