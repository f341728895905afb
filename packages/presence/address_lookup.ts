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
import { LOST_AFTER_MS } from "./timings.ts";

/** How long a caller may use a response, in milliseconds. */
export const ADDRESS_KEEP_MS = 10_000;

/**
 * How long a stopping entry keeps serving, in milliseconds: until every other
 * entry knows that it stops or counts it as lost, and the responses given until
 * then have expired at their callers. Another 1 s covers a response in transit.
 */
export const SERVE_AFTER_STOPPING_MS = LOST_AFTER_MS + ADDRESS_KEEP_MS + 1_000;

/** Most addresses in one response; callers open connections to each. */
const MAX_ADDRESSES = 6;
/** Most near addresses when a part of the calls spills over farther. */
const MAX_NEAR_WHEN_SPILLING = 4;
/** Fewest addresses in a response, as far as available, for failover. */
const MIN_ADDRESSES = 3;
/** Load from which an entry is left out if others are available. */
const OVERLOAD_PERCENT = 95;
/** Mean load of the near entries from which calls spill over. */
const SPILLOVER_START_PERCENT = 70;
/** A fully loaded entry keeps this weight, so that loads stay comparable. */
const MIN_WEIGHT = 0.05;

/** The JSON response to `GET /.mangobank/addresses`. */
export interface AddressesResponse {
  readonly addresses: readonly {
    readonly host: string;
    readonly port: number;
    readonly data_centre: DataCentre;
    /** Share of calls relative to the others; 0 marks a fallback. */
    readonly weight: number;
  }[];
  readonly keep_ms: number;
}

/** The known entries and loads that a response is computed from. */
export interface LookupState {
  readonly view: View;
  readonly loads: ReadonlyMap<HostId, EntryLoad>;
  readonly regions: Document["regions"];
  /** Entries that reach no server of some service, as far as they said so. */
  readonly cutOff?: ReadonlySet<HostId>;
}

interface Candidate {
  readonly dataCentre: DataCentre;
  readonly address: Address;
  readonly load: number;
  readonly distance: number;
}

interface WeightedCandidate {
  readonly candidate: Candidate;
  readonly weight: number;
}

/** Selects the entries that a caller should send its calls to. */
export class AddressLookup {
  readonly #randomness: Randomness;
  readonly #keepMs: number;

  constructor(randomness: Randomness, keepMs = ADDRESS_KEEP_MS) {
    this.#randomness = randomness;
    this.#keepMs = keepMs;
  }

  /** Selects entries near the caller's data centre, if it names one. */
  selectAddresses(
    caller: { readonly dataCentre?: DataCentre },
    state: LookupState,
  ): AddressesResponse {
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

  #choose(candidates: readonly Candidate[]): WeightedCandidate[] {
    const chosen: WeightedCandidate[] = [];
    const unused: Candidate[] = [];
    for (const { members, share } of sharesByDistance(candidates)) {
      // Leave room for farther entries, which take the calls that spill over.
      const limit =
        chosen.length === 0 && share < 1
          ? MAX_NEAR_WHEN_SPILLING
          : MAX_ADDRESSES;
      const count =
        share > 0 ? Math.min(limit, MAX_ADDRESSES - chosen.length) : 0;
      chosen.push(...assignWeights(members.slice(0, count), share));
      unused.push(...members.slice(count));
    }
    // Include at least one farther entry: the nearest data centre may fail.
    const nearest = chosen[0]?.candidate.distance ?? 0;
    const hasFarther = chosen.some(({ candidate: c }) => c.distance > nearest);
    const nearestFarther = unused.find(({ distance: d }) => d > nearest);
    const missing = Math.max(0, MIN_ADDRESSES - chosen.length);
    const fallbacks = new Set(unused.slice(0, missing));
    if (!hasFarther && nearestFarther) fallbacks.add(nearestFarther);
    return [
      ...chosen,
      ...[...fallbacks].map((candidate) => ({ candidate, weight: 0 })),
    ];
  }

  /** Orders candidates at random, which spreads callers over all entries. */
  #shuffle(candidates: readonly Candidate[]): Candidate[] {
    return candidates
      .map((candidate) => ({ candidate, rank: this.#randomness.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ candidate }) => candidate);
  }
}

/** Entries that callers may use; falls back to worse ones if none is left. */
function usableEntries(state: LookupState): readonly Entry[] {
  const { view, loads } = state;
  const running = view.entries.filter(
    ({ id, state }) => state !== "stopping" && !loads.get(id)?.stopping,
  );
  const reachable = running.filter(({ id }) => loads.get(id)?.reachable);
  // An entry that reaches at most half of the entries may itself be cut off.
  const connected = reachable.length * 2 > running.length ? reachable : running;
  const available = withoutCutOff(connected, state.cutOff);
  const notOverloaded = available.filter(
    ({ id }) => (loads.get(id)?.load ?? 0) < OVERLOAD_PERCENT,
  );
  const tiers = [notOverloaded, available, view.entries];
  return tiers.find((entries) => entries.length > 0) ?? [];
}

/**
 * Leaves out entries that are cut off, which pass calls on to others. They stay
 * in where they are more than half of a data centre, whose other entries could
 * not take all of its callers.
 */
function withoutCutOff(
  entries: readonly Entry[],
  cutOff: ReadonlySet<HostId> | undefined,
): readonly Entry[] {
  if (!cutOff || cutOff.size === 0) return entries;
  return entries.filter(({ id, dataCentre }) => {
    if (!cutOff.has(id)) return true;
    const near = entries.filter((entry) => entry.dataCentre === dataCentre);
    return (
      2 * near.filter((entry) => cutOff.has(entry.id)).length > near.length
    );
  });
}

/** 0 in the same data centre, 1 in the same region, 2 elsewhere. */
function distance(
  from: DataCentre | undefined,
  to: DataCentre,
  regions: Document["regions"],
): number {
  if (from === undefined || from === to) return 0;
  const sameRegion = Object.values(regions).some(
    (dataCentres) => dataCentres.includes(from) && dataCentres.includes(to),
  );
  return sameRegion ? 1 : 2;
}

/** Divides the caller's calls among the distances, nearest first. */
function sharesByDistance(candidates: readonly Candidate[]) {
  const tiers = [0, 1, 2]
    .map((tier) => candidates.filter(({ distance: d }) => d === tier))
    .filter((members) => members.length > 0);
  let remainingShare = 1;
  return tiers.map((members, index) => {
    const spill = remainingShare * spilloverShare(members, tiers[index + 1]);
    const share = remainingShare - spill;
    remainingShare = spill;
    return { members, share };
  });
}

/** Divides a share among entries by their spare capacity. */
function assignWeights(
  members: readonly Candidate[],
  share: number,
): WeightedCandidate[] {
  const total = members.reduce((sum, member) => sum + spareCapacity(member), 0);
  return members.map((candidate) => ({
    candidate,
    weight: (share * spareCapacity(candidate)) / total,
  }));
}

/** Share of the calls that spills over to the next distance, from 0 to 1. */
function spilloverShare(
  members: readonly Candidate[],
  next: readonly Candidate[] | undefined,
): number {
  if (!next) return 0;
  // No spillover to entries that are at least as busy.
  const threshold = Math.max(SPILLOVER_START_PERCENT, meanLoad(next));
  const spill =
    (meanLoad(members) - threshold) / (100 - SPILLOVER_START_PERCENT);
  return Math.min(1, Math.max(0, spill));
}

function meanLoad(members: readonly Candidate[]): number {
  return members.reduce((sum, { load }) => sum + load, 0) / members.length;
}

function spareCapacity({ load }: Candidate): number {
  return Math.max(MIN_WEIGHT, 1 - load / 100);
}
