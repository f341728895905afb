import {
  type BackendServer,
  type Entry,
  type HostId,
  SeededRandomness,
  type View,
} from "#model";
import type { Dissemination } from "../dissemination.ts";
import type { PresenceEffect, PresenceSend } from "../effects.ts";
import { Presence, type PresenceMessage } from "../presence.ts";
import { MAX_MESH_ENTRIES, selectRelays } from "../relays.ts";

/** Step of simulated time, in milliseconds. */
const STEP_MS = 50;
/** Incarnations are start times. */
const FIRST_INCARNATION = 1_764_792_000_000;
/** Silence after which a connection is closed, as in `wire`. */
const DISCONNECT_DELAY_MS = 4_500;

/** Simulated faults; a TCP connection by itself has none of them. */
export interface NetworkConditions {
  readonly loss: number;
  readonly duplication: number;
  /** Delays are random up to this limit, so messages can be reordered. */
  readonly maxDelayMs: number;
}

export const RELIABLE_NETWORK: NetworkConditions = {
  loss: 0,
  duplication: 0,
  maxDelayMs: 0,
};

const BASE_DELAY_MS = 1;

interface Delivery {
  readonly at: number;
  readonly from: HostId;
  readonly to: HostId;
  readonly run: () => void;
}

/** Runs several entries in one process with simulated time and connections. */
export class Simulation {
  now = 0;
  network: NetworkConditions = RELIABLE_NETWORK;
  readonly randomness: SeededRandomness;
  readonly entries = new Map<HostId, Presence>();
  /** Called with every message that is sent. */
  onSend: (from: HostId, message: PresenceSend) => void = () => undefined;
  /** Called with every effect other than a message. */
  onOtherEffect: (at: HostId, effect: PresenceEffect) => void = () => undefined;
  readonly #view: View;
  readonly #dissemination: (() => Dissemination) | undefined;
  readonly #maxMeshEntries: number | undefined;
  readonly #services: readonly string[];
  /** Data centre of each process that registers servers but is no entry. */
  readonly #registrars: Readonly<Record<HostId, string>>;
  /** Pairs of processes that keep a link to each other. */
  readonly #linkedPairs: readonly (readonly [HostId, HostId])[];
  readonly #incarnations = new Map<HostId, number>();
  readonly #silentLinks = new Set<string>();
  readonly #openLinks = new Set<string>();
  readonly #frozen = new Set<HostId>();
  #deliveries: Delivery[] = [];

  constructor(options: {
    seed: number;
    /** Data centre of each entry. */
    entries: Readonly<Record<HostId, string>>;
    services?: readonly string[];
    dissemination?: () => Dissemination;
    registrars?: Readonly<Record<HostId, string>>;
    /** Whether two processes keep a link; all do if absent. */
    linked?: (view: View, a: HostId, b: HostId) => boolean;
    maxMeshEntries?: number;
  }) {
    this.#maxMeshEntries = options.maxMeshEntries;
    this.randomness = new SeededRandomness(options.seed);
    this.#dissemination = options.dissemination;
    this.#services = options.services ?? ["alloc"];
    const entries = Object.entries(options.entries).map(
      ([id, dataCentre]): Entry => ({
        id,
        incarnation: 1,
        dataCentre,
        http: { host: id, port: 80 },
        peer: { host: id, port: 81 },
        state: "ready",
      }),
    );
    this.#view = { epoch: 1, entries, began: 0 };
    this.#registrars = options.registrars ?? {};
    const ids = [
      ...entries.map(({ id }) => id),
      ...Object.keys(this.#registrars),
    ];
    const { linked = () => true } = options;
    this.#linkedPairs = ids.flatMap((a, index) =>
      ids
        .slice(index + 1)
        .filter((b) => linked(this.#view, a, b))
        .map((b) => [a, b] as const),
    );
    for (const id of ids) this.start(id);
    this.run(1_000);
  }

  entry(id: HostId): Presence {
    const entry = this.entries.get(id);
    if (!entry) throw new Error(`${id} is not running`);
    return entry;
  }

  /** Starts an entry, or restarts it with its memory lost. */
  start(id: HostId): void {
    this.kill(id);
    const incarnation = (this.#incarnations.get(id) ?? FIRST_INCARNATION) + 1;
    this.#incarnations.set(id, incarnation);
    const entry = this.#view.entries.find((e) => e.id === id);
    const registrarIn = this.#registrars[id];
    const presence = new Presence({
      id,
      incarnation,
      dataCentre: entry?.dataCentre ?? registrarIn ?? "",
      maxMeshEntries: this.#maxMeshEntries,
      registrarOnly: registrarIn !== undefined,
      randomness: this.randomness,
      dissemination: this.#dissemination?.(),
    });
    this.entries.set(id, presence);
    const registrars = registrarIn ? [] : Object.keys(this.#registrars);
    const configuration = {
      services: this.#services,
      view: this.#view,
      registrars,
    };
    this.applyEffects(id, presence.configure(configuration, this.now));
  }

  /** Ends an entry; its connections are reset immediately. */
  kill(id: HostId): void {
    if (!this.entries.delete(id)) return;
    this.#frozen.delete(id);
    for (const other of this.entries.keys()) this.#disconnect(id, other);
  }

  /** Suspends an entry; peers close its connections once they are silent. */
  freeze(id: HostId): void {
    if (this.#frozen.has(id)) return;
    this.#frozen.add(id);
    const frozen = this.entries.get(id);
    this.#schedule(DISCONNECT_DELAY_MS, () => {
      if (!this.#frozen.has(id) || this.entries.get(id) !== frozen) return;
      for (const other of this.entries.keys()) this.#disconnect(id, other);
    });
  }

  unfreeze(id: HostId): void {
    this.#frozen.delete(id);
  }

  /** Silently drops all messages between two entries. */
  dropTraffic(a: HostId, b: HostId): void {
    this.#silentLinks.add(pair(a, b));
    this.#schedule(DISCONNECT_DELAY_MS, () => {
      if (this.#silentLinks.has(pair(a, b))) this.#disconnect(a, b);
    });
  }

  /** Drops all messages between these entries and the others. */
  partition(isolated: readonly HostId[]): void {
    for (const { id } of this.#view.entries) {
      if (isolated.includes(id)) continue;
      for (const other of isolated) this.dropTraffic(id, other);
    }
  }

  heal(): void {
    this.#silentLinks.clear();
  }

  announce(at: HostId, server: BackendServer) {
    const { result, effects } = this.entry(at).announce(server, this.now);
    this.applyEffects(at, effects);
    return result;
  }

  leave(at: HostId, { service, id, incarnation }: BackendServer) {
    const leave = { service, id, incarnation };
    const { result, effects } = this.entry(at).leave(leave, this.now);
    this.applyEffects(at, effects);
    return result;
  }

  /** The service's servers known at an entry, as `id@incarnation:state`. */
  visibleServers(at: HostId, service = "alloc"): string[] {
    return this.entry(at)
      .servers(service, this.now)
      .map((s) => `${s.id}@${s.incarnation}:${s.state}`);
  }

  /** The running entries that do not know exactly these servers. */
  entriesNotSeeing(expected: readonly string[], service = "alloc"): HostId[] {
    const wanted = [...expected].sort().join(" ");
    return [...this.entries.keys()].filter(
      (id) => this.visibleServers(id, service).sort().join(" ") !== wanted,
    );
  }

  /** Advances time by `ms`; `afterStep` runs after every step. */
  run(ms: number, afterStep: () => void = () => undefined): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#openConnections();
      this.#deliver();
      for (const [id, entry] of this.entries) {
        if (!this.#frozen.has(id)) this.applyEffects(id, entry.tick(this.now));
      }
      afterStep();
    }
  }

  /** Carries out the effects of an entry. */
  applyEffects(from: HostId, effects: readonly PresenceEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== "send") {
        this.onOtherEffect(from, effect);
        continue;
      }
      this.onSend(from, effect);
      this.#transmit(from, effect);
    }
  }

  #transmit(from: HostId, { to, kind, payload }: PresenceSend): void {
    const link = pair(from, to);
    const { loss, duplication, maxDelayMs } = this.network;
    if (!this.#openLinks.has(link) || this.#silentLinks.has(link)) return;
    if (this.randomness.next() < loss) return;
    const copies = this.randomness.next() < duplication ? 2 : 1;
    const receiver = this.entries.get(to);
    const message = structuredClone({ kind, payload }) as PresenceMessage;
    const run = () => {
      // A restarted process does not get messages sent to its predecessor.
      if (!receiver || this.entries.get(to) !== receiver) return;
      this.applyEffects(to, receiver.receive(from, message, this.now));
    };
    for (let copy = 0; copy < copies; copy++) {
      const delay = BASE_DELAY_MS + this.randomness.next() * maxDelayMs;
      this.#deliveries.push({ at: this.now + delay, from, to, run });
    }
  }

  #deliver(): void {
    const due = this.#deliveries.filter(
      ({ at, to }) => at <= this.now && !this.#frozen.has(to),
    );
    const delivered = new Set(due);
    this.#deliveries = this.#deliveries.filter((d) => !delivered.has(d));
    for (const { run } of due.sort((a, b) => a.at - b.at)) run();
  }

  #schedule(ms: number, run: () => void): void {
    this.#deliveries.push({ at: this.now + ms, from: "", to: "", run });
  }

  #openConnections(): void {
    for (const [a, b] of this.#linkedPairs) {
      if (!this.entries.has(a) || !this.entries.has(b)) continue;
      const link = pair(a, b);
      if (this.#openLinks.has(link) || this.#silentLinks.has(link)) continue;
      if (this.#frozen.has(a) || this.#frozen.has(b)) continue;
      this.#openLinks.add(link);
      this.applyEffects(a, this.entry(a).peerUp(b, this.now));
      this.applyEffects(b, this.entry(b).peerUp(a, this.now));
    }
  }

  #disconnect(a: HostId, b: HostId): void {
    const link = pair(a, b);
    if (!this.#openLinks.delete(link)) return;
    this.#deliveries = this.#deliveries.filter(
      ({ from, to }) => pair(from, to) !== link,
    );
    const [first, second] = [this.entries.get(a), this.entries.get(b)];
    if (first) this.applyEffects(a, first.peerDown(b, this.now));
    if (second) this.applyEffects(b, second.peerDown(a, this.now));
  }
}

/**
 * The links that entries keep at a large site: to the relays of their data
 * centre. Relays are linked to each other and to all registrars.
 */
export function linkedByRelays(
  maxMeshEntries = MAX_MESH_ENTRIES,
): (view: View, a: HostId, b: HostId) => boolean {
  let relays: Set<HostId> | undefined;
  const dataCentres = new Map<HostId, string>();
  return (view, a, b) => {
    if (!relays) {
      relays = relayIds(view, maxMeshEntries);
      for (const entry of view.entries) {
        dataCentres.set(entry.id, entry.dataCentre);
      }
    }
    if (relays.has(a) && relays.has(b)) return true;
    if (!relays.has(a) && !relays.has(b)) return false;
    const [first, second] = [dataCentres.get(a), dataCentres.get(b)];
    return first === undefined || second === undefined || first === second;
  };
}

/** The relays of all data centres. */
export function relayIds(
  view: View,
  maxMeshEntries = MAX_MESH_ENTRIES,
): Set<HostId> {
  const relays = selectRelays(view, maxMeshEntries);
  return new Set([...(relays?.values() ?? [])].flat());
}

function pair(a: HostId, b: HostId): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}

/** A server's announcement with default values. */
export function server(
  id: string,
  values: Partial<BackendServer> = {},
): BackendServer {
  return {
    id,
    service: "alloc",
    address: { host: "10.0.1.7", port: 9_000 },
    dataCentre: "riga-a",
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: 6,
    connections: 300,
    inFlight: 0,
    startedMsAgo: 0,
    ...values,
  };
}

/** Entries named `e1`, `e2` and so on, assigned to data centres in rotation. */
export function entriesAcross(count: number, dataCentres: readonly string[]) {
  return Object.fromEntries(
    Array.from({ length: count }, (_, i) => [
      `e${i + 1}`,
      dataCentres[i % dataCentres.length] ?? "",
    ]),
  );
}
