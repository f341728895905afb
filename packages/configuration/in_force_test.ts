import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Configuration,
  type Entry,
  SeededRandomness,
  UNSETTLED,
  type View,
} from "#model";
import { Acceptance } from "./acceptance.ts";
import {
  applyChange,
  diffConfigurations,
  EMPTY_CONFIGURATION,
} from "./change.ts";
import { ENTRY_LEASE_MS, EntryTable } from "./entry_table.ts";
import { CONFIRMED_FOR_MS, Freshness } from "./freshness.ts";

/** Schedules in CI; MANGOBANK_SCHEDULES asks for more. */
const SCHEDULES = Number(process.env.MANGOBANK_SCHEDULES ?? 400);
const ONE_SEED = process.env.MANGOBANK_SEED;
const ENTRIES = 5;
const STEP_MS = 100;
const STEPS = 400;

interface Node {
  incarnation: number;
  version: number;
  view: View;
  freshness: Freshness;
  control: boolean;
  frozenUntil: number;
}

/** Entries and one linearizable log, with random cuts, freezes, restarts. */
class Schedule {
  readonly #random: SeededRandomness;
  readonly #nodes: Node[];
  readonly #versions: Configuration[] = [EMPTY_CONFIGURATION];
  readonly #table = new EntryTable();
  readonly #acceptance = new Acceptance();
  readonly #accepted: { version: number; at: number }[] = [];
  #submitted: number[] = [];
  #links = new Set<string>();
  #now = 0;

  constructor(seed: number) {
    this.#random = new SeededRandomness(seed);
    this.#nodes = Array.from({ length: ENTRIES }, () => this.#start(1));
  }

  get accepted(): number {
    return this.#accepted.length;
  }

  run(): void {
    for (let step = 0; step < STEPS; step++) {
      this.#now += STEP_MS;
      if (step % 20 === 0) this.#faults();
      this.#control();
      this.#nodes.forEach((_, index) => {
        this.#heartbeat(index);
      });
      this.#check();
    }
  }

  #start(incarnation: number): Node {
    return {
      incarnation,
      version: 0,
      view: EMPTY_CONFIGURATION.view,
      freshness: new Freshness(),
      control: true,
      frozenUntil: 0,
    };
  }

  get #latest(): Configuration {
    return this.#versions.at(-1) ?? EMPTY_CONFIGURATION;
  }

  #faults(): void {
    const chance = this.#random.next();
    this.#links = new Set();
    this.#nodes.forEach((node, a) => {
      node.control = this.#random.next() > chance * 0.8;
      for (let b = 0; b < a; b++) {
        if (this.#random.next() < chance * 0.6) this.#links.add(`${b}-${a}`);
      }
      if (this.#random.next() < 0.1) {
        node.frozenUntil = this.#now + this.#random.below(9_000);
      }
      if (this.#random.next() < 0.08) {
        this.#nodes[a] = this.#start(node.incarnation + 1);
      }
    });
  }

  #entry(index: number): Entry {
    const address = { host: "127.0.0.1", port: 1 };
    return {
      id: `e${index}`,
      incarnation: this.#nodes[index]?.incarnation ?? 0,
      dataCentre: "riga-a",
      http: address,
      peer: address,
      state: "ready",
    };
  }

  #commit(change: Partial<Configuration>): void {
    const version = this.#latest.version + 1;
    const next = { ...this.#latest, ...change, version };
    this.#versions.push(next);
    this.#acceptance.advance(next);
  }

  #control(): void {
    const { view } = this.#latest;
    const live = this.#table.live(this.#now);
    const entries = live.flatMap(({ entry }) => (entry ? [entry] : []));
    entries.sort((a, b) => (a.id < b.id ? -1 : 1));
    const before = view.entries.map((e) => `${e.id}#${e.incarnation}`).join();
    const after = entries.map((e) => `${e.id}#${e.incarnation}`).join();
    if (before !== after) {
      const epoch = view.epoch + 1;
      const former = { ...view, ended: UNSETTLED };
      this.#commit({
        view: { epoch, began: this.#now, entries },
        formerViews: [...this.#latest.formerViews, former],
      });
    }
    this.#settleViews();
    if (this.#random.next() < 0.05) {
      this.#commit({});
      this.#submitted.push(this.#latest.version);
    }
    this.#submitted = this.#submitted.filter((version) => {
      const done = this.#acceptance.accepted(version, this.#table);
      if (done) this.#accepted.push({ version, at: this.#now });
      return !done;
    });
  }

  #settleViews(): void {
    const epochs = this.#acceptance.newlySettled(this.#table);
    if (epochs.length === 0) return;
    const formerViews = this.#latest.formerViews.map((view) =>
      epochs.includes(view.epoch) ? { ...view, ended: this.#now } : view,
    );
    this.#commit({ formerViews });
  }

  #heartbeat(index: number): void {
    const node = this.#nodes[index];
    if (!node || node.frozenUntil > this.#now) return;
    if (this.#random.next() < 0.7) return;
    if (node.control) this.#confirm(node, index);
    if (node.freshness.age(this.#now) > 1_500) this.#askPeers(node, index);
  }

  #confirm(node: Node, index: number): void {
    const sequence = node.freshness.ask(this.#now);
    if (this.#random.next() < 0.1) return;
    const { version } = node;
    const entry = this.#entry(index);
    const heartbeat = { entry, version, stops: [] };
    this.#table.confirmed(entry, heartbeat, this.#now);
    const latest = this.#latest;
    // Half of the answers are lost or carry no change.
    if (this.#random.next() < 0.3) return;
    if (this.#random.next() < 0.8) this.#adopt(node, latest);
    const ownVersion = node.version;
    node.freshness.answered({
      sequence,
      version: latest.version,
      ownVersion,
    });
  }

  #askPeers(node: Node, index: number): void {
    if (node.version === 0) return;
    const round = node.freshness.askPeers({
      view: node.view,
      version: node.version,
      self: this.#entry(index),
      now: this.#now,
    });
    this.#nodes.forEach((other, b) => {
      const link = `${Math.min(index, b)}-${Math.max(index, b)}`;
      if (b === index || this.#links.has(link)) return;
      if (other.frozenUntil > this.#now) return;
      const peer = this.#entry(b);
      const { version } = other;
      node.freshness.peerAnswered({ peer, round, version });
      const pushed = this.#versions[version];
      if (pushed && this.#random.next() < 0.7) this.#adopt(node, pushed);
    });
  }

  #adopt(node: Node, configuration: Configuration): void {
    if (configuration.version <= node.version) return;
    node.version = configuration.version;
    node.view = configuration.view;
  }

  #check(): void {
    this.#nodes.forEach((node, index) => {
      if (!node.freshness.fresh(this.#now)) return;
      for (const { version, at } of this.#accepted) {
        if (this.#now <= at + CONFIRMED_FOR_MS) continue;
        assert.ok(
          node.version >= version,
          `e${index} serves ${node.version} at ${this.#now} ms; ` +
            `${version} was accepted at ${at} ms`,
        );
      }
      this.#checkView(node, index);
    });
  }

  /** Claims rely on it that an ended view is out of use after 3 s. */
  #checkView(node: Node, index: number): void {
    const former = this.#latest.formerViews.find(
      ({ epoch }) => epoch === node.view.epoch,
    );
    if (!former || this.#now <= former.ended + CONFIRMED_FOR_MS) return;
    assert.fail(
      `e${index} uses view ${former.epoch} at ${this.#now} ms, ` +
        `which ended at ${former.ended} ms`,
    );
  }
}

test("a view that has ended comes as an end, not as a new view", () => {
  const former = { epoch: 1, began: 0, entries: [], ended: UNSETTLED };
  const view = { epoch: 2, began: 5, entries: [] };
  const before = { ...EMPTY_CONFIGURATION, version: 2, view };
  const open = { ...before, formerViews: [former] };
  const ended = {
    ...before,
    version: 3,
    formerViews: [{ ...former, ended: 9 }],
  };
  const change = diffConfigurations(open, ended);
  assert.equal(change.view, undefined);
  assert.deepEqual(applyChange(open, change), ended);
});

test("no entry serves with a configuration older than an accepted one", () => {
  const seeds = ONE_SEED
    ? [Number(ONE_SEED)]
    : Array.from({ length: SCHEDULES }, (_, seed) => seed);
  let accepted = 0;
  for (const seed of seeds) {
    const schedule = new Schedule(seed);
    try {
      schedule.run();
    } catch (error) {
      const command = `MANGOBANK_SEED=${seed} npm test in_force`;
      throw new Error(`repeat with: ${command}`, { cause: error });
    }
    accepted += schedule.accepted;
  }
  // A run in which nothing is ever accepted would prove nothing.
  assert.ok(accepted > seeds.length, `${accepted} changes accepted`);
});

test("a majority lost at once holds changes up until it restarts", () => {
  const table = new EntryTable();
  const acceptance = new Acceptance();
  const address = { host: "127.0.0.1", port: 1 };
  const entry = (id: string, incarnation = 1): Entry => ({
    id,
    incarnation,
    dataCentre: "riga-a",
    http: address,
    peer: address,
    state: "ready",
  });
  const see = (e: Entry, version: number, now: number) =>
    table.confirmed(e, { entry: e, version, stops: [] }, now);
  const three = [entry("a"), entry("b"), entry("c")];
  const first = { epoch: 1, began: 0, entries: three };
  acceptance.advance({ ...EMPTY_CONFIGURATION, version: 1, view: first });
  for (const e of three) see(e, 1, 0);
  // Two of three fall silent; they may be alive beyond a partition.
  const now = ENTRY_LEASE_MS + 1;
  const alone = { epoch: 2, began: now, entries: [entry("c")] };
  acceptance.advance({ ...EMPTY_CONFIGURATION, version: 2, view: alone });
  see(entry("c"), 3, now);
  acceptance.advance({ ...EMPTY_CONFIGURATION, version: 3, view: alone });
  assert.equal(acceptance.accepted(3, table), false);
  assert.equal(acceptance.unsettledViews(table).length, 1);
  // One of them restarts: its former process is gone for certain.
  see(entry("a", 2), 3, now);
  assert.equal(acceptance.accepted(3, table), true);
});
