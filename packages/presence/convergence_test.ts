import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, SeededRandomness } from "#model";
import { AdaptiveSpread, RelaySpread, type Spread } from "./spread.ts";
import { CALM, entriesIn, Simulation, server } from "./testing/simulation.ts";
import { EXPIRY_SCAN_MS, LEASE_MS, RENEW_MS } from "./timings.ts";

const RUNS = Number(process.env.RUNS ?? 40);
const SEEDS = process.env.SEED
  ? [Number(process.env.SEED)]
  : Array.from({ length: RUNS }, (_, i) => 1_000 + i);

const CHAOS = { loss: 0.1, duplication: 0.1, maxDelayMs: 600 };
/** A record that helpers relay gains the delay of each message. */
const HOPS = 3;
const STEP_MS = 50;
const SLACK_MS = HOPS * (CHAOS.maxDelayMs + STEP_MS) + EXPIRY_SCAN_MS;
const MAX_PUT_DELAY_MS = 4_000;

/** A backend server that announces itself through an unreliable network. */
class Actor {
  current: BackendServer;
  alive = true;
  at: string;
  nextAnnouncement = 0;

  constructor(id: string, at: string) {
    this.current = server(id);
    this.at = at;
  }
}

class Chaos {
  readonly sim: Simulation;
  readonly #random: SeededRandomness;
  readonly #actors: Actor[];
  readonly #ids: string[];
  /** Time until which a record may be listed, by `id@incarnation`. */
  readonly #leases = new Map<string, number>();
  /** What each running entry has seen leave, by `id@incarnation`. */
  readonly #left = new Map<unknown, Set<string>>();
  #delayed: { at: number; run: () => void }[] = [];
  calm = false;

  constructor(seed: number, spread?: () => Spread) {
    const dataCentres = ["riga-a", "riga-b", "jelgava"];
    const entries = entriesIn(7, dataCentres);
    this.sim = new Simulation({ seed, entries, spread });
    this.#random = new SeededRandomness(seed + 1);
    this.#ids = Object.keys(entries);
    this.#actors = Array.from(
      { length: 6 },
      (_, i) => new Actor(`w${i}`, this.#anyEntry()),
    );
    this.sim.noted = (at, effect) => {
      if (effect.type !== "gone" || effect.reason !== "left") return;
      const presence = this.sim.entry(at);
      const left = this.#left.get(presence) ?? new Set();
      left.add(`${effect.server.id}@${effect.server.incarnation}`);
      this.#left.set(presence, left);
    };
  }

  step(): void {
    if (!this.calm) this.#fault();
    for (const actor of this.#actors) this.#act(actor);
    const due = this.#delayed.filter(({ at }) => at <= this.sim.now);
    this.#delayed = this.#delayed.filter(({ at }) => at > this.sim.now);
    for (const { run } of due) run();
    this.#check();
  }

  /** What every entry must see once all is calm. */
  expected(): string[] {
    return this.#actors
      .filter(({ alive }) => alive)
      .map(({ current: c }) => `${c.id}@${c.incarnation}:${c.state}`);
  }

  end(): void {
    this.calm = true;
    this.sim.weather = CALM;
    this.sim.heal();
    for (const id of this.#ids) {
      this.sim.thaw(id);
      if (!this.sim.entries.has(id)) this.sim.start(id);
    }
  }

  #fault(): void {
    if (this.#random.next() > 0.03) return;
    const id = this.#anyEntry();
    const faults = [
      () => this.sim.kill(id),
      () => this.sim.start(id),
      () => this.sim.freeze(id),
      () => this.sim.thaw(id),
      () =>
        this.sim.partition(this.#ids.filter(() => this.#random.next() < 0.4)),
      () => this.sim.cut(id, this.#anyEntry()),
      () => this.sim.heal(),
      () => {
        this.sim.weather = this.#random.next() < 0.5 ? CHAOS : CALM;
      },
    ];
    faults[this.#random.below(faults.length)]?.();
  }

  #act(actor: Actor): void {
    if (!this.calm && this.#random.next() < 0.01) this.#change(actor);
    if (!actor.alive || this.sim.now < actor.nextAnnouncement) return;
    const sequence = actor.current.sequence + 1;
    actor.current = { ...actor.current, sequence };
    actor.nextAnnouncement = this.sim.now + RENEW_MS;
    const sent = actor.current;
    if (this.calm || this.#random.next() < 0.7) this.#put(actor, sent);
    // A duplicate, or an announcement that is overtaken, at any entry.
    if (this.calm || this.#random.next() < 0.7) return;
    const stray = new Actor(sent.id, this.#anyEntry());
    const at = this.sim.now + this.#random.below(MAX_PUT_DELAY_MS);
    this.#delayed.push({ at, run: () => this.#put(stray, sent) });
  }

  #put(actor: Actor, sent: BackendServer): void {
    const entry = this.sim.entries.get(actor.at);
    const accepted = entry && this.sim.announce(actor.at, sent);
    if (accepted?.isOk()) {
      const until = this.sim.now + accepted.value.lease_ms;
      const key = `${sent.id}@${sent.incarnation}`;
      this.#leases.set(key, Math.max(until, this.#leases.get(key) ?? 0));
      return;
    }
    actor.at = this.#anyEntry();
    actor.nextAnnouncement = this.sim.now + 250;
  }

  #change(actor: Actor): void {
    const { incarnation } = actor.current;
    const kind = this.#random.below(4);
    if (!actor.alive || kind === 0) {
      actor.current = server(actor.current.id, {
        incarnation: incarnation + 1,
        sequence: 0,
      });
      actor.alive = true;
      actor.nextAnnouncement = 0;
    } else if (kind === 1) {
      const state = actor.current.state === "ready" ? "unhealthy" : "ready";
      actor.current = { ...actor.current, state };
      actor.nextAnnouncement = 0;
    } else {
      actor.alive = false;
      if (kind === 2) this.#leave(actor);
    }
  }

  #leave(actor: Actor): void {
    const at = this.#anyEntry();
    if (this.sim.entries.has(at)) this.sim.leave(at, actor.current);
  }

  #check(): void {
    for (const [id, entry] of this.sim.entries) {
      for (const record of this.sim.seen(id)) {
        const key = record.split(":")[0] ?? "";
        const left = this.#left.get(entry)?.has(key);
        assert.ok(!left, `${id} brought ${key} back after it had left`);
        const until = this.#leases.get(key) ?? 0;
        const late = this.sim.now - until;
        assert.ok(late <= SLACK_MS, `${id} has ${key} ${late} ms too long`);
      }
    }
  }

  #anyEntry(): string {
    return this.#ids[this.#random.below(this.#ids.length)] ?? "";
  }
}

const SPREADS: readonly [string, (() => Spread) | undefined][] = [
  ["mesh", undefined],
  ["relays", () => new RelaySpread()],
  ["the spread of small and large sites", () => new AdaptiveSpread()],
];

for (const [name, spread] of SPREADS) {
  test(`${name}: guards against lasting disagreement, returns, endless leases`, () => {
    for (const seed of SEEDS) {
      try {
        const chaos = new Chaos(seed, spread);
        chaos.sim.run(40_000, () => chaos.step());
        chaos.end();
        // A stray announcement may take effect last, for one lease.
        const quiet = MAX_PUT_DELAY_MS + LEASE_MS + RENEW_MS + 3_000;
        chaos.sim.run(quiet, () => chaos.step());
        const expected = chaos.expected();
        assert.deepEqual(chaos.sim.disagreeing(expected), []);
      } catch (cause) {
        const repeat = `SEED=${seed} node scripts/test.mjs presence/convergence`;
        throw new Error(`seed ${seed} failed; repeat with: ${repeat}`, {
          cause,
        });
      }
    }
  });
}
