import type { BackendServer } from "#model";
import { LEASE_MS } from "./timings.ts";

/** Resolution of ages; they are rounded up, so that leases only end earlier. */
const AGE_UNIT_MS = 600;
/** The age of a record that has ended, or ends within one unit. */
const ENDED = 15;
/** Greatest load below "more than the slots". */
const FULL = 14;

/** Packs age and load of a record into one byte, four bits for each. */
export function packRecord(
  { slots, inFlight }: Pick<BackendServer, "slots" | "inFlight">,
  remainingMs: number,
): number {
  const units = Math.ceil((LEASE_MS - remainingMs) / AGE_UNIT_MS);
  const age = remainingMs <= 0 ? ENDED : Math.min(Math.max(units, 0), ENDED);
  return (age << 4) | packLoad(slots, inFlight);
}

/** The remaining lease in a packed record, in milliseconds. */
export function remainingLease(packed: number): number {
  const age = packed >> 4;
  return age === ENDED ? 0 : LEASE_MS - age * AGE_UNIT_MS;
}

/** The load in a packed record; exact up to 14 slots, else a share of them. */
export function unpackLoad(packed: number, slots: number): number {
  const load = packed & 15;
  if (load > FULL) return slots + 1;
  return slots <= FULL ? load : Math.round((load * slots) / FULL);
}

function packLoad(slots: number, inFlight: number): number {
  if (inFlight > slots) return FULL + 1;
  return slots <= FULL ? inFlight : Math.ceil((inFlight * FULL) / slots);
}
