import { xxHash32 } from "js-xxhash";
import type { Fingerprint } from "./messages.ts";

/** What tells one request from another. */
export interface RequestIdentity {
  readonly service: string;
  readonly method: string;
  /** With the query. */
  readonly path: string;
  /** Value of `Idempotency-Key`, if there is one. */
  readonly key?: string | undefined;
  /** The complete body; undefined if it was too long to be buffered. */
  readonly body?: Uint8Array | undefined;
}

/** Short requests without a body need no hash, which costs several us. */
const MAX_PLAIN = 128;

/**
 * The fingerprint of a request: its key, else its content or a 64-bit hash of it, so
 * that requests that only look alike differ. Undefined without either.
 */
export function fingerprintOf(
  request: RequestIdentity,
): Fingerprint | undefined {
  if (request.key !== undefined) {
    return `${request.service}|${request.key.toLowerCase()}`;
  }
  if (request.body === undefined) return undefined;
  const head = `${request.service}|${request.method}|${request.path}|`;
  if (request.body.length === 0 && head.length <= MAX_PLAIN) return head;
  return [1, 2]
    .map((seed) => xxHash32(head, hashBody(request.body, seed)))
    .map((half) => half.toString(16).padStart(8, "0"))
    .join("");
}

function hashBody(body: Uint8Array | undefined, seed: number): number {
  return xxHash32((body ?? new Uint8Array()) as Buffer, seed);
}
