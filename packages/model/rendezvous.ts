import { xxHash32 } from "js-xxhash";

/** Hashes of ids that are kept, because each is weighed for many keys. */
const KEPT_HASHES = 10_000;

const hashes = new Map<string, number>();

/**
 * Orders candidates by rendezvous hashing: the same key and set of candidates
 * give the same order everywhere, and a lost candidate moves only its own keys.
 */
export function rendezvousOrder<T extends { readonly id: string }>(
  key: string,
  candidates: readonly T[],
): T[] {
  const hashOfKey = hash32(key);
  return candidates
    .map((candidate) => ({
      candidate,
      weight: weigh(hashOfKey, candidate.id),
    }))
    .sort(
      (a, b) =>
        b.weight - a.weight || (a.candidate.id < b.candidate.id ? -1 : 1),
    )
    .map(({ candidate }) => candidate);
}

/** The first of `rendezvousOrder`, without ordering the others. */
export function rendezvousFirst<T extends { readonly id: string }>(
  key: string,
  candidates: readonly T[],
): T | undefined {
  const hashOfKey = hash32(key);
  let first: T | undefined;
  let most = -1;
  for (const candidate of candidates) {
    const weight = weigh(hashOfKey, candidate.id);
    if (weight < most) continue;
    if (weight === most && first && first.id < candidate.id) continue;
    first = candidate;
    most = weight;
  }
  return first;
}

/** A 32-bit hash for keys that need no protection against forgery. */
export function hash32(text: string): number {
  return xxHash32(text);
}

function weigh(hashOfKey: number, id: string): number {
  return mix(hashOfKey ^ keptHash(id));
}

function keptHash(id: string): number {
  const kept = hashes.get(id);
  if (kept !== undefined) return kept;
  if (hashes.size >= KEPT_HASHES) hashes.clear();
  const hash = mix(hash32(id));
  hashes.set(id, hash);
  return hash;
}

/** Spreads each bit of the input over the result (MurmurHash3's finalizer). */
function mix(value: number): number {
  let bits = value;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85eb_ca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
