import {
  ConsensusCore,
  type ConsensusMessage,
  type Effect,
  founderIdentity,
  hostOf,
  type MemberChange,
  type StorageWrite,
} from "#agreement";
import { SeededRandomness } from "#model";
import { MemoryDisk } from "./memory_storage.ts";
import { History } from "./test_history.ts";

const TICK_MS = 100;
/** As `runControl` does after a failed write or a failed start. */
const REOPEN_DELAY_MS = 500;
const PROBE_INTERVAL_MS = 100;
const LIMITS = {
  snapshotEveryEntries: 20,
  keptEntries: 4,
  chunkBytes: 64,
  noQuorumAfterMs: 1_500,
  unknownAfterMs: 3_000,
};

/** The faults of the simulated network and disks. */
export interface FaultRates {
  /** Probability that a message is lost. */
  readonly loss: number;
  /** Probability that a message is sent twice. */
  readonly duplication: number;
  /** Longest delay of a message, in milliseconds. */
  readonly delay: number;
  /** Longest duration of a sync, in milliseconds. */
  readonly syncDelay: number;
}

const RELIABLE_NETWORK = { loss: 0, duplication: 0, delay: 2 };
export const NO_FAULTS: FaultRates = { ...RELIABLE_NETWORK, syncDelay: 3 };

/**
 * What a disk takes: `small` has room for votes and bindings but not for entries
 * and snapshots, `none` for nothing, and with `closed` the folder cannot be
 * opened either.
 */
export type DiskRoom = "all" | "small" | "none" | "closed";

/** A simulated control host; it has no core while it is down. */
export class SimulatedHost {
  readonly id: string;
  disk: MemoryDisk;
  room: DiskRoom = "all";
  /** When the disk, which stalls until then, completes a sync again. */
  stalledUntil = 0;
  core: ConsensusCore | undefined;
  /**
   * Increases with each start and crash; events of an earlier one are dropped.
   */
  incarnation = 0;
  /** It was replaced by another host and does not start again. */
  isRemoved = false;
  isFlushing = false;
  isFrozen = false;
  /** Inputs that arrived while the host was frozen. */
  deferredInputs: (() => void)[] = [];
  commands: string[] = [];
  applied = 0;

  constructor(id: string, disk: MemoryDisk) {
    this.id = id;
    this.disk = disk;
  }

  /** Whether the disk has room for some writes. */
  takes(writes: readonly StorageWrite[]): boolean {
    if (this.room === "all") return true;
    return (
      this.room === "small" &&
      writes.every(({ type }) => type === "vote" || type === "founding")
    );
  }
}

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Simulates hosts, disks and a network in virtual time, from a random seed. */
export class Simulation {
  readonly random: SeededRandomness;
  readonly hosts: SimulatedHost[];
  readonly founders: string[];
  /** The seeds of a system whose hosts are told its first start; empty if not. */
  readonly seeds: readonly string[];
  readonly history = new History();
  faultRates: FaultRates = NO_FAULTS;
  now = 0;
  /** Pairs of hosts, as `from>to`, between which all messages are lost. */
  readonly blocked = new Set<string>();
  #queue: ScheduledEvent[] = [];
  #eventCount = 0;
  #requestCount = 0;
  #identityCount = 0;

  /**
   * `firstStartSeeds`: number of hosts that are seeds of a first start; the hosts of
   * one are not started yet.
   */
  constructor(options: {
    seed: number;
    size: number;
    isFormed: boolean;
    firstStartSeeds?: number;
  }) {
    const { seed, size, isFormed, firstStartSeeds = 0 } = options;
    this.random = new SeededRandomness(seed);
    this.founders = [..."abcdefg"].slice(0, size);
    this.seeds = this.founders.slice(0, firstStartSeeds);
    this.hosts = this.founders.map((id) => {
      const isSeed = this.seeds.includes(id);
      const founderDisk = () => new MemoryDisk(founderIdentity(this.seeds));
      return new SimulatedHost(id, isSeed ? founderDisk() : this.emptyDisk());
    });
    if (firstStartSeeds > 0) return;
    if (isFormed) this.#bindAll();
    for (const host of this.hosts) this.start(host);
  }

  /** Schedules an event after a delay in milliseconds. */
  at(delay: number, run: () => void): void {
    const event = { at: this.now + delay, order: this.#eventCount++, run };
    let low = 0;
    let high = this.#queue.length;
    // The queue is sorted in descending order, so that the next event is last.
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#queue[middle] as ScheduledEvent;
      const isLater =
        other.at > event.at ||
        (other.at === event.at && other.order > event.order);
      if (isLater) low = middle + 1;
      else high = middle;
    }
    this.#queue.splice(low, 0, event);
  }

  /** Runs all events of the next `ms` milliseconds. */
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

  /**
   * Runs until a condition holds; returns false if the time limit is reached.
   */
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
    if (host.core || host.isRemoved) return;
    if (host.room === "closed") {
      this.#reopen(host, REOPEN_DELAY_MS);
      return;
    }
    host.incarnation++;
    host.isFlushing = false;
    host.isFrozen = false;
    host.deferredInputs = [];
    host.commands = [];
    host.applied = 0;
    host.core = new ConsensusCore({
      host: host.id,
      founders: this.seeds.length > 0 ? [] : this.founders,
      seeds: this.seeds,
      peers: this.hosts.map(({ id }) => id),
      stored: host.disk.state(),
      randomness: this.random,
      limits: LIMITS,
      now: this.now,
    });
    this.#tick(host, host.incarnation);
  }

  /**
   * Stops the host; it loses its memory and a random part of unsynced writes.
   */
  crash(host: SimulatedHost): void {
    this.#stop(host);
    host.disk.crash(this.random.below(host.disk.stagedWrites + 1));
  }

  /** Limits what the disk of a host takes, for a time. */
  fillDisk(host: SimulatedHost, room: DiskRoom, ms: number): void {
    host.room = room;
    const { disk } = host;
    this.at(ms, () => {
      if (host.disk === disk) host.room = "all";
    });
  }

  /** Crashes the host and replaces its data folder by an empty one. */
  loseDisk(host: SimulatedHost): void {
    this.crash(host);
    host.disk = this.emptyDisk();
    host.room = "all";
  }

  /** Adds a host with an empty data folder, which is no founder. */
  addHost(id: string): SimulatedHost {
    const host = this.addStoppedHost(id);
    this.start(host);
    return host;
  }

  /** The same, but does not start it yet. */
  addStoppedHost(id: string): SimulatedHost {
    const host = new SimulatedHost(id, this.emptyDisk());
    this.hosts.push(host);
    return host;
  }

  /** Pauses the host's process; inputs are processed when it resumes. */
  freeze(host: SimulatedHost, ms: number): void {
    if (!host.core || host.isFrozen) return;
    host.isFrozen = true;
    const { incarnation } = host;
    this.at(ms, () => {
      if (host.incarnation !== incarnation) return;
      host.isFrozen = false;
      const deferred = host.deferredInputs;
      host.deferredInputs = [];
      for (const run of deferred) run();
    });
  }

  /**
   * Loses all messages between a group of hosts and the others; if `isOneWay`,
   * only those to the group.
   */
  partition(group: readonly string[], isOneWay = false): void {
    for (const { id: from } of this.hosts) {
      for (const { id: to } of this.hosts) {
        if (group.includes(from) === group.includes(to)) continue;
        if (isOneWay && group.includes(from)) continue;
        this.blocked.add(`${from}>${to}`);
      }
    }
  }

  submitCommand(host: SimulatedHost): string {
    const id = `r${++this.#requestCount}`;
    if (!host.core || host.isFrozen) return id;
    this.history.recordSubmitted(id, host.id, host.incarnation);
    host.core.propose(id, Buffer.from(id), this.now);
    this.#scheduleFlush(host);
    return id;
  }

  read(host: SimulatedHost): string {
    const id = `r${++this.#requestCount}`;
    if (!host.core || host.isFrozen) return id;
    this.history.recordReadStarted(id);
    host.core.read(id, this.now);
    this.#scheduleFlush(host);
    return id;
  }

  change(host: SimulatedHost, change: MemberChange): string {
    const id = `r${++this.#requestCount}`;
    if (!host.core || host.isFrozen) return id;
    this.history.recordSubmitted(id, host.id, host.incarnation);
    host.core.changeMembers(id, change, this.now);
    this.#scheduleFlush(host);
    return id;
  }

  /** A disk with an identity that no other has. */
  emptyDisk(): MemoryDisk {
    return new MemoryDisk(`i${++this.#identityCount}`);
  }

  #bindAll(): void {
    const members = this.hosts.map((host) => this.memberKeyOf(host));
    const convener = members[0] ?? "";
    const cluster = "formed";
    const formed = { cluster, convener, attempt: 1, members, formed: true };
    for (const { disk } of this.hosts) {
      disk.stage([{ type: "founding", founding: formed }]);
      disk.sync();
    }
  }

  #tick(host: SimulatedHost, incarnation: number): void {
    this.#handleInput(host, incarnation, () => host.core?.tick(this.now));
    if (host.incarnation === incarnation)
      this.at(TICK_MS, () => this.#tick(host, incarnation));
  }

  /** Runs an input of a host, or defers it while the host is frozen. */
  #handleInput(
    host: SimulatedHost,
    incarnation: number,
    handle: () => void,
  ): void {
    if (host.incarnation !== incarnation || !host.core) return;
    if (host.isFrozen) {
      host.deferredInputs.push(() =>
        this.#handleInput(host, incarnation, handle),
      );
      return;
    }
    handle();
    this.#scheduleFlush(host);
  }

  #scheduleFlush(host: SimulatedHost): void {
    if (host.isFlushing) return;
    host.isFlushing = true;
    const { incarnation } = host;
    this.at(0, () => {
      if (host.incarnation !== incarnation) return;
      host.isFlushing = false;
      this.#flush(host, incarnation);
    });
  }

  #flush(host: SimulatedHost, incarnation: number): void {
    const effects = host.core?.flush(this.now) ?? [];
    const writes = effects.flatMap((e) =>
      e.type === "persist" ? [e.write] : [],
    );
    if (effects.length === 0) return;
    if (writes.length === 0) {
      this.#executeEffects(host, effects);
      this.#scheduleFlush(host);
      return;
    }
    host.disk.stage(writes);
    host.isFlushing = true;
    const syncMs = 1 + this.random.below(this.faultRates.syncDelay);
    const stalledMs = Math.max(0, host.stalledUntil - this.now);
    this.at(stalledMs + syncMs, () => {
      this.#handleInput(host, incarnation, () => {
        if (!host.takes(writes)) {
          this.#failWrite(host);
          return;
        }
        host.disk.sync();
        host.isFlushing = false;
        this.#executeEffects(host, effects);
        const last = writes.findLast(({ type }) => type === "entries");
        const entry = last?.type === "entries" && last.entries.at(-1);
        if (entry) host.core?.handlePersisted(entry.index, entry.term);
      });
    });
  }

  /**
   * Closes a host whose write failed and opens it again. Storage truncates what
   * was written of the batch, but may fail to.
   */
  #failWrite(host: SimulatedHost): void {
    const { stagedWrites } = host.disk;
    const isTruncated = this.random.below(4) > 0;
    this.#stop(host);
    host.disk.crash(isTruncated ? 0 : this.random.below(stagedWrites + 1));
    this.#reopen(host, REOPEN_DELAY_MS);
  }

  /** Ends the core; the other hosts see its connections close. */
  #stop(host: SimulatedHost): void {
    const wasRunning = host.core !== undefined;
    host.core = undefined;
    host.incarnation++;
    if (!wasRunning) return;
    for (const other of this.hosts) {
      if (other === host || this.blocked.has(`${host.id}>${other.id}`))
        continue;
      const { incarnation } = other;
      this.at(this.faultRates.delay, () =>
        this.#handleInput(other, incarnation, () =>
          other.core?.handleDisconnect(host.id, this.now),
        ),
      );
    }
  }

  /** Starts a host after a time, and once its disk has room. */
  #reopen(host: SimulatedHost, afterMs: number): void {
    const { incarnation } = host;
    this.at(afterMs, () => {
      if (host.incarnation !== incarnation) return;
      if (host.room === "all") this.start(host);
      else this.#reopen(host, PROBE_INTERVAL_MS);
    });
  }

  #executeEffects(host: SimulatedHost, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type === "send") this.#send(host, effect);
      else if (effect.type === "snapshot") {
        const bytes = Buffer.from(JSON.stringify(host.commands));
        host.core?.handleSnapshot(effect, bytes);
      } else this.history.recordEffect(host, effect);
    }
  }

  #send(host: SimulatedHost, effect: Extract<Effect, { type: "send" }>): void {
    const target = this.hosts.find(({ id }) => id === effect.to);
    if (!target || this.blocked.has(`${host.id}>${target.id}`)) return;
    const { loss, duplication, delay } = this.faultRates;
    const copies = this.random.next() < duplication ? 2 : 1;
    const from = host.id;
    const message = { kind: effect.kind, payload: effect.payload };
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.next() < loss) continue;
      this.at(1 + this.random.below(delay), () => {
        this.#handleInput(target, target.incarnation, () =>
          target.core?.receive(from, message as ConsensusMessage, this.now),
        );
      });
    }
  }

  /**
   * Whether a majority of the voters is up in each membership that a host has.
   */
  hasMajority(): boolean {
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

  /** The status of each host, for the message of a failed check. */
  describeHosts(): string {
    return this.hosts
      .map(({ id, core }) => `${id}: ${JSON.stringify(core?.status(this.now))}`)
      .join("\n");
  }

  /** The member key of a host with its current data folder. */
  memberKeyOf(host: SimulatedHost | undefined): string {
    return host ? `${host.id}/${host.disk.state().identity}` : "";
  }

  /** Whether a member's data folder was lost. */
  isDataLost(member: string): boolean {
    const host = this.hosts.find(({ id }) => id === hostOf(member));
    return this.memberKeyOf(host) !== member;
  }
}
