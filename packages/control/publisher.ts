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
import type { Hello, Network } from "#wire";

/** Recent versions kept, so that entries can be sent only the differences. */
const MAX_RECENT_VERSIONS = 64;
/** Heartbeats that arrive within this time share one confirmed read. */
const READ_BATCH_MS = 100;
/** Entries that confirm a new version within this time are relayed together. */
const RELAY_BATCH_MS = 10;

export interface PublisherOptions {
  readonly network: Network<ConfigurationMessages>;
  readonly clock: Clock;
  readonly table: EntryTable;
  /** Resolves once the local state has applied a linearizable read. */
  readonly confirmRead: () => Promise<boolean>;
  /** Other control hosts. */
  readonly otherControlHosts: () => readonly HostId[];
}

/** A heartbeat of an entry that is to be answered. */
interface PendingConfirmation {
  readonly entry: HostId;
  readonly sequence: number;
}

/**
 * Sends entries the configuration, and confirms the current version in answer to
 * their heartbeats.
 */
export class ConfigurationPublisher {
  readonly #options: PublisherOptions;
  /** Recent versions without credentials, oldest first. */
  #recentVersions: Configuration[] = [EMPTY_CONFIGURATION];
  /** The entries that send heartbeats to this host, with their versions. */
  readonly #entryVersions = new Map<HostId, number>();
  /** When this host published each recent version; epoch milliseconds. */
  readonly #publishedAt = new Map<number, number>();
  #pendingConfirmations: PendingConfirmation[] = [];
  #isAnswering = false;
  #relayTimer: NodeJS.Timeout | undefined;

  constructor(options: PublisherOptions) {
    this.#options = options;
    const { network, clock, table } = options;
    network.handle("confirm", (confirmation, from) =>
      this.#handleConfirmation(confirmation, from),
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
    return next && this.#publishedAt.get(next.version);
  }

  /** Sends a newer configuration to the entries that send heartbeats here. */
  publish(configuration: Configuration): void {
    if (configuration.version <= this.configuration.version) return;
    this.#recentVersions.push(withoutCredentials(configuration));
    this.#publishedAt.set(
      configuration.version,
      this.#options.clock.wallTime(),
    );
    if (this.#recentVersions.length > MAX_RECENT_VERSIONS) {
      this.#publishedAt.delete(this.#recentVersions.shift()?.version ?? 0);
    }
    this.#pushToEntries();
  }

  /** Sends the newest version to all; entries at one version share a message. */
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
      network.broadcast(entries, "state", { version, change });
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
    return diffConfigurations(base ?? EMPTY_CONFIGURATION, current);
  }

  /** Stops publishing to an entry whose connection was lost. */
  handleDisconnect(entry: HostId): void {
    this.#entryVersions.delete(entry);
  }

  /** Tells the other control hosts which entries sent heartbeats to this one. */
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
      this.relayHeartbeats();
    }, RELAY_BATCH_MS);
  }

  #handleConfirmation(confirmation: EntryHeartbeat, from: Hello): void {
    const { table, clock } = this.#options;
    const known = table.get(from.id)?.version ?? 0;
    table.recordHeartbeat(from, confirmation, clock.now());
    // Another host may wait for this before it answers an operator.
    if (confirmation.version > known) this.#scheduleRelay();
    this.#entryVersions.set(from.id, confirmation.version);
    const { sequence } = confirmation;
    this.#pendingConfirmations.push({ entry: from.id, sequence });
    void this.#answerPending();
  }

  async #answerPending(): Promise<void> {
    if (this.#isAnswering) return;
    this.#isAnswering = true;
    while (this.#pendingConfirmations.length > 0) {
      await new Promise((resolve) => setTimeout(resolve, READ_BATCH_MS));
      const batch = this.#pendingConfirmations;
      this.#pendingConfirmations = [];
      // Without a majority, the heartbeats stay unanswered.
      if (!(await this.#options.confirmRead())) continue;
      for (const { entry, sequence } of batch) this.#answer(entry, sequence);
    }
    this.#isAnswering = false;
  }

  #answer(entry: HostId, sequence: number): void {
    const { version } = this.configuration;
    const change = this.#changeSince(this.#entryVersions.get(entry) ?? 0);
    const answer = { version, sequence, ...(change && { change }) };
    this.#options.network.send(entry, "state", answer);
    if (change) this.#entryVersions.set(entry, version);
  }
}
