import {
  applyChange,
  type ConfigurationChange,
  type ConfigurationMessages,
  diffConfigurations,
  EMPTY_CONFIGURATION,
  FreshnessTracker,
  type StopReport,
} from "#configuration";
import {
  type Clock,
  type Configuration,
  type Entry,
  type HostId,
  rendezvousOrder,
} from "#model";
import type { Logger } from "#telemetry";
import type { Hello, Network } from "#wire";

/** Heartbeats to control. */
export const CONFIRM_EVERY_MS = 1_000;
/**
 * Age of the last confirmation from which an entry turns to the next control
 * host and to its peers; above the heartbeat's period with room for jitter.
 */
const OVERDUE_AFTER_MS = 1_500;
/** How often a missing answer is looked for. */
export const FOLLOW_UP_EVERY_MS = 200;
/** Time in which a control host answers, a majority's confirmation included. */
const ANSWER_WITHIN_MS = 600;

/** Time in which one peer's configuration arrives, before another is asked. */
const WANT_EVERY_MS = 300;

export interface FollowerOptions {
  readonly network: Network<ConfigurationMessages>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: () => Entry;
  /** Control hosts with an open connection. */
  readonly controls: () => readonly HostId[];
  readonly stopReports: () => readonly StopReport[];
  readonly changed: (configuration: Configuration) => void;
  /** Age up to which a confirmation counts, if not the usual one. */
  readonly confirmedForMs?: number | undefined;
}

/** Keeps an entry's configuration at the newest accepted version. */
export class ConfigurationFollower {
  readonly #options: FollowerOptions;
  readonly #freshness: FreshnessTracker;
  #configuration: Configuration = EMPTY_CONFIGURATION;
  #control: HostId | undefined;
  #turn = 0;
  /** When the oldest question without an answer was asked. */
  #unansweredSince: number | undefined;
  #wantedAt = Number.NEGATIVE_INFINITY;
  /** The control host that has this entry's record, with its state. */
  #told: { control: HostId; state: Entry["state"] } | undefined;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#freshness = new FreshnessTracker(options.confirmedForMs);
    const { network } = options;
    network.handle("state", (state, from) => {
      if (state.change) this.#apply(state.change, from);
      if (state.sequence === undefined) return;
      this.#unansweredSince = undefined;
      this.#freshness.handleControlResponse({
        sequence: state.sequence,
        version: state.version,
        ownVersion: this.version,
      });
    });
    network.handle("version_ask", (ask, from) => this.#answerPeer(ask, from));
    network.handle("version_answer", (answer, from) => {
      const { round, version } = answer;
      if (version > this.version) this.#want(from.id);
      this.#freshness.handlePeerResponse({ peer: from, round, version });
    });
    network.handle("version_want", ({ version }, from) => {
      if (version >= this.version) return;
      const change = diffConfigurations(
        EMPTY_CONFIGURATION,
        this.#configuration,
      );
      network.send(from.id, "version_push", { change });
    });
    network.handle("version_push", ({ change }, from) =>
      this.#apply(change, from),
    );
  }

  get configuration(): Configuration {
    return this.#configuration;
  }

  get version(): number {
    return this.#configuration.version;
  }

  /** Whether new work may be taken. */
  fresh(): boolean {
    return (
      this.version > 0 && this.#freshness.isFresh(this.#options.clock.now())
    );
  }

  /** Time since the version was last confirmed, in milliseconds. */
  confirmationAge(): number {
    return this.#freshness.confirmationAgeMs(this.#options.clock.now());
  }

  /** Sends a heartbeat; called every `CONFIRM_EVERY_MS` and on changes. */
  confirm(): void {
    const { clock, network, self, stopReports } = this.#options;
    const now = clock.now();
    const age = this.#freshness.confirmationAgeMs(now);
    // A control host that does not answer is left for the next one.
    if (age > OVERDUE_AFTER_MS) this.#turn += 1;
    this.#control = this.#chooseControl();
    if (this.#control !== undefined) {
      this.#unansweredSince ??= now;
      network.send(this.#control, "confirm", {
        ...this.#news(this.#control, self()),
        version: this.version,
        sequence: this.#freshness.startControlQuery(now),
        stops: stopReports(),
      });
    }
    if (age > OVERDUE_AFTER_MS && this.version > 0) this.#askPeers(now);
  }

  /** Turns to the next control host if the last one does not answer. */
  followUp(): void {
    const since = this.#unansweredSince;
    if (since === undefined) return;
    const { clock, logger } = this.#options;
    const waitedMs = clock.now() - since;
    if (waitedMs < ANSWER_WITHIN_MS) return;
    logger.info("control host does not answer", {
      control: this.#control,
      waitedMs: Math.round(waitedMs),
    });
    this.#unansweredSince = undefined;
    this.#turn += 1;
    this.#control = undefined;
    this.confirm();
  }

  /** The connection to a control host is lost; it may have restarted. */
  controlDown(id: HostId): void {
    if (this.#told?.control === id) this.#told = undefined;
    if (this.#control !== id) return;
    this.#control = undefined;
    this.confirm();
  }

  /** The entry's record, unless the control host has exactly this one. */
  #news(control: HostId, entry: Entry): { entry?: Entry } {
    const { state } = entry;
    const told = this.#told;
    if (told?.control === control && told.state === state) return {};
    this.#told = { control, state };
    return { entry };
  }

  #chooseControl(): HostId | undefined {
    // Each entry has its own order, so that the heartbeats spread over hosts.
    const controls = rendezvousOrder(
      this.#options.self().id,
      this.#options.controls().map((id) => ({ id })),
    ).map(({ id }) => id);
    if (this.#control !== undefined && controls.includes(this.#control)) {
      if (this.confirmationAge() <= OVERDUE_AFTER_MS) {
        return this.#control;
      }
    }
    return controls[this.#turn % Math.max(1, controls.length)];
  }

  #askPeers(now: number): void {
    const { network, self } = this.#options;
    const { view, version } = this.#configuration;
    const own = self();
    const round = this.#freshness.startPeerQuery({
      view,
      version,
      self: own,
      now,
    });
    for (const { id } of view.entries) {
      if (id !== own.id) network.send(id, "version_ask", { version, round });
    }
  }

  #answerPeer(ask: { version: number; round: number }, from: Hello): void {
    const { network } = this.#options;
    const { version } = this;
    network.send(from.id, "version_answer", { version, round: ask.round });
  }

  /**
   * Asks one peer for a newer configuration. All peers answer a question at
   * once, and a whole configuration from each would fill the links.
   */
  #want(peer: HostId): void {
    const { clock, network } = this.#options;
    const now = clock.now();
    if (now - this.#wantedAt < WANT_EVERY_MS) return;
    this.#wantedAt = now;
    network.send(peer, "version_want", { version: this.version });
  }

  #apply(change: ConfigurationChange, from: Hello): void {
    // Never back: an older version is ignored, whoever sends it.
    if (change.to <= this.version) return;
    const next = applyChange(this.#configuration, change);
    // A change to another base: the next heartbeat tells the version held here.
    if (!next) return;
    this.#configuration = next;
    this.#options.logger.info("configuration in force", {
      version: next.version,
      revision: next.document.revision,
      from: from.id,
    });
    this.#options.changed(next);
    this.confirm();
  }
}
