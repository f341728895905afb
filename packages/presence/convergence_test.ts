import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BackendServer,
  type HostId,
  SeededRandomness,
  type View,
} from "#model";
import {
  AdaptiveDissemination,
  type Dissemination,
  RelayDissemination,
} from "./dissemination.ts";
import {
  entriesAcross,
  linkedByRelays,
  RELIABLE_NETWORK,
  Simulation,
  server,
} from "./testing/simulation.ts";
import {
  EXPIRY_SCAN_INTERVAL_MS,
  LEASE_MS,
  RENEW_INTERVAL_MS,
} from "./timings.ts";

const RUNS = Number(process.env.RUNS ?? 40);
const SEEDS = process.env.SEED
  ? [Number(process.env.SEED)]
  : Array.from({ length: RUNS }, (_, i) => 1_000 + i);

const UNRELIABLE_NETWORK = { loss: 0.1, duplication: 0.1, maxDelayMs: 600 };
/** Messages that a record may pass on its way; each adds its delay. */
const MAX_RELAYS = 3;
const STEP_MS = 50;
const MAX_EXTRA_LEASE_MS =
  MAX_RELAYS * (UNRELIABLE_NETWORK.maxDelayMs + STEP_MS) +
  EXPIRY_SCAN_INTERVAL_MS;
const MAX_STRAY_DELAY_MS = 4_000;

/** A backend server whose announcements may be lost, delayed or duplicated. */
class SimulatedServer {
  current: BackendServer;
  running = true;
  entry: string;
  nextAnnouncementAt = 0;

  constructor(id: string, entry: string) {
    this.current = server(id);
    this.entry = entry;
  }
}

/** Runs entries and servers with random faults and checks invariants. */
class ChaosRun {
  readonly sim: Simulation;
  readonly #random: SeededRandomness;
  readonly #servers: SimulatedServer[];
  readonly #ids: string[];
  /** Time until which a record may be registered, by `id@incarnation`. */
  readonly #leaseEnds = new Map<string, number>();
  /** Incarnations that have left, as `id@incarnation`, by running entry. */
  readonly #leavesSeen = new Map<unknown, Set<string>>();
  #delayedAnnouncements: { at: number; run: () => void }[] = [];
  faultsStopped = false;

  constructor(seed: number, strategy: Strategy) {
    const dataCentres = ["riga-a", "riga-b", "jelgava"];
    const { count = 7, ...options } = strategy;
    const entries = entriesAcross(count, dataCentres);
    this.sim = new Simulation({ seed, entries, ...options });
    this.#random = new SeededRandomness(seed + 1);
    this.#ids = Object.keys(entries);
    this.#servers = Array.from(
      { length: 6 },
      (_, i) => new SimulatedServer(`w${i}`, this.#anyEntry()),
    );
    this.sim.onOtherEffect = (at, effect) => {
      if (effect.type !== "gone" || effect.reason !== "left") return;
      const presence = this.sim.entry(at);
      const left = this.#leavesSeen.get(presence) ?? new Set();
      left.add(`${effect.server.id}@${effect.server.incarnation}`);
      this.#leavesSeen.set(presence, left);
    };
  }

  step(): void {
    if (!this.faultsStopped) this.#injectFault();
    for (const simulated of this.#servers) this.#runServer(simulated);
    const due = this.#delayedAnnouncements.filter(
      ({ at }) => at <= this.sim.now,
    );
    this.#delayedAnnouncements = this.#delayedAnnouncements.filter(
      ({ at }) => at > this.sim.now,
    );
    for (const { run } of due) run();
    this.#checkInvariants();
  }

  /** What every entry must know once the faults have stopped. */
  expected(): string[] {
    return this.#servers
      .filter(({ running }) => running)
      .map(({ current: c }) => `${c.id}@${c.incarnation}:${c.state}`);
  }

  stopFaults(): void {
    this.faultsStopped = true;
    this.sim.network = RELIABLE_NETWORK;
    this.sim.heal();
    for (const id of this.#ids) {
      this.sim.unfreeze(id);
      if (!this.sim.entries.has(id)) this.sim.start(id);
    }
  }

  #injectFault(): void {
    if (this.#random.next() > 0.03) return;
    const id = this.#anyEntry();
    const faults = [
      () => this.sim.kill(id),
      () => this.sim.start(id),
      () => this.sim.freeze(id),
      () => this.sim.unfreeze(id),
      () =>
        this.sim.partition(this.#ids.filter(() => this.#random.next() < 0.4)),
      () => this.sim.dropTraffic(id, this.#anyEntry()),
      () => this.sim.heal(),
      () => {
        this.sim.network =
          this.#random.next() < 0.5 ? UNRELIABLE_NETWORK : RELIABLE_NETWORK;
      },
    ];
    faults[this.#random.below(faults.length)]?.();
  }

  #runServer(simulated: SimulatedServer): void {
    if (!this.faultsStopped && this.#random.next() < 0.01)
      this.#changeServer(simulated);
    if (!simulated.running || this.sim.now < simulated.nextAnnouncementAt)
      return;
    const sequence = simulated.current.sequence + 1;
    simulated.current = { ...simulated.current, sequence };
    simulated.nextAnnouncementAt = this.sim.now + RENEW_INTERVAL_MS;
    const sent = simulated.current;
    if (this.faultsStopped || this.#random.next() < 0.7)
      this.#announce(simulated, sent);
    // Also deliver it late, as a duplicate or out of order, at any entry.
    if (this.faultsStopped || this.#random.next() < 0.7) return;
    const stray = new SimulatedServer(sent.id, this.#anyEntry());
    const at = this.sim.now + this.#random.below(MAX_STRAY_DELAY_MS);
    this.#delayedAnnouncements.push({
      at,
      run: () => this.#announce(stray, sent),
    });
  }

  #announce(simulated: SimulatedServer, sent: BackendServer): void {
    const entry = this.sim.entries.get(simulated.entry);
    const accepted = entry && this.sim.announce(simulated.entry, sent);
    if (accepted?.isOk()) {
      const until = this.sim.now + accepted.value.lease_ms;
      const key = `${sent.id}@${sent.incarnation}`;
      this.#leaseEnds.set(key, Math.max(until, this.#leaseEnds.get(key) ?? 0));
      return;
    }
    simulated.entry = this.#anyEntry();
    simulated.nextAnnouncementAt = this.sim.now + 250;
  }

  #changeServer(simulated: SimulatedServer): void {
    const { incarnation } = simulated.current;
    const kind = this.#random.below(4);
    if (!simulated.running || kind === 0) {
      simulated.current = server(simulated.current.id, {
        incarnation: incarnation + 1,
        sequence: 0,
      });
      simulated.running = true;
      simulated.nextAnnouncementAt = 0;
    } else if (kind === 1) {
      const state = simulated.current.state === "ready" ? "unhealthy" : "ready";
      simulated.current = { ...simulated.current, state };
      simulated.nextAnnouncementAt = 0;
    } else {
      simulated.running = false;
      if (kind === 2) this.#leave(simulated);
    }
  }

  #leave(simulated: SimulatedServer): void {
    const at = this.#anyEntry();
    if (this.sim.entries.has(at)) this.sim.leave(at, simulated.current);
  }

  #checkInvariants(): void {
    for (const [id, entry] of this.sim.entries) {
      for (const record of this.sim.visibleServers(id)) {
        const key = record.split(":")[0] ?? "";
        const left = this.#leavesSeen.get(entry)?.has(key);
        assert.ok(!left, `${id} restored ${key} after it had left`);
        const leaseEnd = this.#leaseEnds.get(key) ?? 0;
        const overdueMs = this.sim.now - leaseEnd;
        assert.ok(
          overdueMs <= MAX_EXTRA_LEASE_MS,
          `${id} still has ${key} ${overdueMs} ms after its lease`,
        );
      }
    }
  }

  #anyEntry(): string {
    return this.#ids[this.#random.below(this.#ids.length)] ?? "";
  }
}

/** Number of entries, how they are linked and what is sent to whom. */
interface Strategy {
  readonly count?: number;
  readonly dissemination?: () => Dissemination;
  readonly linked?: (view: View, a: HostId, b: HostId) => boolean;
  readonly maxMeshEntries?: number;
}

const STRATEGIES: readonly [string, Strategy][] = [
  ["mesh", {}],
  ["relays", { dissemination: () => new RelayDissemination() }],
  [
    "mesh or relays by size",
    { dissemination: () => new AdaptiveDissemination() },
  ],
  [
    "links to relays only",
    { count: 15, linked: linkedByRelays(0), maxMeshEntries: 0 },
  ],
];

for (const [name, strategy] of STRATEGIES) {
  test(`${name}: entries converge, drop ended leases and restore no left server`, () => {
    for (const seed of SEEDS) {
      try {
        const run = new ChaosRun(seed, strategy);
        run.sim.run(40_000, () => run.step());
        run.stopFaults();
        // A late announcement may be accepted last and lasts for one lease.
        const settleMs =
          MAX_STRAY_DELAY_MS + LEASE_MS + RENEW_INTERVAL_MS + 3_000;
        run.sim.run(settleMs, () => run.step());
        const expected = run.expected();
        assert.deepEqual(run.sim.entriesNotSeeing(expected), []);
      } catch (cause) {
        const repeat = `SEED=${seed} node scripts/test.mjs presence/convergence`;
        throw new Error(`seed ${seed} failed; repeat with: ${repeat}`, {
          cause,
        });
      }
    }
  });
}
