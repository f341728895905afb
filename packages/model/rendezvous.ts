import { xxHash32 } from "js-xxhash";

/** Most cached hashes of ids; each id is hashed with many keys. */
const MAX_CACHED_HASHES = 10_000;

const hashCache = new Map<string, number>();

/**
 * Orders candidates by rendezvous hashing: the same key and set of candidates
 * give the same order on every host, and losing a candidate moves only the keys
 * that were assigned to it.
 */
export function rendezvousOrder<T extends { readonly id: string }>(
  key: string,
  candidates: readonly T[],
): T[] {
  const keyHash = hash32(key);
  return candidates
    .map((candidate) => ({
      candidate,
      weight: computeWeight(keyHash, candidate.id),
    }))
    .sort(
      (a, b) =>
        b.weight - a.weight || (a.candidate.id < b.candidate.id ? -1 : 1),
    )
    .map(({ candidate }) => candidate);
}

/** The first candidate of `rendezvousOrder`, without sorting the others. */
export function rendezvousFirst<T extends { readonly id: string }>(
  key: string,
  candidates: readonly T[],
): T | undefined {
  const keyHash = hash32(key);
  let first: T | undefined;
  let highestWeight = -1;
  for (const candidate of candidates) {
    const weight = computeWeight(keyHash, candidate.id);
    if (weight < highestWeight) continue;
    if (weight === highestWeight && first && first.id < candidate.id) continue;
    first = candidate;
    highestWeight = weight;
  }
  return first;
}

/** A 32-bit hash that is not collision-resistant against attackers. */
export function hash32(text: string): number {
  return xxHash32(text);
}

function computeWeight(keyHash: number, id: string): number {
  return mixBits(keyHash ^ cachedHash(id));
}

function cachedHash(id: string): number {
  const cached = hashCache.get(id);
  if (cached !== undefined) return cached;
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear();
  const hash = mixBits(hash32(id));
  hashCache.set(id, hash);
  return hash;
}

/** Makes every input bit affect all output bits (MurmurHash3's finalizer). */
function mixBits(value: number): number {
  let bits = value;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85eb_ca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
