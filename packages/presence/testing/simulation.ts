import {
  type BackendServer,
  type Entry,
  type HostId,
  SeededRandomness,
  type View,
} from "#model";
import type { PresenceEffect, PresenceSend } from "../effects.ts";
import { Presence, type PresenceMessage } from "../presence.ts";
import type { Spread } from "../spread.ts";

/** Step of simulated time, in milliseconds. */
const STEP_MS = 50;
/** Incarnations are start times. */
const FIRST_INCARNATION = 1_764_792_000_000;
/** Silence after which a cut connection is noticed, as in `wire`. */
const NOTICED_AFTER_MS = 3_500;

/** What happens to messages; a connection of its own does none of it. */
export interface Weather {
  readonly loss: number;
  readonly duplication: number;
  /** Delays vary up to this, so that messages overtake each other. */
  readonly maxDelayMs: number;
}

export const CALM: Weather = { loss: 0, duplication: 0, maxDelayMs: 0 };

const BASE_DELAY_MS = 1;

interface Delivery {
  readonly at: number;
  readonly from: HostId;
  readonly to: HostId;
  readonly run: () => void;
}

/** Several entries with simulated time and connections. */
export class Simulation {
  now = 0;
  weather: Weather = CALM;
  readonly randomness: SeededRandomness;
  readonly entries = new Map<HostId, Presence>();
  /** Sees every message that is sent. */
  sent: (from: HostId, message: PresenceSend) => void = () => undefined;
  /** Sees every other effect. */
  noted: (at: HostId, effect: PresenceEffect) => void = () => undefined;
  readonly #view: View;
  readonly #spread: (() => Spread) | undefined;
  readonly #services: readonly string[];
  readonly #incarnations = new Map<HostId, number>();
  readonly #cut = new Set<string>();
  readonly #up = new Set<string>();
  readonly #frozen = new Set<HostId>();
  #deliveries: Delivery[] = [];

  constructor(options: {
    seed: number;
    /** Data centre of each entry. */
    entries: Readonly<Record<HostId, string>>;
    services?: readonly string[];
    spread?: () => Spread;
  }) {
    this.randomness = new SeededRandomness(options.seed);
    this.#spread = options.spread;
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
    for (const { id } of entries) this.start(id);
    this.run(1_000);
  }

  entry(id: HostId): Presence {
    const entry = this.entries.get(id);
    if (!entry) throw new Error(`${id} is not running`);
    return entry;
  }

  /** Starts an entry, or restarts it without its memory. */
  start(id: HostId): void {
    this.kill(id);
    const incarnation = (this.#incarnations.get(id) ?? FIRST_INCARNATION) + 1;
    this.#incarnations.set(id, incarnation);
    const entry = this.#view.entries.find((e) => e.id === id);
    const presence = new Presence({
      id,
      incarnation,
      dataCentre: entry?.dataCentre ?? "",
      randomness: this.randomness,
      spread: this.#spread?.(),
    });
    this.entries.set(id, presence);
    const configuration = { services: this.#services, view: this.#view };
    this.carry(id, presence.configure(configuration, this.now));
  }

  /** Ends an entry; its connections are reset at once. */
  kill(id: HostId): void {
    if (!this.entries.delete(id)) return;
    this.#frozen.delete(id);
    for (const other of this.entries.keys()) this.#disconnect(id, other);
  }

  /** Stops an entry without closing its connections. */
  freeze(id: HostId): void {
    if (this.#frozen.has(id)) return;
    this.#frozen.add(id);
    const frozen = this.entries.get(id);
    this.#after(NOTICED_AFTER_MS, () => {
      if (!this.#frozen.has(id) || this.entries.get(id) !== frozen) return;
      for (const other of this.entries.keys()) this.#disconnect(id, other);
    });
  }

  thaw(id: HostId): void {
    this.#frozen.delete(id);
  }

  /** Drops all messages between two entries without a sign. */
  cut(a: HostId, b: HostId): void {
    this.#cut.add(pair(a, b));
    this.#after(NOTICED_AFTER_MS, () => {
      if (this.#cut.has(pair(a, b))) this.#disconnect(a, b);
    });
  }

  /** Separates these entries from all others. */
  partition(side: readonly HostId[]): void {
    for (const { id } of this.#view.entries) {
      if (side.includes(id)) continue;
      for (const other of side) this.cut(id, other);
    }
  }

  heal(): void {
    this.#cut.clear();
  }

  announce(at: HostId, server: BackendServer) {
    const { result, effects } = this.entry(at).announce(server, this.now);
    this.carry(at, effects);
    return result;
  }

  leave(at: HostId, { service, id, incarnation }: BackendServer) {
    const leave = { service, id, incarnation };
    const { result, effects } = this.entry(at).leave(leave, this.now);
    this.carry(at, effects);
    return result;
  }

  /** The service's servers at an entry as `id@incarnation:state`. */
  seen(at: HostId, service = "alloc"): string[] {
    return this.entry(at)
      .servers(service, this.now)
      .map((s) => `${s.id}@${s.incarnation}:${s.state}`);
  }

  /** The running entries that do not see exactly these servers. */
  disagreeing(expected: readonly string[], service = "alloc"): HostId[] {
    const wanted = [...expected].sort().join(" ");
    return [...this.entries.keys()].filter(
      (id) => this.seen(id, service).sort().join(" ") !== wanted,
    );
  }

  /** Lets time pass; `each` runs after every step. */
  run(ms: number, each: () => void = () => undefined): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#connect();
      this.#deliver();
      for (const [id, entry] of this.entries) {
        if (!this.#frozen.has(id)) this.carry(id, entry.tick(this.now));
      }
      each();
    }
  }

  /** Carries out the effects of an entry. */
  carry(from: HostId, effects: readonly PresenceEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== "send") {
        this.noted(from, effect);
        continue;
      }
      this.sent(from, effect);
      this.#transmit(from, effect);
    }
  }

  #transmit(from: HostId, { to, kind, payload }: PresenceSend): void {
    const link = pair(from, to);
    const { loss, duplication, maxDelayMs } = this.weather;
    if (!this.#up.has(link) || this.#cut.has(link)) return;
    if (this.randomness.next() < loss) return;
    const copies = this.randomness.next() < duplication ? 2 : 1;
    const receiver = this.entries.get(to);
    const message = structuredClone({ kind, payload }) as PresenceMessage;
    const run = () => {
      // A restarted process has none of its predecessor's connections.
      if (!receiver || this.entries.get(to) !== receiver) return;
      this.carry(to, receiver.receive(from, message, this.now));
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
    const held = new Set(due);
    this.#deliveries = this.#deliveries.filter((d) => !held.has(d));
    for (const { run } of due.sort((a, b) => a.at - b.at)) run();
  }

  #after(ms: number, run: () => void): void {
    this.#deliveries.push({ at: this.now + ms, from: "", to: "", run });
  }

  #connect(): void {
    const ids = [...this.entries.keys()];
    for (const [index, a] of ids.entries()) {
      for (const b of ids.slice(index + 1)) {
        const link = pair(a, b);
        if (this.#up.has(link) || this.#cut.has(link)) continue;
        if (this.#frozen.has(a) || this.#frozen.has(b)) continue;
        this.#up.add(link);
        this.carry(a, this.entry(a).peerUp(b, this.now));
        this.carry(b, this.entry(b).peerUp(a, this.now));
      }
    }
  }

  #disconnect(a: HostId, b: HostId): void {
    const link = pair(a, b);
    if (!this.#up.delete(link)) return;
    this.#deliveries = this.#deliveries.filter(
      ({ from, to }) => pair(from, to) !== link,
    );
    const [first, second] = [this.entries.get(a), this.entries.get(b)];
    if (first) this.carry(a, first.peerDown(b, this.now));
    if (second) this.carry(b, second.peerDown(a, this.now));
  }
}

function pair(a: HostId, b: HostId): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}

/** A server's announcement with usual values. */
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

/** Entries named `e1` to `en`, divided over the data centres in turn. */
export function entriesIn(count: number, dataCentres: readonly string[]) {
  return Object.fromEntries(
    Array.from({ length: count }, (_, i) => [
      `e${i + 1}`,
      dataCentres[i % dataCentres.length] ?? "",
    ]),
  );
}
