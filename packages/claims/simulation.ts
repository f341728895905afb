import { type FormerView, SeededRandomness, type View } from "#model";
import { Claims } from "./claims.ts";
import type { ClaimEffect } from "./effects.ts";
import type { ClaimMessage } from "./messages.ts";
import { EPOCH, entryOf, keyAt } from "./test_support.ts";

const TICK_MS = 25;
/** An entry stops using a view at most this long after it has ended. */
const STALE_MS = 3_000;
/** Half of the largest difference between two clocks, less a margin. */
const SKEW_MS = 14_900;

interface Process {
  readonly id: string;
  readonly dataCentre: string;
  /** Wall clock less the true time, in milliseconds. */
  readonly skew: number;
  incarnation: number;
  claims: Claims;
  /** Index of the newest view it knows; -1 after a restart. */
  known: number;
  frozenUntil: number;
  ticking: boolean;
}

/** One short schedule of claims on a few keys, with or without faults. */
export class Simulation {
  readonly result = {
    granted: 0,
    replayed: 0,
    released: 0,
    /** Runs per key that were not proved not started. */
    runs: new Map<string, number>(),
    violations: [] as string[],
  };
  readonly #random: SeededRandomness;
  readonly #faults: boolean;
  readonly #events: { time: number; run: () => void }[] = [];
  readonly #processes: Process[] = [];
  readonly #views: { view: View; start: number }[] = [];
  readonly #controlSkew: number;
  readonly #loss: number;
  readonly #duplicates: number;
  readonly #delayMs: number;
  readonly #spanMs: number;
  readonly #cut = new Set<string>();
  readonly #open = new Map<
    string,
    { key: string; process: Process; latest: number }
  >();
  readonly #claimed: Process[] = [];
  #time = 0;
  #calls = 0;

  constructor(seed: number, options: { faults: boolean }) {
    this.#random = new SeededRandomness(seed);
    this.#faults = options.faults;
    const size = 1 + this.#random.below(6);
    this.#loss = this.#fault([0, 0, 0.05, 0.3]);
    this.#duplicates = this.#fault([0, 0.1, 0.4]);
    this.#delayMs = this.#faults ? this.#pick([2, 30, 400, 20_000]) : 2;
    this.#spanMs = this.#faults ? this.#pick([100, 5_000, 60_000, 620_000]) : 9;
    this.#controlSkew = this.#skew();
    for (let i = 0; i < size; i++) this.#addProcess(i);
    this.#changeView(this.#processes);
    for (const process of this.#processes) this.#learn(process, 0);
  }

  run(): Simulation["result"] {
    const keys = 1 + this.#random.below(3);
    for (let i = 0; i < keys; i++) this.#planKey(i);
    const faults = this.#faults ? this.#random.below(12) : 0;
    for (let i = 0; i < faults; i++) {
      this.#at(this.#random.next() * this.#spanMs, () => this.#injectFault());
    }
    for (let n = 0; n < 200_000; n++) {
      const event = this.#events.shift();
      if (!event) break;
      this.#time = event.time;
      event.run();
    }
    if (this.#events.length > 0)
      this.result.violations.push("schedule has no end");
    for (const [callId] of this.#open) {
      this.result.violations.push(`${callId} got no decision`);
    }
    return this.result;
  }

  #pick<T>(values: readonly T[]): T {
    return values[this.#random.below(values.length)] as T;
  }

  #fault(values: readonly number[]): number {
    return this.#faults ? this.#pick(values) : 0;
  }

  #skew(): number {
    return Math.round((this.#random.next() * 2 - 1) * SKEW_MS);
  }

  #at(time: number, run: () => void): void {
    const before = this.#events.findLastIndex((event) => event.time <= time);
    this.#events.splice(before + 1, 0, { time, run });
  }

  #addProcess(i: number): void {
    const id = `e${i}`;
    const process = {
      id,
      dataCentre: `dc${this.#random.below(4)}`,
      skew: this.#skew(),
      incarnation: 1,
      claims: this.#newClaims(id, 1),
      known: -1,
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
    const epoch = EPOCH + Math.round(this.#time) + process.skew;
    return { now: this.#time, epoch };
  }

  #changeView(members: readonly Process[]): void {
    const began = EPOCH + Math.round(this.#time) + this.#controlSkew;
    const entries = members.map((member) => entryOf(member.id, member));
    const epoch = this.#views.length + 1;
    const view = { epoch, entries, began };
    this.#views.push({ view, start: this.#time });
  }

  #learn(process: Process, index: number): void {
    if (process.known >= index) return;
    if (process.frozenUntil > this.#time) {
      this.#at(process.frozenUntil, () => this.#learn(process, index));
      return;
    }
    process.known = index;
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
    this.#carryOut(process, process.claims.configure(views, at));
  }

  #announceView(): void {
    const index = this.#views.length - 1;
    for (const process of this.#processes) {
      const delay = this.#random.next() * this.#pick([50, 2_900, 20_000]);
      this.#at(this.#time + delay, () => this.#learn(process, index));
    }
  }

  /** Whether the process may take new work, as its view is confirmed. */
  #isReady(process: Process): boolean {
    if (process.frozenUntil > this.#time || process.known < 0) return false;
    const next = this.#views[process.known + 1];
    return !next || this.#time < next.start + STALE_MS;
  }

  #planKey(i: number): void {
    // Keys made after a view has ended must not need that view.
    const start = this.#pick([0, this.#random.next() * this.#spanMs]);
    const created = EPOCH + Math.round(start) + this.#skew();
    const key = keyAt(created, i);
    this.result.runs.set(key, 0);
    const sendings = 2 + this.#random.below(4);
    for (let n = 0; n < sendings; n++) {
      const spread = this.#pick([3, 300, this.#spanMs]);
      const time = this.#random.next() * Math.min(spread, this.#spanMs);
      this.#at(start + time, () => this.#claim(key));
    }
    // One sending after all of the others.
    this.#at(start + this.#spanMs + 100, () => this.#claim(key));
  }

  #claim(key: string): void {
    const ready = this.#processes.filter((process) => this.#isReady(process));
    if (ready.length === 0) return;
    const process = this.#pick([
      ...ready,
      ...this.#claimed.filter((claimed) => this.#isReady(claimed)),
    ]);
    this.#claimed.push(process);
    const callId = `call-${++this.#calls}`;
    const waitMs = this.#pick([50, 1_000, 3_000]);
    const latest = this.#time + waitMs + 2 * TICK_MS;
    this.#open.set(callId, { key, process, latest });
    const call = { callId, key, fingerprint: 1, waitMs };
    const effects = process.claims.claim(call, this.#instant(process));
    this.#carryOut(process, effects);
    this.#keepTicking(process);
  }

  #keepTicking(process: Process): void {
    if (process.ticking) return;
    process.ticking = true;
    const { claims } = process;
    const tick = () => {
      if (claims !== process.claims) return;
      if (process.frozenUntil > this.#time) {
        this.#at(process.frozenUntil, tick);
        return;
      }
      this.#carryOut(process, claims.tick(this.#instant(process)));
      if (claims.claimant.pending > 0) this.#at(this.#time + TICK_MS, tick);
      else process.ticking = false;
    };
    this.#at(this.#time + TICK_MS, tick);
  }

  #carryOut(process: Process, effects: readonly ClaimEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "send") {
        this.#send(process.id, effect.to, effect);
        continue;
      }
      const open = this.#open.get(effect.callId);
      if (!open) {
        this.result.violations.push(`${effect.callId} got two decisions`);
        continue;
      }
      const { key, latest } = open;
      if (this.#time > latest && process.frozenUntil === 0) {
        this.result.violations.push(`${effect.callId} waited too long`);
      }
      this.#open.delete(effect.callId);
      const runs = this.result.runs.get(key) ?? 0;
      if (effect.type === "granted") {
        this.#start(process, key, effect.callId);
      } else if (effect.type === "replayed") {
        this.result.replayed++;
        if (
          new TextDecoder().decode(effect.answer.body) !== key ||
          runs !== 1
        ) {
          this.result.violations.push(`${key} got another request's answer`);
        }
      } else if (effect.fault.outcome === "not-run" && runs > 0) {
        this.result.violations.push(`${key} was said not to have run`);
      }
    }
  }

  #start(process: Process, key: string, callId: string): void {
    const runs = (this.result.runs.get(key) ?? 0) + 1;
    this.result.runs.set(key, runs);
    this.result.granted++;
    if (runs > 1) this.result.violations.push(`${key} runs twice: ${callId}`);
    const { claims } = process;
    const notStarted = this.#faults && this.#random.below(4) === 0;
    const settle = () => {
      if (process.claims !== claims) return;
      if (process.frozenUntil > this.#time) {
        this.#at(process.frozenUntil, settle);
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
      this.#carryOut(process, claims.settle(callId, outcome, at));
    };
    const duration = this.#random.next() * this.#pick([1, 50, 2_000]);
    this.#at(this.#time + duration, settle);
  }

  #send(from: string, to: string, message: ClaimMessage): void {
    const copies = 1 + (this.#random.next() < this.#duplicates ? 1 : 0);
    for (let copy = 0; copy < copies; copy++) {
      if (this.#random.next() < this.#loss) continue;
      const delay = 0.1 + this.#random.next() * this.#delayMs;
      this.#at(this.#time + delay, () => this.#deliver(from, to, message));
    }
  }

  #deliver(from: string, to: string, message: ClaimMessage): void {
    const process = this.#processes.find(({ id }) => id === to);
    if (!process || this.#cut.has(from) !== this.#cut.has(to)) return;
    if (process.frozenUntil > this.#time) {
      const retry = () => this.#deliver(from, to, message);
      this.#at(process.frozenUntil, retry);
      return;
    }
    const at = this.#instant(process);
    this.#carryOut(process, process.claims.receive(from, message, at));
  }

  #injectFault(): void {
    // Restarts matter most for processes that have just claimed.
    const process = this.#pick([...this.#processes, ...this.#claimed]);
    const kind = this.#pick(["restart", "freeze", "cut", "heal", "view"]);
    if (kind === "restart") this.#restart(process);
    else if (kind === "cut") this.#cut.add(process.id);
    else if (kind === "heal") this.#cut.clear();
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
    for (const [callId, open] of this.#open) {
      if (open.process === process) this.#open.delete(callId);
    }
    process.incarnation++;
    process.claims = this.#newClaims(process.id, process.incarnation);
    process.known = -1;
    process.frozenUntil = 0;
    process.ticking = false;
    const noticed = this.#time + this.#random.next() * 8_000;
    this.#at(noticed, () => {
      this.#changeView(this.#processes);
      this.#announceView();
    });
  }
}
