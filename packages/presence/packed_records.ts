import type { BackendServer } from "#model";
import { LEASE_MS } from "./timings.ts";

/** Unit of ages; they are rounded up, so that leases never end later. */
const AGE_UNIT_MS = 600;
/** Age of a record whose lease has expired or expires within one unit. */
const EXPIRED_AGE = 15;
/** Highest load code; the one above it means "more calls than slots". */
const MAX_LOAD_CODE = 14;

/** Packs the age and load of a record into one byte, four bits each. */
export function packRecord(
  { slots, inFlight }: Pick<BackendServer, "slots" | "inFlight">,
  remainingMs: number,
): number {
  const units = Math.ceil((LEASE_MS - remainingMs) / AGE_UNIT_MS);
  const age =
    remainingMs <= 0 ? EXPIRED_AGE : Math.min(Math.max(units, 0), EXPIRED_AGE);
  return (age << 4) | packLoad(slots, inFlight);
}

/** The remaining lease in a packed record, in milliseconds. */
export function remainingLease(packed: number): number {
  const age = packed >> 4;
  return age === EXPIRED_AGE ? 0 : LEASE_MS - age * AGE_UNIT_MS;
}

/**
 * Requests in flight in a packed record: exact for servers of up to 14 slots,
 * else rounded to fourteenths of the slots.
 */
export function unpackLoad(packed: number, slots: number): number {
  const load = packed & 15;
  if (load > MAX_LOAD_CODE) return slots + 1;
  return slots <= MAX_LOAD_CODE
    ? load
    : Math.round((load * slots) / MAX_LOAD_CODE);
}

function packLoad(slots: number, inFlight: number): number {
  if (inFlight > slots) return MAX_LOAD_CODE + 1;
  return slots <= MAX_LOAD_CODE
    ? inFlight
    : Math.ceil((inFlight * MAX_LOAD_CODE) / slots);
}
