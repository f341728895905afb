import type { DataCentre, Entry, HostId, Randomness, View } from "#model";

/** Time for which an entry that refused a handed-over call is passed over. */
const REFUSAL_TTL_MS = 500;
/** Time after which an entry that reaches no server gets fewer callers. */
const LASTING_CUT_MS = 2_000;

/** An entry that accepts handed-over calls. */
export type HandoverTarget = Entry & Required<Pick<Entry, "handover">>;

/** What an entry has said of the servers that it does not reach. */
interface EntryCut {
  readonly services: ReadonlySet<string>;
  readonly since: number;
}

export interface HandoverTargetsOptions {
  readonly self: HostId;
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
}

/**
 * Chooses the entry that takes over a call which this entry cannot send to a
 * server. Near entries go first, as bytes between data centres cost; after a
 * refusal the next one is chosen elsewhere, since a cut often covers a data
 * centre. Of two random entries, the one with fewer calls of this entry is
 * chosen, which spreads them.
 */
export class HandoverTargets {
  readonly #options: HandoverTargetsOptions;
  #targets: readonly HandoverTarget[] = [];
  /** Services of which an entry has said that it reaches no server. */
  readonly #cutOff = new Map<HostId, EntryCut>();
  /** Ends of the times for which entries are passed over, by service. */
  readonly #refusedUntil = new Map<string, number>();
  readonly #inFlight = new Map<HostId, number>();

  constructor(options: HandoverTargetsOptions) {
    this.#options = options;
  }

  configure(view: View): void {
    const { self } = this.#options;
    this.#targets = view.entries.flatMap((entry) => {
      const { id, handover, state } = entry;
      const isTarget =
        id !== self && handover !== undefined && state === "ready";
      return isTarget ? [{ ...entry, handover }] : [];
    });
    const present = new Set(view.entries.map(({ id }) => id));
    for (const id of this.#cutOff.keys()) {
      if (!present.has(id)) this.#cutOff.delete(id);
    }
  }

  /** Records the services of which an entry reaches no server. */
  setCutOff(id: HostId, services: readonly string[], now: number): void {
    if (services.length === 0) {
      this.#cutOff.delete(id);
      return;
    }
    const since = this.#cutOff.get(id)?.since ?? now;
    this.#cutOff.set(id, { services: new Set(services), since });
  }

  /** Entries that have reached no server of some service for a while. */
  lastingCuts(now: number): ReadonlySet<HostId> {
    const ids = new Set<HostId>();
    for (const [id, { since }] of this.#cutOff) {
      if (now - since >= LASTING_CUT_MS) ids.add(id);
    }
    return ids;
  }

  /**
   * The entry to try next; undefined if there is none. `tried` are those that
   * did not take the call.
   */
  choose(
    service: string,
    { tried, now }: { tried: ReadonlySet<HostId>; now: number },
  ): HandoverTarget | undefined {
    const usable = this.#targets.filter(
      ({ id }) =>
        !tried.has(id) &&
        !this.#cutOff.get(id)?.services.has(service) &&
        now >= (this.#refusedUntil.get(key(service, id)) ?? 0),
    );
    const isNear = ({ dataCentre }: Entry) =>
      dataCentre === this.#options.dataCentre;
    const near = usable.filter(isNear);
    const far = usable.filter((entry) => !isNear(entry));
    const [first, second] = tried.size === 0 ? [near, far] : [far, near];
    return this.#leastUsed(first) ?? this.#leastUsed(second);
  }

  started(id: HostId): void {
    this.#inFlight.set(id, (this.#inFlight.get(id) ?? 0) + 1);
  }

  ended(id: HostId): void {
    const left = (this.#inFlight.get(id) ?? 1) - 1;
    if (left > 0) this.#inFlight.set(id, left);
    else this.#inFlight.delete(id);
  }

  /** Passes an entry over for a while that did not take a call. */
  refused(service: string, id: HostId, now: number): void {
    this.#refusedUntil.set(key(service, id), now + REFUSAL_TTL_MS);
    if (this.#refusedUntil.size <= 2 * this.#targets.length) return;
    for (const [entry, until] of this.#refusedUntil) {
      if (until <= now) this.#refusedUntil.delete(entry);
    }
  }

  #leastUsed(targets: readonly HandoverTarget[]): HandoverTarget | undefined {
    const { random } = this.#options;
    if (targets.length === 0) return undefined;
    const a = targets[random.below(targets.length)];
    const b = targets[random.below(targets.length)];
    if (!a || !b) return a ?? b;
    const used = (target: HandoverTarget) => this.#inFlight.get(target.id) ?? 0;
    return used(b) < used(a) ? b : a;
  }
}

function key(service: string, id: HostId): string {
  return `${service} ${id}`;
}
