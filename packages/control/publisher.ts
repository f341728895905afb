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

/** Versions kept so that entries can be sent differences only. */
const KEPT_VERSIONS = 64;
/** Heartbeats that arrive within this time share one confirmed read. */
const READ_BATCH_MS = 100;
/** Entries that take up a version within this time are relayed together. */
const RELAY_BATCH_MS = 10;

export interface PublisherOptions {
  readonly network: Network<ConfigurationMessages>;
  readonly clock: Clock;
  readonly table: EntryTable;
  /** Resolves once the local state has applied a linearizable read. */
  readonly confirm: () => Promise<boolean>;
  /** Other control hosts. */
  readonly others: () => readonly HostId[];
}

interface Waiting {
  readonly entry: HostId;
  readonly sequence: number;
}

/** Gives entries the configuration and confirms the version in force. */
export class Publisher {
  readonly #options: PublisherOptions;
  /** Recent versions without credentials, oldest first. */
  #recent: Configuration[] = [EMPTY_CONFIGURATION];
  /** Entries whose heartbeats come to this host, with their version. */
  readonly #followers = new Map<HostId, number>();
  /** When each recent version arrived here; epoch milliseconds. */
  readonly #published = new Map<number, number>();
  #waiting: Waiting[] = [];
  #reading = false;
  #relayTimer: NodeJS.Timeout | undefined;

  constructor(options: PublisherOptions) {
    this.#options = options;
    const { network, clock, table } = options;
    network.handle("confirm", (confirmation, from) =>
      this.#confirmed(confirmation, from),
    );
    network.handle("entries_seen", ({ entries }) =>
      table.mergeRelayed(entries, clock.now()),
    );
  }

  get configuration(): Configuration {
    return this.#recent.at(-1) ?? EMPTY_CONFIGURATION;
  }

  /** Since when there is a newer version than this one; epoch milliseconds. */
  supersededAt(version: number): number | undefined {
    const next = this.#recent.find((held) => held.version > version);
    return next && this.#published.get(next.version);
  }

  /** Takes a newer configuration and sends it to the entries that follow. */
  publish(configuration: Configuration): void {
    if (configuration.version <= this.configuration.version) return;
    this.#recent.push(withoutCredentials(configuration));
    this.#published.set(configuration.version, this.#options.clock.wallTime());
    if (this.#recent.length > KEPT_VERSIONS) {
      this.#published.delete(this.#recent.shift()?.version ?? 0);
    }
    this.#push();
  }

  /** Sends the newest version to all followers; equal ones share a message. */
  #push(): void {
    const byVersion = new Map<number, HostId[]>();
    for (const [entry, version] of this.#followers) {
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
      // The next push starts from here; a heartbeat repairs a lost one.
      for (const entry of entries) this.#followers.set(entry, version);
    }
  }

  /** What an entry at this version lacks. */
  #changeSince(version: number): ConfigurationChange | undefined {
    const current = this.configuration;
    if (version >= current.version) return undefined;
    const base = this.#recent.find((held) => held.version === version);
    return diffConfigurations(base ?? EMPTY_CONFIGURATION, current);
  }

  /** Forgets an entry whose connection is gone. */
  disconnected(entry: HostId): void {
    this.#followers.delete(entry);
  }

  /** Tells the other control hosts which entries were heard from here. */
  relaySightings(): void {
    const { table, clock, network, others } = this.#options;
    const { view } = this.configuration;
    const entries = table.takeUnrelayedHeartbeats(view, clock.now());
    if (entries.length === 0) return;
    network.broadcast(others(), "entries_seen", { entries });
  }

  /** Ends what is still scheduled. */
  close(): void {
    clearTimeout(this.#relayTimer);
  }

  #relaySoon(): void {
    this.#relayTimer ??= setTimeout(() => {
      this.#relayTimer = undefined;
      this.relaySightings();
    }, RELAY_BATCH_MS);
  }

  #confirmed(confirmation: EntryHeartbeat, from: Hello): void {
    const { table, clock } = this.#options;
    const known = table.get(from.id)?.version ?? 0;
    table.recordHeartbeat(from, confirmation, clock.now());
    // Another host may hold an operator's answer back until it hears this.
    if (confirmation.version > known) this.#relaySoon();
    this.#followers.set(from.id, confirmation.version);
    const { sequence } = confirmation;
    this.#waiting.push({ entry: from.id, sequence });
    void this.#read();
  }

  async #read(): Promise<void> {
    if (this.#reading) return;
    this.#reading = true;
    while (this.#waiting.length > 0) {
      await new Promise((resolve) => setTimeout(resolve, READ_BATCH_MS));
      const batch = this.#waiting;
      this.#waiting = [];
      // Without a majority nothing is confirmed, and entries hear nothing.
      if (!(await this.#options.confirm())) continue;
      for (const { entry, sequence } of batch) this.#answer(entry, sequence);
    }
    this.#reading = false;
  }

  #answer(entry: HostId, sequence: number): void {
    const { version } = this.configuration;
    const change = this.#changeSince(this.#followers.get(entry) ?? 0);
    const answer = { version, sequence, ...(change && { change }) };
    this.#options.network.send(entry, "state", answer);
    if (change) this.#followers.set(entry, version);
  }
}
