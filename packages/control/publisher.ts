import {
  type ConfigurationMessages,
  type Confirmation,
  diffConfigurations,
  EMPTY_CONFIGURATION,
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
      table.relayed(entries, clock.now()),
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
    this.#published.set(configuration.version, this.#options.clock.epoch());
    if (this.#recent.length > KEPT_VERSIONS) {
      this.#published.delete(this.#recent.shift()?.version ?? 0);
    }
    for (const [entry, version] of this.#followers) {
      this.#send(entry, { version });
    }
  }

  /** Forgets an entry whose connection is gone. */
  disconnected(entry: HostId): void {
    this.#followers.delete(entry);
  }

  /** Tells the other control hosts which entries were heard from here. */
  relaySightings(): void {
    const { table, clock, network, others } = this.#options;
    const { view } = this.configuration;
    const entries = table.takeSightings(view, clock.now());
    if (entries.length === 0) return;
    for (const other of others()) {
      network.send(other, "entries_seen", { entries });
    }
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

  #confirmed(confirmation: Confirmation, from: Hello): void {
    const { table, clock } = this.#options;
    const known = table.get(from.id)?.version ?? 0;
    table.confirmed(from, confirmation, clock.now());
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
      for (const { entry, sequence } of batch) {
        const version = this.#followers.get(entry) ?? 0;
        this.#send(entry, { version, sequence });
      }
    }
    this.#reading = false;
  }

  #send(entry: HostId, options: { version: number; sequence?: number }): void {
    const { version, sequence } = options;
    const current = this.configuration;
    const answer = { version: current.version, sequence };
    if (version >= current.version) {
      this.#options.network.send(entry, "state", answer);
      return;
    }
    const base = this.#recent.find((held) => held.version === version);
    const change = diffConfigurations(base ?? EMPTY_CONFIGURATION, current);
    this.#options.network.send(entry, "state", { ...answer, change });
    // The next push starts from here; a lost one is repaired by a heartbeat.
    this.#followers.set(entry, current.version);
  }
}
