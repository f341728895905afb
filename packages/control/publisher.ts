import {
  type ConfigurationChange,
  type ConfigurationMessages,
  diffConfigurations,
  EMPTY_CONFIGURATION,
  type EntryHeartbeat,
  type EntryTable,
  withoutCredentials,
} from "#configuration";
import type { Clock, Configuration, HostId } from "#model";
import { type Logger, OwnTasks } from "#telemetry";
import { encodedOnce, type Hello, type Network } from "#wire";

/** Recent versions kept, so that entries can be sent only the differences. */
const MAX_RECENT_VERSIONS = 64;
/** Heartbeats that arrive within this time share one linearizable read. */
const READ_BATCH_MS = 100;
/** Reports of a new version within this time are relayed together. */
const RELAY_BATCH_MS = 10;

export interface PublisherOptions {
  readonly network: Network<ConfigurationMessages>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly table: EntryTable;
  /** Resolves with true once a majority confirms that this host is current. */
  readonly confirmRead: () => Promise<boolean>;
  readonly otherControlHosts: () => readonly HostId[];
}

/**
 * Sends entries the configuration, and confirms the current version in answer
 * to their heartbeats.
 */
export class ConfigurationPublisher {
  readonly #options: PublisherOptions;
  readonly #tasks: OwnTasks;
  /** Recent versions without credentials, oldest first. */
  #recentVersions: Configuration[] = [EMPTY_CONFIGURATION];
  /**
   * The entries that send heartbeats to this host, with the version that each
   * reported last or was sent since.
   */
  readonly #entryVersions = new Map<HostId, number>();
  /** The whole current configuration, shared by all entries that need it. */
  #wholeChange: ConfigurationChange | undefined;
  /** When this host published each recent version, on its steady clock. */
  readonly #publishedAt = new Map<number, number>();
  /** Sequence of the newest unanswered heartbeat of each entry. */
  #unansweredHeartbeats = new Map<HostId, number>();
  #isAnswering = false;
  #relayTimer: NodeJS.Timeout | undefined;

  constructor(options: PublisherOptions) {
    this.#options = options;
    this.#tasks = new OwnTasks(options);
    const { network, clock, table } = options;
    network.handle("confirm", (heartbeat, from) =>
      this.#handleHeartbeat(heartbeat, from),
    );
    network.handle("entries_seen", ({ entries }) =>
      table.mergeRelayed(entries, clock.now()),
    );
  }

  get configuration(): Configuration {
    return this.#recentVersions.at(-1) ?? EMPTY_CONFIGURATION;
  }

  /** When a newer version than this one was published; epoch milliseconds. */
  supersededAt(version: number): number | undefined {
    const next = this.#recentVersions.find(
      (candidate) => candidate.version > version,
    );
    return next && this.#options.clock.wallTime() - this.#ageMs(next.version);
  }

  /** Time since this host published a version, in milliseconds. */
  #ageMs(version: number): number {
    const now = this.#options.clock.now();
    return Math.round(now - (this.#publishedAt.get(version) ?? now));
  }

  /** Sends a newer configuration to the entries that send heartbeats here. */
  publish(configuration: Configuration): void {
    if (configuration.version <= this.configuration.version) return;
    this.#recentVersions.push(withoutCredentials(configuration));
    this.#wholeChange = undefined;
    this.#publishedAt.set(configuration.version, this.#options.clock.now());
    if (this.#recentVersions.length > MAX_RECENT_VERSIONS) {
      this.#publishedAt.delete(this.#recentVersions.shift()?.version ?? 0);
    }
    this.#pushToEntries();
  }

  /** Sends the newest version to all; those at one version share a message. */
  #pushToEntries(): void {
    const byVersion = new Map<number, HostId[]>();
    for (const [entry, version] of this.#entryVersions) {
      const entries = byVersion.get(version) ?? [];
      byVersion.set(version, entries);
      entries.push(entry);
    }
    const { version } = this.configuration;
    for (const [base, entries] of byVersion) {
      const change = this.#changeSince(base);
      if (!change) continue;
      const { network } = this.#options;
      const ageMs = this.#ageMs(version);
      network.broadcast(entries, "state", { version, change, ageMs });
      // The next push assumes that this one arrives; if it is lost, the next
      // heartbeat corrects the version.
      for (const entry of entries) this.#entryVersions.set(entry, version);
    }
  }

  /** The difference from a version to the current one. */
  #changeSince(version: number): ConfigurationChange | undefined {
    const current = this.configuration;
    if (version >= current.version) return undefined;
    const base = this.#recentVersions.find(
      (candidate) => candidate.version === version,
    );
    if (base && base.version > 0) return diffConfigurations(base, current);
    // When all entries come back without memory, computing and encoding this for
    // each of their heartbeats would take the processor of this host.
    this.#wholeChange ??= encodedOnce(
      diffConfigurations(EMPTY_CONFIGURATION, current),
    );
    return this.#wholeChange;
  }

  /** Stops publishing to an entry whose connection was lost. */
  handleDisconnect(entry: HostId): void {
    this.#entryVersions.delete(entry);
  }

  /** Relays new heartbeats of entries to the other control hosts. */
  relayHeartbeats(): void {
    const { table, clock, network, otherControlHosts } = this.#options;
    const { view } = this.configuration;
    const entries = table.takeUnrelayedHeartbeats(view, clock.now());
    if (entries.length === 0) return;
    network.broadcast(otherControlHosts(), "entries_seen", { entries });
  }

  /** Cancels a scheduled relay. */
  close(): void {
    clearTimeout(this.#relayTimer);
  }

  #scheduleRelay(): void {
    this.#relayTimer ??= setTimeout(() => {
      this.#relayTimer = undefined;
      this.#tasks.run("heartbeat_relay", () => this.relayHeartbeats());
    }, RELAY_BATCH_MS);
  }

  #handleHeartbeat(heartbeat: EntryHeartbeat, from: Hello): void {
    const { table, clock } = this.#options;
    const previousVersion = table.get(from.id)?.version ?? 0;
    table.recordHeartbeat(from, heartbeat, clock.now());
    // Another control host may wait for this to answer an operator.
    if (heartbeat.version > previousVersion) this.#scheduleRelay();
    this.#entryVersions.set(from.id, heartbeat.version);
    // One answer is enough for an entry that has asked again meanwhile.
    this.#unansweredHeartbeats.delete(from.id);
    this.#unansweredHeartbeats.set(from.id, heartbeat.sequence);
    this.#tasks.run("heartbeat_answers", () => this.#answerHeartbeats());
  }

  async #answerHeartbeats(): Promise<void> {
    if (this.#isAnswering) return;
    this.#isAnswering = true;
    try {
      await this.#answerUntilNoneIsLeft();
    } finally {
      this.#isAnswering = false;
    }
  }

  async #answerUntilNoneIsLeft(): Promise<void> {
    while (this.#unansweredHeartbeats.size > 0) {
      await new Promise((resolve) => setTimeout(resolve, READ_BATCH_MS));
      const batch = this.#unansweredHeartbeats;
      this.#unansweredHeartbeats = new Map();
      // Without a majority, the heartbeats stay unanswered.
      if (!(await this.#options.confirmRead())) continue;
      for (const [entry, sequence] of batch) this.#answer(entry, sequence);
    }
  }

  #answer(entry: HostId, sequence: number): void {
    const { version } = this.configuration;
    const change = this.#changeSince(this.#entryVersions.get(entry) ?? 0);
    const ageMs = this.#ageMs(version);
    const update = { version, sequence, ...(change && { change, ageMs }) };
    this.#options.network.send(entry, "state", update);
    if (change) this.#entryVersions.set(entry, version);
  }
}
