import type { Clock, Entry, HostId, View } from "#model";
import type { Hello, MessageMap, Network, Peer } from "#wire";

/** Time after its last use at which a link on demand is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Time for which messages wait for a link; claims are given up by then. */
const MESSAGE_TIMEOUT_MS = 2_000;
/** Most messages that wait for one link. */
const MAX_QUEUED_MESSAGES = 256;

interface QueuedMessage {
  readonly queuedAt: number;
  readonly send: () => void;
}

interface LinkOnDemand {
  usedAt: number;
  queue: QueuedMessage[];
}

/**
 * A network that also reaches entries to which no link is kept: it asks for a
 * link at the first message and holds messages until the link is open.
 */
export class OnDemandLinks<M extends MessageMap> implements Network<M> {
  readonly #network: Network<M>;
  readonly #clock: Clock;
  readonly #onPeersChanged: () => void;
  readonly #links = new Map<HostId, LinkOnDemand>();
  #entries: ReadonlyMap<HostId, Entry> = new Map();

  constructor(options: {
    network: Network<M>;
    clock: Clock;
    /** Called when the peers to link have changed. */
    onPeersChanged: () => void;
  }) {
    this.#network = options.network;
    this.#clock = options.clock;
    this.#onPeersChanged = options.onPeersChanged;
  }

  /** The entries to which a link is needed at present. */
  get peers(): Peer[] {
    return [...this.#links.keys()].flatMap((id) => {
      const entry = this.#entries.get(id);
      return entry ? [{ id, address: entry.peer }] : [];
    });
  }

  /** Sets the entries to which a link may be opened. */
  setView({ entries }: View): void {
    this.#entries = new Map(entries.map((entry) => [entry.id, entry]));
  }

  send<K extends keyof M & string>(to: HostId, kind: K, payload: M[K]) {
    const now = this.#clock.now();
    const link = this.#links.get(to);
    if (link) link.usedAt = now;
    if (this.#network.send(to, kind, payload)) return true;
    if (!this.#entries.has(to)) return false;
    const queue = (link ?? this.#open(to, now)).queue;
    if (queue.length >= MAX_QUEUED_MESSAGES) return false;
    queue.push({
      queuedAt: now,
      send: () => this.#network.send(to, kind, payload),
    });
    return true;
  }

  broadcast<K extends keyof M & string>(
    to: readonly HostId[],
    kind: K,
    payload: M[K],
  ): void {
    for (const id of to) this.send(id, kind, payload);
  }

  handle<K extends keyof M & string>(
    kind: K,
    handler: (payload: M[K], from: Hello) => void,
  ): void {
    this.#network.handle(kind, handler);
  }

  /** Sends the messages that wait for a link that has opened. */
  peerUp(id: HostId): void {
    const link = this.#links.get(id);
    if (!link) return;
    const { queue } = link;
    link.queue = [];
    const oldest = this.#clock.now() - MESSAGE_TIMEOUT_MS;
    for (const message of queue) {
      if (message.queuedAt >= oldest) message.send();
    }
  }

  /** Closes idle links; to be called every few seconds. */
  tick(): void {
    const idleSince = this.#clock.now() - IDLE_TIMEOUT_MS;
    const before = this.#links.size;
    for (const [id, { usedAt }] of this.#links) {
      if (usedAt < idleSince || !this.#entries.has(id)) this.#links.delete(id);
    }
    if (this.#links.size < before) this.#onPeersChanged();
  }

  #open(id: HostId, now: number): LinkOnDemand {
    const link: LinkOnDemand = { usedAt: now, queue: [] };
    this.#links.set(id, link);
    this.#onPeersChanged();
    return link;
  }
}
