import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Configuration,
  type Entry,
  SeededRandomness,
  UNSETTLED,
  type View,
} from "#model";
import { AcceptanceTracker } from "./acceptance_tracker.ts";
import {
  applyChange,
  diffConfigurations,
  EMPTY_CONFIGURATION,
} from "./change.ts";
import { ENTRY_LEASE_MS, EntryTable } from "./entry_table.ts";
import { CONFIRMED_FOR_MS, FreshnessTracker } from "./freshness_tracker.ts";

/** Number of random schedules; MANGOBANK_SCHEDULES sets another. */
const SCHEDULES = Number(process.env.MANGOBANK_SCHEDULES ?? 400);
const SINGLE_SEED = process.env.MANGOBANK_SEED;
const ENTRIES = 5;
const STEP_MS = 100;
const STEPS = 400;

interface SimulatedEntry {
  incarnation: number;
  version: number;
  view: View;
  freshness: FreshnessTracker;
  controlReachable: boolean;
  frozenUntil: number;
}

/**
 * Simulates entries and one linearizable log of configurations, with random
 * connection failures, freezes and restarts.
 */
class RandomSchedule {
  readonly #random: SeededRandomness;
  readonly #nodes: SimulatedEntry[];
  readonly #versions: Configuration[] = [EMPTY_CONFIGURATION];
  readonly #table = new EntryTable();
  readonly #acceptance = new AcceptanceTracker();
  readonly #accepted: { version: number; at: number }[] = [];
  #submitted: number[] = [];
  #cutLinks = new Set<string>();
  #now = 0;

  constructor(seed: number) {
    this.#random = new SeededRandomness(seed);
    this.#nodes = Array.from({ length: ENTRIES }, () => this.#newEntry(1));
  }

  get accepted(): number {
    return this.#accepted.length;
  }

  run(): void {
    for (let step = 0; step < STEPS; step++) {
      this.#now += STEP_MS;
      if (step % 20 === 0) this.#injectFaults();
      this.#runControl();
      this.#nodes.forEach((_, index) => {
        this.#heartbeat(index);
      });
      this.#checkInvariants();
    }
  }

  #newEntry(incarnation: number): SimulatedEntry {
    return {
      incarnation,
      version: 0,
      view: EMPTY_CONFIGURATION.view,
      freshness: new FreshnessTracker(),
      controlReachable: true,
      frozenUntil: 0,
    };
  }

  get #latest(): Configuration {
    return this.#versions.at(-1) ?? EMPTY_CONFIGURATION;
  }

  #injectFaults(): void {
    const chance = this.#random.next();
    this.#cutLinks = new Set();
    this.#nodes.forEach((node, a) => {
      node.controlReachable = this.#random.next() > chance * 0.8;
      for (let b = 0; b < a; b++) {
        if (this.#random.next() < chance * 0.6) this.#cutLinks.add(`${b}-${a}`);
      }
      if (this.#random.next() < 0.1) {
        node.frozenUntil = this.#now + this.#random.below(9_000);
      }
      if (this.#random.next() < 0.08) {
        this.#nodes[a] = this.#newEntry(node.incarnation + 1);
      }
    });
  }

  #entryRecord(index: number): Entry {
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
    this.#acceptance.update(next);
  }

  #runControl(): void {
    const { view } = this.#latest;
    const live = this.#table.liveEntries(this.#now);
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
      const done = this.#acceptance.isAccepted(version, this.#table);
      if (done) this.#accepted.push({ version, at: this.#now });
      return !done;
    });
  }

  #settleViews(): void {
    const epochs = this.#acceptance.newlySettledEpochs(this.#table);
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
    if (node.controlReachable) this.#confirmWithControl(node, index);
    if (node.freshness.confirmationAgeMs(this.#now) > 1_500)
      this.#confirmWithPeers(node, index);
  }

  #confirmWithControl(node: SimulatedEntry, index: number): void {
    const sequence = node.freshness.startControlQuery({
      steady: this.#now,
      wall: this.#now,
    });
    if (this.#random.next() < 0.1) return;
    const { version } = node;
    const entry = this.#entryRecord(index);
    const heartbeat = { entry, version, stops: [] };
    this.#table.recordHeartbeat(entry, heartbeat, this.#now);
    const latest = this.#latest;
    // 30% of the responses are lost; 20% of the others carry no change.
    if (this.#random.next() < 0.3) return;
    if (this.#random.next() < 0.8) this.#adopt(node, latest);
    const ownVersion = node.version;
    node.freshness.handleControlResponse({
      sequence,
      version: latest.version,
      ownVersion,
    });
  }

  #confirmWithPeers(node: SimulatedEntry, index: number): void {
    if (node.version === 0) return;
    const round = node.freshness.startPeerQuery({
      view: node.view,
      version: node.version,
      self: this.#entryRecord(index),
      now: this.#now,
    });
    this.#nodes.forEach((other, b) => {
      const link = `${Math.min(index, b)}-${Math.max(index, b)}`;
      if (b === index || this.#cutLinks.has(link)) return;
      if (other.frozenUntil > this.#now) return;
      const peer = this.#entryRecord(b);
      const { version } = other;
      node.freshness.handlePeerResponse({ peer, round, version });
      const peerConfiguration = this.#versions[version];
      if (peerConfiguration && this.#random.next() < 0.7)
        this.#adopt(node, peerConfiguration);
    });
  }

  #adopt(node: SimulatedEntry, configuration: Configuration): void {
    if (configuration.version <= node.version) return;
    node.version = configuration.version;
    node.view = configuration.view;
  }

  #checkInvariants(): void {
    this.#nodes.forEach((node, index) => {
      if (!node.freshness.isFresh(this.#now)) return;
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

  /** Claims rely on no entry using an ended view for more than 3 s. */
  #checkView(node: SimulatedEntry, index: number): void {
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

test("the end of a former view is sent without the view itself", () => {
  const former = { epoch: 1, began: 0, entries: [], ended: UNSETTLED };
  const view = { epoch: 2, began: 5, entries: [] };
  const before = { ...EMPTY_CONFIGURATION, version: 2, view };
  const unsettled = { ...before, formerViews: [former] };
  const settled = {
    ...before,
    version: 3,
    formerViews: [{ ...former, ended: 9 }],
  };
  const change = diffConfigurations(unsettled, settled);
  assert.equal(change.view, undefined);
  assert.deepEqual(applyChange(unsettled, change), settled);
});

test("no entry serves with a configuration older than an accepted one", () => {
  const seeds = SINGLE_SEED
    ? [Number(SINGLE_SEED)]
    : Array.from({ length: SCHEDULES }, (_, seed) => seed);
  let accepted = 0;
  for (const seed of seeds) {
    const schedule = new RandomSchedule(seed);
    try {
      schedule.run();
    } catch (error) {
      const command = `MANGOBANK_SEED=${seed} npm test in_force`;
      throw new Error(`repeat with: ${command}`, { cause: error });
    }
    accepted += schedule.accepted;
  }
  // Guards against runs in which nothing is ever accepted.
  assert.ok(accepted > seeds.length, `${accepted} changes accepted`);
});

test("the loss of a majority delays acceptance until one of it restarts", () => {
  const table = new EntryTable();
  const acceptance = new AcceptanceTracker();
  const address = { host: "127.0.0.1", port: 1 };
  const entry = (id: string, incarnation = 1): Entry => ({
    id,
    incarnation,
    dataCentre: "riga-a",
    http: address,
    peer: address,
    state: "ready",
  });
  const recordHeartbeat = (e: Entry, version: number, now: number) =>
    table.recordHeartbeat(e, { entry: e, version, stops: [] }, now);
  const entries = [entry("a"), entry("b"), entry("c")];
  const first = { epoch: 1, began: 0, entries };
  acceptance.update({ ...EMPTY_CONFIGURATION, version: 1, view: first });
  for (const e of entries) recordHeartbeat(e, 1, 0);
  // Two of three entries fall silent; they may still run behind a partition.
  const now = ENTRY_LEASE_MS + 1;
  const reducedView = { epoch: 2, began: now, entries: [entry("c")] };
  acceptance.update({ ...EMPTY_CONFIGURATION, version: 2, view: reducedView });
  recordHeartbeat(entry("c"), 3, now);
  acceptance.update({ ...EMPTY_CONFIGURATION, version: 3, view: reducedView });
  assert.equal(acceptance.isAccepted(3, table), false);
  assert.equal(acceptance.unsettledViews(table).length, 1);
  // One of them restarts, so its former process has certainly ended.
  recordHeartbeat(entry("a", 2), 3, now);
  assert.equal(acceptance.isAccepted(3, table), true);
});
