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
  type View,
} from "#model";
import type { ConfigurationWay, Logger } from "#telemetry";
import type { Moment } from "#tenants";
import type { Hello, Network } from "#wire";

/** Interval of the heartbeats to control. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/**
 * Age of the last confirmation above which an entry asks its peers; the
 * heartbeat interval plus room for jitter.
 */
const CONFIRMATION_OVERDUE_MS = 1_500;
/** Time for a control host to respond, including a majority's confirmation. */
const CONTROL_RESPONSE_TIMEOUT_MS = 600;
/**
 * How many times that time at most. It doubles each time that no connected host has
 * answered: they are overloaded or have no majority, and further questions delay both.
 */
const MAX_RESPONSE_TIMEOUT_FACTOR = 4;

/** The round of a version that was not asked for; rounds begin with 1. */
const UNSOLICITED_ROUND = 0;
/** Entries that are asked for their version at a time where no majority is linked. */
const PEERS_WITHOUT_MAJORITY = 2;
/** Time for one peer's configuration to arrive before another is asked. */
const PEER_REQUEST_INTERVAL_MS = 300;

/** A received change: from whom, how, and for how long the sender had it. */
interface ChangeSource {
  readonly from: Hello;
  readonly way: ConfigurationWay;
  readonly ageMs: number | undefined;
}

export interface FollowerOptions {
  readonly network: Network<ConfigurationMessages>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: () => Entry;
  /** Ids of the control hosts with an open connection. */
  readonly connectedControls: () => readonly HostId[];
  readonly stopReports: () => readonly StopReport[];
  /**
   * Milliseconds since anything arrived on the link to a process; undefined
   * without a link.
   */
  readonly linkSilenceMs: (id: HostId) => number | undefined;
  /** Opens a new connection to a process whose link may be dead. */
  readonly renewLink: (id: HostId) => void;
  /** Calls a function after a time in milliseconds. */
  readonly schedule: (run: () => void, ms: number) => void;
  readonly onChange: (configuration: Configuration) => void;
  /** Called with the way and the age of each configuration that was received. */
  readonly onReceived?: (way: ConfigurationWay, ageMs: number) => void;
  /** Called when control has confirmed the version in force here. */
  readonly onConfirmed?: (askedAt: Moment) => void;
  /** Maximum age of a valid confirmation, if not the default. */
  readonly confirmedForMs?: number | undefined;
}

/**
 * Keeps an entry's configuration up to date: confirms its version with a
 * control host, and with the other entries if no control host responds.
 */
export class ConfigurationFollower {
  readonly #options: FollowerOptions;
  readonly #freshness: FreshnessTracker;
  #configuration: Configuration = EMPTY_CONFIGURATION;
  #inForceSince = 0;
  #control: HostId | undefined;
  /** The control host that got the last heartbeat. */
  #lastAsked: HostId | undefined;
  /** When the oldest heartbeat without a response was sent. */
  #unansweredSince: number | undefined;
  /** Whether a control host has not answered, and none has answered since. */
  #isSearching = false;
  /** Heartbeats in a row that were not answered in time. */
  #misses = 0;
  /**
   * A second control host that pushes changes to this entry, so that none is late
   * because one host is silent. It gets no heartbeats.
   */
  #backup: HostId | undefined;
  #requestedFromPeerAt = Number.NEGATIVE_INFINITY;
  /** The control host to which this entry's record was sent, with its state. */
  #sentRecord: { control: HostId; state: Entry["state"] } | undefined;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#freshness = new FreshnessTracker(
      options.confirmedForMs,
      options.self().incarnation,
    );
    const { network } = options;
    network.handle("state", (state, from) => {
      const { change, ageMs } = state;
      const way = state.sequence === undefined ? "push" : "answer";
      if (change) this.#apply(change, { from, way, ageMs });
      if (state.sequence === undefined) return;
      // A host that answers late is better than one that may not answer at all.
      if (this.#isSearching) this.#control = from.id;
      if (from.id === this.#control) {
        this.#unansweredSince = undefined;
        this.#isSearching = false;
        this.#misses = 0;
      }
      this.#freshness.handleControlResponse({
        sequence: state.sequence,
        version: state.version,
        ownVersion: this.version,
      });
      const askedAt = this.#freshness.controlConfirmedAt;
      if (askedAt) this.#options.onConfirmed?.(askedAt);
      this.#subscribeToBackup();
    });
    network.handle("version_ask", ({ round }, from) =>
      this.#tellVersion(from.id, round),
    );
    network.handle("version_answer", (answer, from) => {
      const { round, version } = answer;
      if (version > this.version) this.#requestFromPeer(from.id);
      this.#freshness.handlePeerResponse({ peer: from, round, version });
    });
    network.handle("version_want", ({ version }, from) => {
      if (version >= this.version) return;
      const change = diffConfigurations(
        EMPTY_CONFIGURATION,
        this.#configuration,
      );
      const ageMs = Math.round(this.#options.clock.now() - this.#inForceSince);
      network.send(from.id, "version_push", { change, ageMs });
    });
    network.handle("version_push", ({ change, ageMs }, from) =>
      this.#apply(change, { from, way: "peer", ageMs }),
    );
  }

  get configuration(): Configuration {
    return this.#configuration;
  }

  get version(): number {
    return this.#configuration.version;
  }

  /** Whether the configuration is confirmed, so that calls may be accepted. */
  isFresh(): boolean {
    return (
      this.version > 0 && this.#freshness.isFresh(this.#options.clock.now())
    );
  }

  /** Milliseconds since the version was last confirmed. */
  confirmationAge(): number {
    return this.#freshness.confirmationAgeMs(this.#options.clock.now());
  }

  /** Time since the last question that control itself has answered, in milliseconds. */
  controlConfirmationAge(): number {
    const askedAt = this.#freshness.controlConfirmedAt;
    if (!askedAt) return Number.POSITIVE_INFINITY;
    return this.#options.clock.now() - askedAt.steady;
  }

  /** Sends the heartbeat that is due; to be called every `HEARTBEAT_INTERVAL_MS`. */
  tick(): void {
    // While hosts are asked in turn, the next one is asked as soon as this one is late.
    const isAsking = this.#isSearching && this.#unansweredSince !== undefined;
    if (isAsking) this.#askPeersIfOverdue();
    else this.sendHeartbeat();
  }

  /** Sends a heartbeat to the control host, as when this entry's state changes. */
  sendHeartbeat(): void {
    const { clock, self } = this.#options;
    const now = clock.now();
    this.#control = this.#chooseControl();
    if (this.#control !== undefined) {
      this.#lastAsked = this.#control;
      this.#awaitResponse(now);
      this.#sendVersionTo(
        this.#control,
        this.#recordToSend(this.#control, self()),
      );
    }
    this.#askPeersIfOverdue();
  }

  #askPeersIfOverdue(): void {
    const now = this.#options.clock.now();
    const age = this.#freshness.confirmationAgeMs(now);
    if (age > CONFIRMATION_OVERDUE_MS && this.version > 0)
      this.#askPeerVersions(now);
  }

  #awaitResponse(now: number): void {
    if (this.#unansweredSince !== undefined) return;
    this.#unansweredSince = now;
    this.#options.schedule(
      () => this.#checkResponse(now),
      this.#responseTimeoutMs(),
    );
  }

  #responseTimeoutMs(): number {
    const hosts = Math.max(1, this.#options.connectedControls().length);
    const rounds = Math.floor(this.#misses / hosts);
    const factor = Math.min(MAX_RESPONSE_TIMEOUT_FACTOR, 2 ** rounds);
    return CONTROL_RESPONSE_TIMEOUT_MS * factor;
  }

  /** Switches to the next control host if the current one does not respond. */
  #checkResponse(since: number): void {
    if (this.#unansweredSince !== since) return;
    const { clock, logger } = this.#options;
    const waitedMs = clock.now() - since;
    const control = this.#control;
    const linkSilentMs =
      control === undefined ? undefined : this.#options.linkSilenceMs(control);
    logger.info("control host does not answer", {
      control,
      waitedMs: Math.round(waitedMs),
      ...(linkSilentMs !== undefined && {
        linkSilentMs: Math.round(linkSilentMs),
      }),
    });
    // Nothing has arrived since the heartbeat was sent, so the link may be dead.
    if (control !== undefined && (linkSilentMs ?? 0) >= waitedMs) {
      this.#options.renewLink(control);
    }
    this.#unansweredSince = undefined;
    this.#misses += 1;
    this.#isSearching = true;
    this.#control = undefined;
    this.sendHeartbeat();
  }

  /**
   * To be called with the version that another entry has in force. Whichever has
   * the older one gets the newer one.
   */
  compareVersion(peer: HostId, version: number): void {
    if (version > this.version) this.#requestFromPeer(peer);
    if (version < this.version) this.#tellVersion(peer, UNSOLICITED_ROUND);
  }

  /** To be called when a connection to a control host is open. */
  controlUp(id: HostId): void {
    this.#misses = 0;
    if (this.#isSearching) {
      // The link to this host is known to work, unlike those to silent hosts.
      this.#unansweredSince = undefined;
      this.#control = id;
    }
    if (this.#isSearching || this.#control === undefined) this.sendHeartbeat();
  }

  /** To be called when a connection to a control host is lost. */
  controlDown(id: HostId): void {
    // The control host may have restarted without this entry's record.
    if (this.#sentRecord?.control === id) this.#sentRecord = undefined;
    if (this.#backup === id) this.#backup = undefined;
    if (this.#control !== id) return;
    this.#control = undefined;
    this.sendHeartbeat();
  }

  /** Lets a second control host know this entry's version once. */
  #subscribeToBackup(): void {
    if (this.version === 0 || this.#isSearching) return;
    if (this.#backup !== undefined && this.#backup !== this.#control) return;
    this.#backup = this.#controlsInOrder().find((id) => id !== this.#control);
    if (this.#backup !== undefined) this.#sendVersionTo(this.#backup);
  }

  #sendVersionTo(control: HostId, record: { entry?: Entry } = {}): void {
    const { clock, network, stopReports } = this.#options;
    const now = { steady: clock.now(), wall: clock.wallTime() };
    network.send(control, "confirm", {
      ...record,
      version: this.version,
      sequence: this.#freshness.startControlQuery(now),
      stops: stopReports(),
    });
  }

  /** The entry's record, unless the control host already has it. */
  #recordToSend(control: HostId, entry: Entry): { entry?: Entry } {
    const { state } = entry;
    const sent = this.#sentRecord;
    if (sent?.control === control && sent.state === state) return {};
    this.#sentRecord = { control, state };
    return { entry };
  }

  /** Each entry has its own order, which spreads heartbeats over the hosts. */
  #controlsInOrder(): HostId[] {
    return rendezvousOrder(
      this.#options.self().id,
      this.#options.connectedControls().map((id) => ({ id })),
    ).map(({ id }) => id);
  }

  /** The host that is followed, or the next one in this entry's order. */
  #chooseControl(): HostId | undefined {
    const controls = this.#controlsInOrder();
    if (this.#control !== undefined && controls.includes(this.#control)) {
      return this.#control;
    }
    const last = controls.indexOf(this.#lastAsked ?? "");
    return controls[(last + 1) % Math.max(1, controls.length)];
  }

  #askPeerVersions(now: number): void {
    const { network, self } = this.#options;
    const { view, version } = this.#configuration;
    const own = self();
    const round = this.#freshness.startPeerQuery({
      view,
      version,
      self: own,
      now,
    });
    for (const id of this.#peersToAsk(view, round)) {
      network.send(id, "version_ask", { version, round });
    }
  }

  /**
   * All linked entries if they are a majority of the view, which confirms the version.
   * Others only tell of a newer one, for which a few of them in turn are enough.
   */
  #peersToAsk(view: View, round: number): readonly HostId[] {
    const { self, linkSilenceMs } = this.#options;
    const linked = view.entries
      .map(({ id }) => id)
      .filter((id) => id !== self().id && linkSilenceMs(id) !== undefined);
    if ((linked.length + 1) * 2 > view.entries.length) return linked;
    const first = (round * PEERS_WITHOUT_MAJORITY) % Math.max(1, linked.length);
    return [...linked, ...linked].slice(
      first,
      first + Math.min(PEERS_WITHOUT_MAJORITY, linked.length),
    );
  }

  #tellVersion(peer: HostId, round: number): void {
    const { version } = this;
    this.#options.network.send(peer, "version_answer", { version, round });
  }

  /**
   * Requests a newer configuration from one peer. All peers report their
   * version at the same time, and a whole configuration from each would fill
   * the links.
   */
  #requestFromPeer(peer: HostId): void {
    const { clock, network } = this.#options;
    const now = clock.now();
    if (now - this.#requestedFromPeerAt < PEER_REQUEST_INTERVAL_MS) return;
    this.#requestedFromPeerAt = now;
    network.send(peer, "version_want", { version: this.version });
  }

  #apply(change: ConfigurationChange, source: ChangeSource): void {
    // The version never decreases, whoever sends the change.
    if (change.to <= this.version) return;
    const next = applyChange(this.#configuration, change);
    if (!next) {
      // The change has another base, as when it crossed a heartbeat.
      this.sendHeartbeat();
      return;
    }
    this.#configuration = next;
    this.#inForceSince = this.#options.clock.now();
    const { from, way, ageMs } = source;
    this.#options.logger.info("configuration in force", {
      version: next.version,
      revision: next.document.revision,
      from: from.id,
      way,
      ageMs,
    });
    this.#options.onReceived?.(way, ageMs ?? 0);
    this.#options.onChange(next);
    this.sendHeartbeat();
  }
}
