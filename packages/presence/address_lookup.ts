import type {
  Address,
  DataCentre,
  Document,
  Entry,
  HostId,
  Randomness,
  View,
} from "#model";
import type { EntryLoad } from "./presence.ts";
import { LOST_MS } from "./timings.ts";

/** How long a caller may use an answer, in milliseconds. */
export const KEEP_MS = 10_000;

/**
 * How long an entry that stops goes on serving: until the last entry has
 * heard of it or has missed its summaries, and the answers given until then
 * have expired at their callers, with 1 s for an answer on its way.
 */
export const SERVE_AFTER_STOPPING_MS = LOST_MS + KEEP_MS + 1_000;

/** Addresses in one answer; callers open connections to each. */
const MAX_ADDRESSES = 6;
/** Of these, near ones where a part of the calls goes farther. */
const NEAR_WHEN_SPILLING = 4;
/** Addresses that a caller can fail over between, if there are as many. */
const MIN_ADDRESSES = 3;
/** Load in percent above which an entry is not named while others are. */
const OVERLOADED = 95;
/** Mean load in percent of the near entries above which some spills over. */
const SPILL_FROM = 70;
/** A busy entry keeps a little weight, so that its load can be compared. */
const LEAST_WEIGHT = 0.05;

/** The body of an answer to `GET /.mangobank/addresses`. */
export interface AddressesAnswer {
  readonly addresses: readonly {
    readonly host: string;
    readonly port: number;
    readonly data_centre: DataCentre;
    /** Share of calls relative to the others; 0 for use when others fail. */
    readonly weight: number;
  }[];
  readonly keep_ms: number;
}

/** What an answer is computed from. */
export interface LookupState {
  readonly view: View;
  readonly loads: ReadonlyMap<HostId, EntryLoad>;
  readonly regions: Document["regions"];
}

interface Candidate {
  readonly dataCentre: DataCentre;
  readonly address: Address;
  readonly load: number;
  readonly distance: number;
}

interface Weighted {
  readonly candidate: Candidate;
  readonly weight: number;
}

/** Answers callers that ask which entries to use. */
export class AddressLookup {
  readonly #randomness: Randomness;
  readonly #keepMs: number;

  constructor(randomness: Randomness, keepMs = KEEP_MS) {
    this.#randomness = randomness;
    this.#keepMs = keepMs;
  }

  /** The entries for a caller in this data centre, if it says one. */
  answer(
    caller: { readonly dataCentre?: DataCentre },
    state: LookupState,
  ): AddressesAnswer {
    const candidates = usableEntries(state).map((entry) => ({
      address: entry.http,
      dataCentre: entry.dataCentre,
      load: state.loads.get(entry.id)?.load ?? 0,
      distance: distance(caller.dataCentre, entry.dataCentre, state.regions),
    }));
    const chosen = this.#choose(this.#shuffle(candidates));
    return {
      addresses: chosen.map(({ candidate, weight }) => ({
        host: candidate.address.host,
        port: candidate.address.port,
        data_centre: candidate.dataCentre,
        weight: Math.round(weight * 1_000) / 1_000,
      })),
      keep_ms: this.#keepMs,
    };
  }

  #choose(candidates: readonly Candidate[]): Weighted[] {
    const chosen: Weighted[] = [];
    const spare: Candidate[] = [];
    for (const { members, share } of sharesByDistance(candidates)) {
      // Near entries leave room for those that take what spills over.
      const room =
        chosen.length === 0 && share < 1 ? NEAR_WHEN_SPILLING : MAX_ADDRESSES;
      const count =
        share > 0 ? Math.min(room, MAX_ADDRESSES - chosen.length) : 0;
      chosen.push(...weigh(members.slice(0, count), share));
      spare.push(...members.slice(count));
    }
    // One farther entry at least: the caller's data centre may be lost.
    const nearest = chosen[0]?.candidate.distance ?? 0;
    const reach = chosen.some(({ candidate: c }) => c.distance > nearest);
    const farther = spare.find(({ distance: d }) => d > nearest);
    const missing = Math.max(0, MIN_ADDRESSES - chosen.length);
    const spares = new Set(spare.slice(0, missing));
    if (!reach && farther) spares.add(farther);
    return [
      ...chosen,
      ...[...spares].map((candidate) => ({ candidate, weight: 0 })),
    ];
  }

  /** A new order for each answer spreads the callers. */
  #shuffle(candidates: readonly Candidate[]): Candidate[] {
    return candidates
      .map((candidate) => ({ candidate, rank: this.#randomness.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ candidate }) => candidate);
  }
}

/** Entries that may be named; never none while there is any. */
function usableEntries({ view, loads }: LookupState): readonly Entry[] {
  const going = view.entries.filter(
    ({ id, state }) => state !== "stopping" && !loads.get(id)?.stopping,
  );
  const heard = going.filter(({ id }) => loads.get(id)?.heard);
  // An entry that hears less than half of the others may itself be cut off.
  const alive = heard.length * 2 > going.length ? heard : going;
  const calm = alive.filter(
    ({ id }) => (loads.get(id)?.load ?? 0) < OVERLOADED,
  );
  const tiers = [calm, alive, view.entries];
  return tiers.find((entries) => entries.length > 0) ?? [];
}

/** 0 in the same data centre, 1 in the same region, 2 elsewhere. */
function distance(
  from: DataCentre | undefined,
  to: DataCentre,
  regions: Document["regions"],
): number {
  if (from === undefined || from === to) return 0;
  const together = Object.values(regions).some(
    (dataCentres) => dataCentres.includes(from) && dataCentres.includes(to),
  );
  return together ? 1 : 2;
}

/** The part of the caller's calls that each distance gets; near ones first. */
function sharesByDistance(candidates: readonly Candidate[]) {
  const tiers = [0, 1, 2]
    .map((tier) => candidates.filter(({ distance: d }) => d === tier))
    .filter((members) => members.length > 0);
  let rest = 1;
  return tiers.map((members, index) => {
    const spill = rest * spillOver(members, tiers[index + 1]);
    const share = rest - spill;
    rest = spill;
    return { members, share };
  });
}

/** Divides a share among entries by their spare capacity. */
function weigh(members: readonly Candidate[], share: number): Weighted[] {
  const total = members.reduce((sum, member) => sum + headroom(member), 0);
  return members.map((candidate) => ({
    candidate,
    weight: (share * headroom(candidate)) / total,
  }));
}

/** Part of the calls that the next distance takes, from 0 to 1. */
function spillOver(
  members: readonly Candidate[],
  next: readonly Candidate[] | undefined,
): number {
  if (!next) return 0;
  // Entries that are as busy themselves gain the caller nothing.
  const from = Math.max(SPILL_FROM, meanLoad(next));
  const spill = (meanLoad(members) - from) / (100 - SPILL_FROM);
  return Math.min(1, Math.max(0, spill));
}

function meanLoad(members: readonly Candidate[]): number {
  return members.reduce((sum, { load }) => sum + load, 0) / members.length;
}

function headroom({ load }: Candidate): number {
  return Math.max(LEAST_WEIGHT, 1 - load / 100);
}
