import { xxHash32 } from "js-xxhash";

/**
 * Orders candidates by rendezvous hashing: the same key and set of candidates
 * give the same order everywhere, and a lost candidate moves only its own keys.
 */
export function rendezvousOrder<T extends { readonly id: string }>(
  key: string,
  candidates: readonly T[],
): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      weight: hash32(`${key}|${candidate.id}`),
    }))
    .sort(
      (a, b) =>
        b.weight - a.weight || (a.candidate.id < b.candidate.id ? -1 : 1),
    )
    .map(({ candidate }) => candidate);
}

/** A 32-bit hash for keys that need no protection against forgery. */
export function hash32(text: string): number {
  return xxHash32(text);
}
