import {
  ConsensusCore,
  type ConsensusMessage,
  type Effect,
  hostOf,
  type MemberChange,
} from "#agreement";
import { SeededRandomness } from "#model";
import { MemoryDisk } from "./memory_storage.ts";
import { History } from "./test_history.ts";

const TICK_MS = 100;
const LIMITS = {
  snapshotEveryEntries: 20,
  keptEntries: 4,
  chunkBytes: 64,
  noQuorumAfterMs: 1_500,
  unknownAfterMs: 3_000,
};

/** Chances per message; times in milliseconds. */
export interface Weather {
  readonly loss: number;
  readonly duplication: number;
  readonly delay: number;
  readonly syncDelay: number;
}

const CALM_NETWORK = { loss: 0, duplication: 0, delay: 2 };
export const CALM: Weather = { ...CALM_NETWORK, syncDelay: 3 };

/** One simulated control host; its core is absent while it is down. */
export class SimulatedHost {
  readonly id: string;
  disk: MemoryDisk;
  core: ConsensusCore | undefined;
  /** Grows with each start, so that work of a former life is dropped. */
  life = 0;
  isBusy = false;
  isFrozen = false;
  /** What arrives while the host is frozen. */
  held: (() => void)[] = [];
  commands: string[] = [];
  applied = 0;

  constructor(id: string, disk: MemoryDisk) {
    this.id = id;
    this.disk = disk;
  }
}

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Hosts, disks and a network in virtual time; all chance is seeded. */
export class Simulation {
  readonly random: SeededRandomness;
  readonly hosts: SimulatedHost[];
  readonly founders: string[];
  readonly history = new History();
  weather: Weather = CALM;
  now = 0;
  /** Ordered pairs of hosts between which messages vanish silently. */
  readonly blocked = new Set<string>();
  #queue: Timed[] = [];
  #order = 0;
  #requests = 0;
  #identities = 0;

  constructor(options: { seed: number; size: number; isFormed: boolean }) {
    this.random = new SeededRandomness(options.seed);
    this.founders = [..."abcdefg"].slice(0, options.size);
    this.hosts = this.founders.map((id) => {
      return new SimulatedHost(id, this.#emptyDisk());
    });
    if (options.isFormed) this.#form();
    for (const host of this.hosts) this.start(host);
  }

  at(delay: number, run: () => void): void {
    const event = { at: this.now + delay, order: this.#order++, run };
    let low = 0;
    let high = this.#queue.length;
    // The queue is in descending order, so that the next event is at its end.
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#queue[middle] as Timed;
      const isLater =
        other.at > event.at ||
        (other.at === event.at && other.order > event.order);
      if (isLater) low = middle + 1;
      else high = middle;
    }
    this.#queue.splice(low, 0, event);
  }

  /** Runs all events of a period. */
  run(ms: number): void {
    const end = this.now + ms;
    for (;;) {
      const event = this.#queue.at(-1);
      if (!event || event.at > end) break;
      this.#queue.pop();
      this.now = event.at;
      event.run();
    }
    this.now = end;
  }

  /** Runs until a condition holds; false if it does not in time. */
  runUntil(condition: () => unknown, limitMs = 20_000): boolean {
    const end = this.now + limitMs;
    while (!condition()) {
      if (this.now >= end) return false;
      this.run(20);
    }
    return true;
  }

  host(id: string): SimulatedHost {
    return this.hosts.find((host) => host.id === id) as SimulatedHost;
  }

  /** The running leader of the highest term. */
  leader(): SimulatedHost | undefined {
    const statusOf = (host: SimulatedHost) => host.core?.status(this.now);
    const termOf = (host: SimulatedHost) => statusOf(host)?.term ?? 0;
    return this.hosts
      .filter((host) => statusOf(host)?.role === "leader")
      .sort((a, b) => termOf(b) - termOf(a))[0];
  }

  start(host: SimulatedHost): void {
    if (host.core) return;
    host.life++;
    host.isBusy = false;
    host.isFrozen = false;
    host.held = [];
    host.commands = [];
    host.applied = 0;
    host.core = new ConsensusCore({
      host: host.id,
      founders: this.founders,
      stored: host.disk.state(),
      randomness: this.random,
      limits: LIMITS,
      now: this.now,
    });
    this.#tick(host, host.life);
  }

  /** Loses the memory and a random part of what was not synced. */
  crash(host: SimulatedHost): void {
    host.core = undefined;
    host.life++;
    host.disk.crash(this.random.below(host.disk.stagedWrites + 1));
  }

  /** Loses the data folder. */
  loseDisk(host: SimulatedHost): void {
    this.crash(host);
    host.disk = this.#emptyDisk();
  }

  freeze(host: SimulatedHost, ms: number): void {
    if (!host.core || host.isFrozen) return;
    host.isFrozen = true;
    const { life } = host;
    this.at(ms, () => {
      if (host.life !== life) return;
      host.isFrozen = false;
      const held = host.held;
      host.held = [];
      for (const run of held) run();
    });
  }

  /** Silently separates one group of hosts from the rest. */
  partition(group: readonly string[], isOneWay = false): void {
    for (const { id: from } of this.hosts) {
      for (const { id: to } of this.hosts) {
        if (group.includes(from) === group.includes(to)) continue;
        if (isOneWay && group.includes(from)) continue;
        this.blocked.add(`${from}>${to}`);
      }
    }
  }

  submit(host: SimulatedHost): string {
    const id = `r${++this.#requests}`;
    if (!host.core || host.isFrozen) return id;
    this.history.submitted(id, host.id, host.life);
    host.core.propose(id, Buffer.from(id), this.now);
    this.#schedule(host);
    return id;
  }

  read(host: SimulatedHost): string {
    const id = `r${++this.#requests}`;
    if (!host.core || host.isFrozen) return id;
    this.history.readStarted(id);
    host.core.read(id, this.now);
    this.#schedule(host);
    return id;
  }

  change(host: SimulatedHost, change: MemberChange): string {
    const id = `r${++this.#requests}`;
    if (!host.core || host.isFrozen) return id;
    this.history.submitted(id, host.id, host.life);
    host.core.changeMembers(id, change, this.now);
    this.#schedule(host);
    return id;
  }

  #emptyDisk(): MemoryDisk {
    return new MemoryDisk(`i${++this.#identities}`);
  }

  #form(): void {
    const members = this.hosts.map((host) => this.keyOf(host));
    const convener = members[0] ?? "";
    const cluster = "formed";
    const formed = { cluster, convener, attempt: 1, members, formed: true };
    for (const { disk } of this.hosts) {
      disk.stage([{ type: "founding", founding: formed }]);
      disk.sync();
    }
  }

  #tick(host: SimulatedHost, life: number): void {
    this.#input(host, life, () => host.core?.tick(this.now));
    if (host.life === life) this.at(TICK_MS, () => this.#tick(host, life));
  }

  /** Gives something to a host, or keeps it until the host is thawed. */
  #input(host: SimulatedHost, life: number, give: () => void): void {
    if (host.life !== life || !host.core) return;
    if (host.isFrozen) {
      host.held.push(() => this.#input(host, life, give));
      return;
    }
    give();
    this.#schedule(host);
  }

  #schedule(host: SimulatedHost): void {
    if (host.isBusy) return;
    host.isBusy = true;
    const { life } = host;
    this.at(0, () => {
      if (host.life !== life) return;
      host.isBusy = false;
      this.#flush(host, life);
    });
  }

  #flush(host: SimulatedHost, life: number): void {
    const effects = host.core?.flush(this.now) ?? [];
    const writes = effects.flatMap((e) =>
      e.type === "persist" ? [e.write] : [],
    );
    if (effects.length === 0) return;
    if (writes.length === 0) {
      this.#carryOut(host, effects);
      this.#schedule(host);
      return;
    }
    host.disk.stage(writes);
    host.isBusy = true;
    this.at(1 + this.random.below(this.weather.syncDelay), () => {
      this.#input(host, life, () => {
        host.disk.sync();
        host.isBusy = false;
        this.#carryOut(host, effects);
        const last = writes.findLast(({ type }) => type === "entries");
        const entry = last?.type === "entries" && last.entries.at(-1);
        if (entry) host.core?.handlePersisted(entry.index, entry.term);
      });
    });
  }

  #carryOut(host: SimulatedHost, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type === "send") this.#send(host, effect);
      else if (effect.type === "snapshot") {
        const bytes = Buffer.from(JSON.stringify(host.commands));
        host.core?.handleSnapshot(effect, bytes);
      } else this.history.observe(host, effect);
    }
  }

  #send(host: SimulatedHost, effect: Extract<Effect, { type: "send" }>): void {
    const target = this.hosts.find(({ id }) => id === effect.to);
    if (!target || this.blocked.has(`${host.id}>${target.id}`)) return;
    const { loss, duplication, delay } = this.weather;
    const copies = this.random.next() < duplication ? 2 : 1;
    const from = host.id;
    const message = { kind: effect.kind, payload: effect.payload };
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.next() < loss) continue;
      this.at(1 + this.random.below(delay), () => {
        this.#input(target, target.life, () =>
          target.core?.receive(from, message as ConsensusMessage, this.now),
        );
      });
    }
  }

  /** Whether the voters of the newest membership can go on by themselves. */
  canRecover(): boolean {
    const statuses = this.hosts.flatMap(
      ({ core }) => core?.status(this.now) ?? [],
    );
    const present = new Set(statuses.map(({ self }) => self));
    const formed = statuses.filter(({ phase }) => phase === "formed");
    return (
      formed.length > 0 &&
      formed.every(({ membership: { voters } }) => {
        const alive = voters.filter((member) => present.has(member));
        return alive.length > voters.length / 2;
      })
    );
  }

  /** What each host knows, for the message of a failed check. */
  describe(): string {
    return this.hosts
      .map(({ id, core }) => `${id}: ${JSON.stringify(core?.status(this.now))}`)
      .join("\n");
  }

  /** The member that a host's folder holds. */
  keyOf(host: SimulatedHost | undefined): string {
    return host ? `${host.id}/${host.disk.state().identity}` : "";
  }

  /** Whether a member's folder is lost for good. */
  isLost(member: string): boolean {
    const host = this.hosts.find(({ id }) => id === hostOf(member));
    return this.keyOf(host) !== member;
  }
}
