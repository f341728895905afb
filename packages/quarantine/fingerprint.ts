import { xxHash32 } from "js-xxhash";
import type { Fingerprint } from "./messages.ts";

/** The properties that distinguish a request from others. */
export interface RequestIdentity {
  readonly service: string;
  readonly method: string;
  /** Including the query string. */
  readonly path: string;
  /** Value of the header `Idempotency-Key`, if present. */
  readonly key?: string | undefined;
  /** The complete body; undefined if it is too long to be buffered. */
  readonly body?: Uint8Array | undefined;
}

/**
 * Requests without a body are hashed only if their description is longer than
 * this, since a hash takes several microseconds.
 */
const MAX_UNHASHED_LENGTH = 128;

/**
 * Computes the fingerprint of a request: its idempotency key, else its content
 * or a 64-bit hash of it, so that similar requests differ. Undefined without a
 * key or a complete body.
 */
export function fingerprintOf(
  request: RequestIdentity,
): Fingerprint | undefined {
  if (request.key !== undefined) {
    return `${request.service}|${request.key.toLowerCase()}`;
  }
  if (request.body === undefined) return undefined;
  const head = `${request.service}|${request.method}|${request.path}|`;
  if (request.body.length === 0 && head.length <= MAX_UNHASHED_LENGTH)
    return head;
  return [1, 2]
    .map((seed) => xxHash32(head, hashBody(request.body, seed)))
    .map((half) => half.toString(16).padStart(8, "0"))
    .join("");
}

function hashBody(body: Uint8Array | undefined, seed: number): number {
  return xxHash32((body ?? new Uint8Array()) as Buffer, seed);
}
